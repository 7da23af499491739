package ticket

import (
	"cmp"
	"slices"
	"time"
)

// Succession records that To has adopted the tickets of From.
type Succession struct {
	From Identity `cbor:"1,keyasint"`
	To   Identity `cbor:"2,keyasint"`
}

// SuccessionLimits bound a Successions. A zero field takes its default.
type SuccessionLimits struct {
	// Max is the maximum number of stored successions. Default 4096.
	Max int
	// Retention is how long a succession is stored. It must exceed the
	// lifetime of tickets, or the home of a valid ticket may not be found.
	// Default 15 min.
	Retention time.Duration
}

// The defaults of SuccessionLimits.
const (
	DefaultMaxSuccessions      = 4096
	DefaultSuccessionRetention = 15 * time.Minute
)

type successionRecord struct {
	to Identity
	at time.Duration
}

// Successions is an agent's table of the successors of stopped identities. It
// is not safe for concurrent use.
//
// Invariants:
//   - The first successor recorded for an identity is never replaced.
//   - A record is not deleted before Retention has passed.
//   - A full table refuses new records.
type Successions struct {
	limits SuccessionLimits
	table  map[Identity]successionRecord
	now    time.Duration
}

// NewSuccessions returns an empty table.
func NewSuccessions(limits SuccessionLimits) *Successions {
	limits.Max = cmp.Or(limits.Max, DefaultMaxSuccessions)
	limits.Retention = cmp.Or(limits.Retention, DefaultSuccessionRetention)
	return &Successions{limits: limits, table: make(map[Identity]successionRecord)}
}

// Record stores a succession. Recording it again does not extend its
// retention, so that records that agents send to each other expire. It returns
// ErrSuccessionConflict if another successor is recorded; the first record
// stays.
func (s *Successions) Record(now time.Duration, r Succession) error {
	s.Tick(now)
	if known, ok := s.table[r.From]; ok {
		if known.to == r.To {
			return nil
		}
		return ErrSuccessionConflict
	}
	if r.From == r.To || r.From.Service != r.To.Service {
		return ErrSuccessionConflict
	}
	if len(s.table) >= s.limits.Max {
		return ErrFull
	}
	s.table[r.From] = successionRecord{r.To, s.now}
	return nil
}

// Resolve follows the successions from id and returns the last identity. It
// returns false if none is recorded.
func (s *Successions) Resolve(now time.Duration, id Identity) (Identity, bool) {
	path := s.Path(now, id)
	if len(path) == 0 {
		return Identity{}, false
	}
	return path[len(path)-1].To, true
}

// Path returns the chain of successions that begins at id. It is empty if none
// is recorded or if the records form a cycle.
func (s *Successions) Path(now time.Duration, id Identity) []Succession {
	s.Tick(now)
	var path []Succession
	for {
		next, ok := s.table[id]
		if !ok {
			return path
		}
		if slices.ContainsFunc(path, func(p Succession) bool { return p.From == id }) {
			return nil
		}
		path = append(path, Succession{id, next.to})
		id = next.to
	}
}

// Tick deletes expired records. Record, Resolve and Path call it too.
func (s *Successions) Tick(now time.Duration) {
	if now <= s.now {
		return
	}
	s.now = now
	for id, r := range s.table {
		if s.now-r.at >= s.limits.Retention {
			delete(s.table, id)
		}
	}
}

// Len returns the number of stored successions.
func (s *Successions) Len() int { return len(s.table) }
