package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func warming(id string, ip byte, warmupMS int) *Target {
	t := target(id, ip, Ready, 1)
	t.WarmupMS = warmupMS
	return t
}

// Guards against a view that takes a target for cold longer, or shorter, because it
// learns of its state later or twice.
func TestColdUntil(t *testing.T) {
	reader, first, second := New(), New(), New()
	reader.Apply(time.Second, &Delta{Revision: 5, Full: true, Changes: []Change{{ID: "a", Revision: 5, Target: warming("a", 1, 4000)}}})
	pull(t, 2*time.Second, first, reader, false)
	pull(t, 4500*time.Millisecond, second, first, false)
	pull(t, 4800*time.Millisecond, second, reader, false)
	agent := target("a", 1, Ready, 1).Agent()
	for _, v := range []*View{reader, first, second} {
		until, listed := v.ColdUntil(agent)
		assert.Assert(t, listed)
		assert.Equal(t, until, 5*time.Second)
	}
	// A peer of an earlier release does not tell the age: the target counts as cold for
	// longer, never for a shorter time.
	told := reader.Since(3*time.Second, Progress{})
	told.Changes[0].AgeMS = 0
	old := New()
	old.Apply(3*time.Second, &told)
	until, _ := old.ColdUntil(agent)
	assert.Equal(t, until, 7*time.Second)
	// The next state counts, whether the target is warm earlier or cold anew.
	for revision, ms := range []int{0, 6000} {
		reader.Apply(10*time.Second, &Delta{Revision: uint64(6 + revision), Changes: []Change{{ID: "a", Revision: uint64(6 + revision), Target: warming("a", 1, ms)}}})
		until, _ = reader.ColdUntil(agent)
		assert.Equal(t, until, 10*time.Second+time.Duration(ms)*time.Millisecond)
	}
	_, listed := reader.ColdUntil(target("b", 9, Ready, 1).Agent())
	assert.Assert(t, !listed)
	d := Delta{Changes: []Change{{ID: "a", AgeMS: -1}}}
	assert.ErrorContains(t, d.Validate(), "changes[0].age_ms")
}
