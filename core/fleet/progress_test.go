package fleet

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// listing returns the full delta of an epoch with the given targets, whose
// revisions count from 1.
func listing(epoch uint64, targets ...*Target) *Delta {
	d := &Delta{Epoch: epoch, Full: true, ListingRevision: uint64(len(targets)), Revision: uint64(len(targets))}
	for i, t := range targets {
		d.Changes = append(d.Changes, Change{ID: t.ID, Revision: uint64(i + 1), Target: t})
	}
	return d
}

// Guards against views that ignore all changes after the platform has returned
// from an older copy, because the revisions are lower than before.
func TestLowerRevisionsOfANewEpoch(t *testing.T) {
	v, peer := New(), New()
	for _, view := range []*View{v, peer} {
		view.Apply(0, &Delta{Epoch: 1, Full: true, Revision: 50, Changes: []Change{
			{ID: "a", Revision: 40, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 50, Target: target("b", 2, Ready, 1)}}})
	}
	v.Apply(time.Second, listing(2, target("a", 1, Ready, 1)))
	assert.Assert(t, v.Progress().AheadOf(peer.Progress()))
	v.Apply(time.Second, &Delta{Epoch: 2, Revision: 2, Changes: []Change{{ID: "a", Revision: 2, Target: target("a", 1, Draining, 1)}}})
	assert.Equal(t, v.Targets("booking")[0].State, Draining)
	d := v.Since(time.Second, peer.Progress())
	peer.Apply(time.Second, &d)
	assert.Equal(t, peer.Progress(), v.Progress())
	assert.Equal(t, peer.Targets("booking")[0].State, Draining)
	// The target that the older copy lacks may write again.
	assert.Equal(t, ids(peer.LapsedTargets(time.Second+ReturnGrace, "booking")), "b")
	assert.Equal(t, len(peer.LapsedTargets(2*time.Second+ReturnGrace, "booking")), 0)
	// A late delta of the earlier epoch has no effect, except a newer version.
	peer.Apply(2*time.Second, &Delta{Epoch: 1, Full: true, Revision: 60, Config: &Config{Version: 7}})
	assert.Equal(t, peer.Progress(), Progress{Epoch: 2, Revision: 2, Version: 7})
	assert.Equal(t, ids(peer.Targets("booking")), "a")
}

// Guards against a target that is used again because an older copy of the
// platform's state lists it as it was before it drained, left or restarted.
func TestOlderCopyDoesNotUndoAState(t *testing.T) {
	known := map[string]struct {
		state  *Target
		left   bool
		copied *Target
		want   TargetState
	}{
		"draining":                  {target("a", 1, Draining, 5), false, target("a", 1, Ready, 5), Draining},
		"left":                      {target("a", 1, Draining, 5), true, target("a", 1, Ready, 5), ""},
		"restarted":                 {target("a", 1, Draining, 5), false, target("a", 1, Ready, 4), Draining},
		"restarted after the copy":  {target("a", 1, Ready, 5), false, target("a", 1, Draining, 4), Ready},
		"restarted before the copy": {target("a", 1, Draining, 5), true, target("a", 1, Ready, 6), Ready},
		"lapsed":                    {target("a", 1, Ready, 5), true, target("a", 1, Ready, 5), Ready},
		"draining in the copy":      {target("a", 1, Ready, 5), false, target("a", 1, Draining, 5), Draining},
	}
	stateOf := func(v *View) TargetState {
		for _, t := range v.Targets("booking") {
			return t.State
		}
		return ""
	}
	for name, k := range known {
		v := New()
		v.Apply(0, &Delta{Epoch: 1, Full: true, Revision: 50, Changes: []Change{{ID: "a", Revision: 50, Target: k.state}}})
		if k.left {
			v.Apply(0, &Delta{Epoch: 1, Revision: 51, Changes: []Change{{ID: "a", Revision: 51}}})
		}
		v.Apply(time.Second, listing(2, k.copied))
		assert.Equal(t, stateOf(v), k.want, name)
		// What the target writes in the new epoch counts.
		v.Apply(time.Second, &Delta{Epoch: 2, Revision: 2, Changes: []Change{{ID: "a", Revision: 2, Target: target("a", 1, Ready, 5)}}})
		assert.Equal(t, stateOf(v), Ready, name)
	}
}

