package fleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a delta that omits changes because the change log dropped them
// or because an entry changed again.
func TestSinceMatchesAScan(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 1))
	v := New()
	const ids, changes = 50, 3 * keptChanges
	for revision := uint64(1); revision <= changes; revision++ {
		id := fmt.Sprint(random.IntN(ids))
		c := Change{ID: id, Revision: revision}
		if random.IntN(3) > 0 {
			c.Target = &Target{ID: id, Service: fmt.Sprint(random.IntN(3)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(random.IntN(20))}), 80), StartUnixMS: int64(revision)}
		}
		v.Apply(time.Duration(revision)*time.Millisecond, &Delta{Revision: revision, Changes: []Change{c}})
		if revision%500 == 0 {
			v.Expire(time.Duration(revision) * time.Millisecond)
		}
		if revision%97 != 0 {
			continue
		}
		for _, back := range []uint64{0, 1, 40, keptChanges, 2*keptChanges + 10} {
			if after := revision - min(back, revision-1); after >= v.floor {
				assert.DeepEqual(t, describeChanges(v.Since(0, Progress{Revision: after}).Changes), scanChanges(v, after))
			}
		}
	}
}

func describeChanges(changes []Change) (ids []string) {
	for _, c := range changes {
		ids = append(ids, fmt.Sprint(c.ID, "@", c.Revision, c.Target != nil))
	}
	return ids
}

func scanChanges(v *View, after uint64) (ids []string) {
	var keys []string
	for id := range v.entries {
		keys = append(keys, id)
	}
	slices.Sort(keys)
	for _, id := range keys {
		if e := v.entries[id]; e.revision > after {
			ids = append(ids, fmt.Sprint(id, "@", e.revision, e.listed() != nil))
		}
	}
	return ids
}

// Guards against several entries on one VM of which the wrong one stays listed
// when another is removed.
func TestEntriesThatShareAVM(t *testing.T) {
	at := func(id string, start int64) *Target {
		return &Target{ID: id, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), State: Ready, StartUnixMS: start}
	}
	for _, removed := range []string{"a", "b", "c"} {
		v := New()
		for i, id := range []string{"a", "b", "c"} {
			v.Apply(0, &Delta{Revision: uint64(i + 1), Changes: []Change{{ID: id, Revision: uint64(i + 1), Target: at(id, int64(i))}}})
		}
		v.Apply(0, &Delta{Revision: 9, Changes: []Change{{ID: removed, Revision: 9}}})
		want := "c"
		if removed == "c" {
			want = "b"
		}
		assert.Equal(t, v.TargetAt(netip.MustParseAddr("10.0.0.1")).ID, want)
		assert.Equal(t, len(v.Targets("s")), 1)
		for _, id := range []string{"a", "b", "c"} {
			v.Apply(0, &Delta{Revision: 10, Changes: []Change{{ID: id, Revision: 10}}})
		}
		assert.Equal(t, len(v.Agents()), 0)
		assert.Assert(t, v.TargetAt(netip.MustParseAddr("10.0.0.1")) == nil)
	}
}

// Guards against a target that was removed and has expired, and that a delayed
// delta lists again.
func TestForgottenTargetDoesNotComeBack(t *testing.T) {
	v := New()
	listed := Change{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}
	v.Apply(0, &Delta{Revision: 3, Changes: []Change{listed}})
	v.Apply(0, &Delta{Revision: 5, Changes: []Change{{ID: "a", Revision: 5}}})
	v.Expire(RemovedEntryRetention + time.Second)
	v.Apply(RemovedEntryRetention+time.Second, &Delta{Revision: 4, Changes: []Change{listed}})
	assert.Equal(t, len(v.Targets("booking")), 0)
	// A newer revision may use the ID again.
	v.Apply(RemovedEntryRetention+time.Second, &Delta{Revision: 6, Changes: []Change{{ID: "a", Revision: 6, Target: target("a", 1, Ready, 2)}}})
	assert.Equal(t, len(v.Targets("booking")), 1)
}

// Guards against a peer's delta that reports removed entries but not that the
// platform was disturbed when they were removed, and against a disturbance that
// lasts longer at the receiver than at the sender.
func TestDisturbanceIsTold(t *testing.T) {
	reader, peer := New(), New()
	reader.Apply(0, &Delta{Revision: 3, Changes: []Change{{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}}})
	follow := func(now time.Duration) {
		d := reader.Since(now, peer.Progress())
		peer.Apply(now, &d)
	}
	follow(0)
	reader.RecordDisturbance(5 * time.Second)
	reader.Apply(6*time.Second, &Delta{Revision: 4, Changes: []Change{{ID: "a", Revision: 4}}})
	follow(6 * time.Second)
	assert.Equal(t, ids(peer.LapsedTargets(5*time.Second+ReturnGrace, "booking")), "a")
	assert.Equal(t, len(peer.LapsedTargets(5*time.Second+ReturnGrace+time.Millisecond, "booking")), 0)
}
