package ticket

import (
	"cmp"
	"slices"
	"time"
)

// Succession says that one identity has adopted the tickets of another.
type Succession struct {
	From Identity `cbor:"1,keyasint"`
	To   Identity `cbor:"2,keyasint"`
}

// SuccessionLimits bound a Successions. A zero field takes its default.
type SuccessionLimits struct {
	// Max is how many successions are remembered. Default 4096.
	Max int
	// Retention is how long a succession is remembered. It must be over the
	// lifetime of tickets, or a ticket may be valid while its home cannot be
	// found. Default 15 min.
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

// Successions is an agent's table of which agent now answers for the tickets
// of an identity that has stopped. It is not safe for concurrent use.
//
// Invariants: the first successor recorded for an identity is kept; nothing
// is dropped before Keep has passed; a full table refuses new records.
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

// Record remembers a succession. Recording the same one again changes nothing,
// so that records that agents pass around do not live for ever. ErrConflict
// reports another successor; the first record stays.
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

// Resolve returns the identity that now answers for id, through any number of
// successions, and false if none is recorded.
func (s *Successions) Resolve(now time.Duration, id Identity) (Identity, bool) {
	path := s.Path(now, id)
	if len(path) == 0 {
		return Identity{}, false
	}
	return path[len(path)-1].To, true
}

// Path returns the successions from id to the identity that now answers for
// it, for an agent that asks. It is empty if none is recorded or if the
// records form a circle.
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

// Tick drops old records. The other methods call it too.
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

// Len returns how many successions are remembered.
func (s *Successions) Len() int { return len(s.table) }
