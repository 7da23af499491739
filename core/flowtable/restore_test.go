package flowtable

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
)

var first, second = fleettest.Agent(1), fleettest.Agent(2)

func answer(t *testing.T, table *Table, runs ...uint64) *Answer {
	a := &Answer{Runs: runs}
	if table != nil {
		a.Table = entry(t, table).Table
	}
	return a
}

// Guards against an agent that is restored from a table although it has run since
// the table was exported: flows that the run opened would be denied.
func TestTableBeforeALaterRunIsNotUsed(t *testing.T) {
	r := NewRestore(agent, 3)
	r.Ask(first)
	r.Ask(second)
	assert.NilError(t, r.Record(0, first, answer(t, table(1))))
	assert.NilError(t, r.Record(0, second, answer(t, nil, 2)))
	assert.Assert(t, r.Done(0, 0))
	got, _, reason := r.Table(0)
	assert.Assert(t, got == nil)
	assert.Equal(t, reason, "later_run")
}

// Guards against an agent that takes the older one of two tables, or takes none
// because keepers know of runs before the table.
func TestLatestTableIsUsed(t *testing.T) {
	for _, reverse := range []bool{false, true} {
		r := NewRestore(agent, 3)
		answers := []*Answer{answer(t, table(1), 0), answer(t, table(2, 0, 1), 1)}
		if reverse {
			answers[0], answers[1] = answers[1], answers[0]
		}
		assert.NilError(t, r.Record(0, first, answers[0]))
		assert.NilError(t, r.Record(0, second, answers[1]))
		got, _, reason := r.Table(0)
		assert.Equal(t, reason, "")
		assert.Equal(t, got.Run, uint64(2))
		assert.DeepEqual(t, len(r.EarlierRuns()), 3)
	}
}

// Guards against a start that waits without need, or that does not wait for a
// keeper which may know a later run, or for a table that is being passed on.
func TestEndOfTheSearchForATable(t *testing.T) {
	r := NewRestore(agent, 2)
	assert.Assert(t, !r.Done(0, 0), "done before anyone was asked")
	r.Ask(first)
	r.Ask(second)
	assert.NilError(t, r.Record(0, first, answer(t, table(1))))
	assert.Assert(t, !r.Done(othersTimeout, 0), "half of the keepers are enough")
	r.Ask(fleettest.Agent(3))
	assert.NilError(t, r.Record(0, second, answer(t, nil)))
	assert.Assert(t, !r.Done(0, 0), "does not wait for the last keeper")
	assert.Assert(t, r.Done(othersTimeout, 0))

	r = NewRestore(agent, 2)
	r.Ask(first)
	r.Ask(second)
	assert.NilError(t, r.Record(0, first, answer(t, nil)))
	r.Refused(second)
	assert.Assert(t, !r.Done(AttemptInterval, 0), "the table may be on its way between two keepers")
	assert.NilError(t, r.Record(AttemptInterval, first, answer(t, nil)))
	r.Refused(second)
	assert.Assert(t, r.Done(AttemptInterval, 0))
	assert.Assert(t, r.Answered(first) && !r.Answered(second))

	r = NewRestore(agent, 2)
	r.Ask(first)
	assert.Assert(t, !r.Done(RestoreTimeout-time.Millisecond, 0))
	assert.Assert(t, r.Done(RestoreTimeout, 0))
}

// Guards against a table from before a later run that none of the few keepers knows
// which answer.
func TestFewAnswersAreNotEnough(t *testing.T) {
	r := NewRestore(agent, 3)
	third, fourth := fleettest.Agent(3), fleettest.Agent(4)
	for _, keeper := range []netip.Addr{first, second, third, fourth} {
		r.Ask(keeper)
	}
	assert.NilError(t, r.Record(0, first, answer(t, table(1))))
	assert.NilError(t, r.Record(0, second, answer(t, nil)))
	assert.Assert(t, !r.Done(othersTimeout, 0))
	got, _, reason := r.Table(0)
	assert.Assert(t, got == nil)
	assert.Equal(t, reason, "few_answers")
	r.Refused(third)
	assert.Assert(t, r.Done(othersTimeout, 0))
	got, _, _ = r.Table(0)
	assert.Assert(t, got != nil)
}

// Guards against an answer that ends the search with a table of another agent or
// with a damaged one.
func TestUnusableAnswers(t *testing.T) {
	r := NewRestore(agent, 2)
	other := table(1)
	other.Agent = second
	assert.Assert(t, r.Record(0, first, answer(t, other)) != nil)
	assert.Assert(t, r.Record(0, second, &Answer{Table: []byte{1}}) != nil)
	got, _, reason := r.Table(0)
	assert.Assert(t, got == nil)
	assert.Equal(t, reason, "no_table")
}