// Guards against a view that counts as up to date because a peer of an earlier
// epoch has a higher revision.
func TestConfirmOfAnEarlierEpoch(t *testing.T) {
	v := New()
	v.Apply(0, listing(2, target("a", 1, Ready, 1)))
	v.Confirm(time.Second, 0, Progress{Epoch: 1, Revision: 90})
	assert.Equal(t, v.Age(time.Second), time.Second)
}

// Guards against two views that list different targets although they have the
// same progress, whatever the order of changes, returns from older copies and
// exchanges between them.
func TestViewsAgreeAcrossEpochs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		views := []*View{New(), New(), New()}
		platform := New()
		var backup Delta
		epoch, revision := uint64(1), uint64(0)
		// written has the targets that were written in the epoch, and removed the
		// step at which the platform last removed each target.
		written, removed := map[string]bool{}, map[string]int64{}
		for n := range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				backup = platform.Since(0, Progress{})
			case 1:
				epoch++
				platform = New()
				backup.Epoch, backup.Full, revision = epoch, true, backup.Revision
				platform.Apply(0, &backup)
				clear(written)
			case 2, 3:
				revision++
				id := fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "id"))
				c := Change{ID: id, Revision: revision}
				written[id] = true
				if rapid.Bool().Draw(t, "there") {
					c.Target = target(id, id[0], Ready, int64(n)+1)
				} else {
					removed[id] = int64(n) + 1
				}
				platform.Apply(0, &Delta{Epoch: epoch, Full: platform.Progress() == Progress{}, Revision: revision, Changes: []Change{c}})
			default:
				from := rapid.SampledFrom(append(views, platform)).Draw(t, "from")
				to := rapid.SampledFrom(views).Draw(t, "to")
				applyDelta(t, to, from.Since(0, to.Progress()))
			}
		}
		for _, to := range views {
			applyDelta(t, to, platform.Since(0, to.Progress()))
			assert.Equal(t, to.Progress(), platform.Progress())
			starts := startTimes(to.Targets("booking"))
			for id, copied := range startTimes(platform.Targets("booking")) {
				// A state of the copy does not replace one of a later incarnation. The
				// view lists the later one, unless it knows that it was removed.
				if e := to.entries[id]; !written[id] && e != nil && e.target != nil && e.target.StartUnixMS > copied {
					assert.Equal(t, e.removed, starts[id] == 0)
					if e.removed {
						assert.Assert(t, removed[id] > e.target.StartUnixMS, "%s was not removed", id)
					}
					delete(starts, id)
					continue
				}
				assert.Equal(t, starts[id], copied, id)
				delete(starts, id)
			}
			assert.Equal(t, len(starts), 0, "the platform does not list %v", starts)
		}
	})
}

// applyDelta applies a delta, and fails if a later incarnation of a target, listed
// or removed, is replaced by an earlier one.
func applyDelta(t *rapid.T, v *View, d Delta) {
	before := map[string]int64{}
	for id, e := range v.entries {
		if e.target != nil {
			before[id] = e.target.StartUnixMS
		}
	}
	v.Apply(0, &d)
	for id, start := range before {
		assert.Assert(t, v.entries[id].target.StartUnixMS >= start, "%s", id)
	}
}

// startTimes returns the start time of each target by its ID.
func startTimes(targets []*Target) map[string]int64 {
	starts := make(map[string]int64, len(targets))
	for _, t := range targets {
		starts[t.ID] = t.StartUnixMS
	}
	return starts
}

// Guards against two views of one epoch that list different targets for longer
// than until the target writes again: one of them knows that a later incarnation
// than the one in the platform's older copy was removed.
func TestRemovedIncarnationAfterOlderCopy(t *testing.T) {
	known, starting := New(), New()
	known.Apply(0, &Delta{Epoch: 1, Full: true, Revision: 2, Changes: []Change{{ID: "a", Revision: 2, Target: target("a", 1, Ready, 2)}}})
	known.Apply(0, &Delta{Epoch: 1, Revision: 3, Changes: []Change{{ID: "a", Revision: 3}}})
	for _, v := range []*View{known, starting} {
		v.Apply(0, listing(2, target("a", 1, Ready, 1)))
	}
	assert.Equal(t, known.Progress(), starting.Progress())
	assert.Equal(t, ids(known.Targets("booking")), "")
	assert.Equal(t, ids(starting.Targets("booking")), "a")
	for _, v := range []*View{known, starting} {
		v.Apply(0, &Delta{Epoch: 2, Revision: 2, Changes: []Change{{ID: "a", Revision: 2, Target: target("a", 1, Ready, 3)}}})
		assert.Equal(t, ids(v.Targets("booking")), "a")
	}
}
