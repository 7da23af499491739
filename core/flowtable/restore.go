package flowtable

import (
	"errors"
	"net/netip"
	"slices"
	"time"
)

const (
	// RestoreTimeout is how long after its first view a starting agent looks for
	// its table before it goes on without one. A keeper answers within a few
	// milliseconds, one in another data centre within some tens.
	RestoreTimeout = 300 * time.Millisecond
	// AttemptInterval is the time between two claims at one keeper.
	AttemptInterval = 40 * time.Millisecond
	// othersTimeout is how long the agent waits, once it has a table, for the
	// answers of the other keepers. One of them may know a later run.
	othersTimeout = 60 * time.Millisecond
	// emptyRounds is the number of answers without a table that every keeper
	// must have given for the search to end early. One is not enough: a keeper
	// that stops may be passing the table on to another one that was asked
	// before.
	emptyRounds = 2
	// maxEarlierRuns bounds the earlier runs that a table names. Keepers remember
	// a run for MaxAge, in which an agent does not start this often.
	maxEarlierRuns = 32
)

var errOtherAgent = errors.New("flow table is of another agent")

// Restore decides at a starting agent which table it may use.
type Restore struct {
	agent   netip.Addr
	run     uint64
	keepers map[netip.Addr]*askedKeeper
	// runs has the other runs of the agent that keepers know of, in the order in
	// which they were named. tables has the tables that were found, one for each
	// run, the first one at foundAt.
	runs    []uint64
	tables  []found
	foundAt time.Duration
}

type askedKeeper struct {
	// answers counts the answers, of which empty had no table. A keeper that
	// refuses the connection has answered: it runs no agent.
	answers, empty int
}

type found struct {
	table      *Table
	exportedAt time.Duration
}

// NewRestore returns the state of a run that has asked nobody yet.
func NewRestore(agent netip.Addr, run uint64) *Restore {
	return &Restore{agent: agent, run: run, keepers: map[netip.Addr]*askedKeeper{}}
}

// Ask records that a keeper is asked.
func (r *Restore) Ask(keeper netip.Addr) {
	if r.keepers[keeper] == nil {
		r.keepers[keeper] = &askedKeeper{}
	}
}

// Answered reports whether a keeper has answered, so that it knows of this run.
func (r *Restore) Answered(keeper netip.Addr) bool {
	k := r.keepers[keeper]
	return k != nil && k.answers > 0
}

// Refused records that nobody listens at the address of a keeper.
func (r *Restore) Refused(keeper netip.Addr) {
	r.Ask(keeper)
	r.keepers[keeper].empty++
}

// Record records the answer of a keeper that came at the time now. It returns an
// error if the answer has a table that cannot be used.
func (r *Restore) Record(now time.Duration, keeper netip.Addr, a *Answer) error {
	r.Ask(keeper)
	k := r.keepers[keeper]
	k.answers++
	for _, run := range a.Runs {
		r.addRun(run)
	}
	if a.Table == nil {
		k.empty++
		return nil
	}
	t, err := Decode(a.Table)
	if err == nil && t.Agent != r.agent {
		err = errOtherAgent
	}
	if err != nil {
		k.empty++
		return err
	}
	for _, run := range t.EarlierRuns {
		r.addRun(run)
	}
	r.addRun(t.Run)
	if len(r.tables) == 0 {
		r.foundAt = now
	}
	if !slices.ContainsFunc(r.tables, func(f found) bool { return f.table.Run == t.Run }) {
		r.tables = append(r.tables, found{t, now - a.Age})
	}
	return nil
}

func (r *Restore) addRun(run uint64) {
	if run != r.run && !slices.Contains(r.runs, run) {
		r.runs = append(r.runs, run)
	}
}

// EarlierRuns returns the earlier runs of the agent that this run has learned of, at
// most maxEarlierRuns.
func (r *Restore) EarlierRuns() []uint64 {
	return slices.Clone(r.runs[max(0, len(r.runs)-maxEarlierRuns):])
}

// Done reports whether the search for a table may end at the time now. It began at
// the time began, with the first view.
func (r *Restore) Done(now, began time.Duration) bool {
	if now-began >= RestoreTimeout {
		return true
	}
	empty := len(r.keepers) > 0
	for _, k := range r.keepers {
		empty = empty && k.empty >= emptyRounds
	}
	if len(r.tables) > 0 {
		return r.unanswered() == 0 || r.enoughAnswers() && now-r.foundAt >= othersTimeout
	}
	return empty
}

// unanswered returns the number of keepers that were asked and have not answered. A
// keeper that refuses the connection has answered: it has no state.
func (r *Restore) unanswered() (n int) {
	for _, k := range r.keepers {
		if k.answers+k.empty == 0 {
			n++
		}
	}
	return n
}

// enoughAnswers reports whether more than half of the keepers have answered. A later
// run has claimed at more than half of them too, unless it ended within
// milliseconds of its first view.
func (r *Restore) enoughAnswers() bool { return 2*r.unanswered() < len(r.keepers) }

// Table returns the table that the agent may use, or nil with the reason. age is
// the time since the export of the table.
func (r *Restore) Table(now time.Duration) (t *Table, age time.Duration, reason string) {
	if len(r.tables) == 0 {
		return nil, 0, "no_table"
	}
	if !r.enoughAnswers() {
		return nil, 0, "few_answers"
	}
	for _, f := range r.tables {
		later := func(run uint64) bool { return !precedes(run, f.table.Run, f.table.EarlierRuns) }
		if !slices.ContainsFunc(r.runs, later) {
			return f.table, now - f.exportedAt, ""
		}
	}
	return nil, 0, "later_run"
}
