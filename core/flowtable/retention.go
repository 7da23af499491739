package flowtable

import (
	"errors"
	"net/netip"
	"slices"
	"time"
)

const (
	// maxTables and maxBytes bound the tables that a keeper holds. 12 MB hold the
	// tables of 13 agents with 20,000 flows each. An agent whose table is refused
	// offers it to the next keeper.
	maxTables = 64
	maxBytes  = 12 << 20
	// claimedRetention is how long a claimed table is kept for the run that claimed
	// it, because the answer to its claim may be lost.
	claimedRetention = 3 * time.Second
	// maxAgents bounds the agents whose runs a keeper remembers. maxRunsPerAgent
	// bounds the runs of one agent. Each run is remembered for MaxAge, after which
	// no table from before its start is left.
	maxAgents       = 4096
	maxRunsPerAgent = 16
)

// Errors of a table that a keeper does not take.
var (
	ErrClosed   = errors.New("agent is stopping")
	ErrFull     = errors.New("no room for another flow table")
	ErrOutdated = errors.New("a later run of the agent has started")
)

// Retention holds the tables that an agent keeps for others. It is not safe for
// concurrent use.
type Retention struct {
	tables map[netip.Addr]*kept
	runs   map[netip.Addr][]startedRun
	bytes  int
	closed bool
}

// kept is one table.
type kept struct {
	run         uint64
	earlierRuns []uint64
	exportedAt  time.Duration
	raw         []byte
	// claimedBy is the run that has claimed the table first, at claimedAt.
	claimed   bool
	claimedBy uint64
	claimedAt time.Duration
}

// startedRun is a run of an agent and the time of its first claim.
type startedRun struct {
	run uint64
	at  time.Duration
}

// NewRetention returns a Retention without tables.
func NewRetention() *Retention {
	return &Retention{tables: map[netip.Addr]*kept{}, runs: map[netip.Addr][]startedRun{}}
}

// Size returns the number of tables and their size in bytes.
func (r *Retention) Size() (tables, bytes int) { return len(r.tables), r.bytes }

// Put keeps a table. It returns an error if the table cannot be kept.
func (r *Retention) Put(now time.Duration, e *Entry) error {
	if r.closed {
		return ErrClosed
	}
	if len(e.Table) > MaxTableBytes {
		return ErrTooLarge
	}
	var h wireHeader
	if err := unmarshal(e.Table, &h, &h.Format); err != nil {
		return err
	}
	if !h.Agent.IsValid() {
		return errors.New("flow table has no agent")
	}
	r.Expire(now)
	k := &kept{run: h.Run, earlierRuns: h.EarlierRuns, exportedAt: now - e.Age, raw: e.Table}
	if e.Age >= MaxAge || slices.ContainsFunc(r.runs[h.Agent], func(s startedRun) bool { return !precedes(s.run, h.Run, h.EarlierRuns) }) {
		return ErrOutdated
	}
	if old := r.tables[h.Agent]; old != nil {
		if !precedes(old.run, h.Run, h.EarlierRuns) {
			return ErrOutdated
		}
		r.remove(h.Agent)
	}
	if len(r.tables) >= maxTables || r.bytes+len(e.Table) > maxBytes {
		return ErrFull
	}
	r.tables[h.Agent] = k
	r.bytes += len(e.Table)
	return nil
}

// precedes reports whether a run is known not to be later than another one, for
// which the earlier runs are given.
func precedes(run, other uint64, earlier []uint64) bool {
	return run == other || slices.Contains(earlier, run)
}

// Claim records that a run of an agent has started, and answers with the table
// that it may use.
func (r *Retention) Claim(now time.Duration, agent netip.Addr, run uint64) Answer {
	r.Expire(now)
	var answer Answer
	known := false
	for _, s := range r.runs[agent] {
		if s.run == run {
			known = true
			continue
		}
		answer.Runs = append(answer.Runs, s.run)
	}
	if !known && (r.runs[agent] != nil || len(r.runs) < maxAgents) {
		runs := append(r.runs[agent], startedRun{run, now})
		r.runs[agent] = runs[max(0, len(runs)-maxRunsPerAgent):]
	}
	k := r.tables[agent]
	if k == nil || k.run == run || k.claimed && k.claimedBy != run {
		return answer
	}
	if !k.claimed {
		k.claimed, k.claimedBy, k.claimedAt = true, run, now
	}
	answer.Table, answer.Age = k.raw, now-k.exportedAt
	return answer
}

// Expire removes the tables and the runs that are not needed any more.
func (r *Retention) Expire(now time.Duration) {
	for agent, k := range r.tables {
		if now-k.exportedAt >= MaxAge || k.claimed && now-k.claimedAt >= claimedRetention {
			r.remove(agent)
		}
	}
	for agent, runs := range r.runs {
		left := slices.DeleteFunc(runs, func(s startedRun) bool { return now-s.at >= MaxAge })
		if r.runs[agent] = left; len(left) == 0 {
			delete(r.runs, agent)
		}
	}
}

func (r *Retention) remove(agent netip.Addr) {
	r.bytes -= len(r.tables[agent].raw)
	delete(r.tables, agent)
}

// KeptEntry is a table that a keeper holds, with the agent that it is for.
type KeptEntry struct {
	Agent netip.Addr
	Entry
}

// Close makes the keeper refuse tables and returns those of agents that have not
// claimed theirs, so that they can be passed on. Claims are still answered.
func (r *Retention) Close(now time.Duration) (left []KeptEntry) {
	r.closed = true
	r.Expire(now)
	for agent, k := range r.tables {
		if !k.claimed {
			left = append(left, KeptEntry{agent, Entry{Age: now - k.exportedAt, Table: k.raw}})
		}
	}
	slices.SortFunc(left, func(a, b KeptEntry) int { return a.Agent.Compare(b.Agent) })
	return left
}
