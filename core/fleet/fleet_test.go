package fleet

import (
	"net/netip"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func target(id string, ip byte, state TargetState, start int64) *Target {
	return &Target{ID: id, Service: "booking", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, ip}), 80), DataCentre: "dc", Slots: 4, State: state, StartUnixMS: start}
}

func ids(targets []*Target) string {
	out := ""
	for _, t := range targets {
		out += t.ID
	}
	return out
}

// Guards against a change that arrives late and overwrites a newer one.
func TestLateChangeIsIgnored(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Draining, 1)}}})
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 4, Target: target("a", 1, Ready, 1)}}})
	assert.Equal(t, v.Targets("booking")[0].State, Draining)
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 6}}})
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 5, Target: target("a", 1, Ready, 1)}}})
	assert.Equal(t, len(v.Targets("booking")), 0)
}

// Guards against a version of the routes that decreases.
func TestVersionNeverGoesBack(t *testing.T) {
	v := New()
	for _, version := range []uint64{3, 7, 5, 7, 4} {
		v.Apply(0, &Delta{Config: &Config{Version: version}, ConfigRevision: version})
	}
	assert.Equal(t, v.Version(), uint64(7))
}

// Guards against a listing that removes a target listed after it. The pages of
// a listing are no snapshot.
func TestListingRemovesOnlyWhatIsOlder(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 2, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 9, Target: target("b", 2, Ready, 1)}}})
	v.Apply(0, &Delta{Full: true, ListingRevision: 8, Revision: 8})
	assert.Equal(t, ids(v.Targets("booking")), "b")
	assert.Equal(t, ids(v.RemovedTargets("booking")), "a")
}

// Guards against a crashed target whose old entry is used beside or instead of
// that of its successor at the same address. The successor would not count as
// warming up, or would get the load of two targets.
func TestOneTargetPerAddress(t *testing.T) {
	v := New()
	crashed, successor := target("a", 1, Ready, 100), target("b", 1, Ready, 200)
	successor.WarmupMS = 1500
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 3, Target: crashed}, {ID: "b", Revision: 2, Target: successor}}})
	assert.Equal(t, ids(v.Targets("booking")), "b")
	assert.Equal(t, v.TargetAt(successor.Agent()).ID, "b")
	// A removed entry is not returned if another target has its address.
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 4}}})
	assert.Equal(t, len(v.RemovedTargets("booking")), 0)
}

// Guards against a copy of an entry, under another ID, that hides that its target
// drains: the target got new flows until it left.
func TestDrainingEntryWins(t *testing.T) {
	draining, copied := target("a", 1, Draining, 100), target("x", 1, Ready, 100)
	for _, revisions := range [][2]uint64{{3, 4}, {4, 3}} {
		v := New()
		v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: revisions[0], Target: draining}, {ID: "x", Revision: revisions[1], Target: copied}}})
		assert.Equal(t, ids(v.Targets("booking")), "a")
		assert.Equal(t, v.TargetAt(draining.Agent()).ID, "a")
		assert.Equal(t, len(v.ReadyTargets("booking")), 0)
		// A later incarnation is not hidden.
		v.Apply(0, &Delta{Changes: []Change{{ID: "b", Revision: 1, Target: target("b", 1, Ready, 101)}}})
		assert.Equal(t, ids(v.Targets("booking")), "b")
	}
}

// Guards against processes that place each other differently in the tree, because
// they got two entries for one VM in a different order.
func TestDataCentreOfTwoEntries(t *testing.T) {
	changes := []Change{{ID: "a", Revision: 3, Target: target("a", 1, Ready, 100)}, {ID: "x", Revision: 4, Target: target("x", 1, Ready, 200)}}
	changes[1].Target.DataCentre = "other"
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		v := New()
		for _, i := range order {
			v.Apply(0, &Delta{Changes: []Change{changes[i]}})
			v.Position(nil, Member{VM: netip.AddrFrom4([4]byte{10, 0, 0, 9}), DataCentre: "dc"})
		}
		assert.DeepEqual(t, v.index.members()[0].DataCentre, "other")
		p := v.Position(nil, Member{VM: netip.AddrFrom4([4]byte{10, 0, 0, 9}), DataCentre: "dc"})
		assert.Assert(t, p.Gateway, "no agent is in this data centre")
	}
}

// Guards against a delta with gaps for a peer that is too far behind.
func TestOldPeerGetsFullView(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Revision: 9, Changes: []Change{{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 4, Target: target("b", 2, Ready, 1)}}})
	v.Apply(time.Second, &Delta{Revision: 10, Changes: []Change{{ID: "a", Revision: 10}}})
	peer := New()
	peer.Apply(0, &Delta{Revision: 9, Changes: []Change{{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 4, Target: target("b", 2, Ready, 1)}}})
	v.Expire(time.Second + RemovedEntryRetention + time.Second)
	d := v.Since(0, peer.Progress())
	assert.Assert(t, d.Full)
	peer.Apply(0, &d)
	assert.Equal(t, ids(peer.Targets("booking")), "b")
	assert.Equal(t, peer.Revision(), v.Revision())
}

// Guards against targets that are dropped because their entries lapsed during
// an outage of the platform, and against targets that are kept although the
// outage ended longer than ReturnGrace ago.
func TestLapsedTargets(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 4, Target: target("b", 2, Draining, 1)}}})
	v.Apply(0, &Delta{Changes: []Change{{ID: "a", Revision: 5}, {ID: "b", Revision: 6}}})
	assert.Equal(t, len(v.LapsedTargets(0, "booking")), 0)
	v.RecordDisturbance(time.Second)
	assert.Equal(t, ids(v.LapsedTargets(time.Second+ReturnGrace, "booking")), "a")
	assert.Equal(t, len(v.LapsedTargets(2*time.Second+ReturnGrace, "booking")), 0)
}

// Guards against a confirmation of an old revision that lowers the age of a
// view.
func TestConfirmOfOldRevision(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Revision: 9})
	v.Confirm(5*time.Second, 0, Progress{Revision: 8})
	assert.Equal(t, v.Age(5*time.Second), 5*time.Second)
	v.Confirm(5*time.Second, time.Second, Progress{Revision: 9})
	assert.Equal(t, v.Age(5*time.Second), time.Second)
}

// Guards against a view that takes itself for complete up to the revision of a delta
// although it does not know the changes before those of the delta. It would ignore
// targets of an earlier revision that it learns later, as if they had been removed.
func TestDeltaThatDoesNotContinueTheView(t *testing.T) {
	source := New()
	source.Apply(0, &Delta{Revision: 1, Changes: []Change{{ID: "a", Revision: 1, Target: target("a", 1, Ready, 1)}}})
	full := source.Since(0, Progress{})
	source.Apply(0, &Delta{Revision: 2, Changes: []Change{{ID: "b", Revision: 2, Target: target("b", 2, Ready, 1)}}})
	partial := source.Since(0, Progress{Revision: 1})

	v := New()
	v.Apply(0, &partial)
	assert.Equal(t, ids(v.Targets("booking")), "b")
	assert.Equal(t, v.Revision(), uint64(0))
	assert.Equal(t, v.Age(time.Second) > time.Hour, true, "the view is not confirmed")
	v.Apply(0, &full)
	assert.Equal(t, ids(v.Targets("booking")), "ab")
	assert.Equal(t, v.Revision(), uint64(1))
	v.Apply(0, &partial)
	assert.Equal(t, v.Revision(), uint64(2))
	// A delta of an earlier release does not tell what it continues.
	old := New()
	partial.After = 0
	old.Apply(0, &partial)
	assert.Equal(t, old.Revision(), uint64(2))
}

// Guards against views that differ after the same deltas in a different order
// or with repetitions, and against a view that lacks changes up to its revision.
func TestDeltasInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := New()
		var deltas []Delta
		// listed has the targets that the source lists, by revision.
		listed := []string{""}
		for n := range rapid.IntRange(1, 20).Draw(t, "changes") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id")
			c := Change{ID: id, Revision: uint64(n + 1)}
			if rapid.Bool().Draw(t, "there") {
				c.Target = target(id, id[0], Ready, int64(n))
			}
			after := source.Revision()
			source.Apply(0, &Delta{Revision: uint64(n + 1), Changes: []Change{c}})
			deltas = append(deltas, source.Since(0, Progress{Revision: rapid.Uint64Range(0, after).Draw(t, "after")}))
			listed = append(listed, ids(source.Targets("booking")))
		}
		other := New()
		for range len(deltas) {
			d := rapid.SampledFrom(deltas).Draw(t, "delta")
			other.Apply(0, &d)
			for _, id := range []string{"a", "b", "c"} {
				at := other.Revision()
				if e := other.entries[id]; e != nil {
					at = max(at, e.revision)
				}
				assert.Equal(t, strings.Contains(ids(other.Targets("booking")), id), strings.Contains(listed[at], id), "%s at revision %d", id, at)
			}
		}
		last := source.Since(0, Progress{})
		other.Apply(0, &last)
		for i := range deltas {
			other.Apply(0, &deltas[i])
		}
		assert.Equal(t, ids(other.Targets("booking")), ids(source.Targets("booking")))
		assert.Equal(t, other.Revision(), source.Revision())
	})
}

// Guards against a listing that is taken for older than the view because no entry
// has changed since the view's revision: a target that it lists and that the view
// does not know would count as removed.
func TestListingWithoutNewerEntriesIsNotBehind(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Full: true, Revision: 10})
	v.Apply(0, &Delta{Full: true, ListingRevision: 12, Revision: 9, Changes: []Change{{ID: "a", Revision: 9, Target: target("a", 1, Ready, 1)}}})
	assert.Equal(t, ids(v.Targets("booking")), "a")
}

// Guards against a first home that changes although its agent is still listed.
func TestHomesAreStable(t *testing.T) {
	var targets []*Target
	for i := range byte(8) {
		targets = append(targets, target(string('a'+rune(i)), i+1, Ready, 1))
		if i%2 == 0 {
			targets[i].DataCentre = "other"
		}
	}
	for hash := range uint64(200) {
		all := Homes(nil, targets, hash, "dc")
		assert.Equal(t, targets[0].Agent() == all[0], false)
		without := Homes(nil, targets[:7], hash, "dc")
		if all[0] != targets[7].Agent() {
			assert.Equal(t, all[0], without[0])
		}
	}
}

func testRoute(port uint16, service string) Route {
	return Route{Name: "r", Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.1"), port), Service: service}
}

// Guards against a patch that leads to other routes than the version that it
// was made for, and against a patch that is applied to a version other than its
// base.
func TestPatches(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source, peer := New(), New()
		for version := uint64(1); version < 12; version++ {
			c := &Config{Version: version, IdleTimeoutMS: int(version)}
			for port := uint16(1); port < 6; port++ {
				if service := rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "service"); service != "" {
					c.Routes = append(c.Routes, testRoute(port, service))
				}
			}
			source.Apply(0, &Delta{Revision: version, Config: c, ConfigRevision: version})
			if rapid.Bool().Draw(t, "follow") {
				d := source.Since(0, peer.Progress())
				peer.Apply(0, &d)
				assert.Equal(t, peer.Version(), version)
				assert.Assert(t, reflect.DeepEqual(peer.routes, source.routes))
			}
		}
	})
	p := Diff(&Config{Version: 3}, &Config{Version: 4})
	assert.Assert(t, p.Apply(&Config{Version: 2}) == nil)
}

// Guards against a delta that carries all routes although few of them have
// changed.
func TestPatchIsSmall(t *testing.T) {
	v := New()
	c := &Config{Version: 1}
	for port := range uint16(500) {
		c.Routes = append(c.Routes, testRoute(port, "a"))
	}
	v.Apply(0, &Delta{Config: c, ConfigRevision: 1})
	next := &Config{Version: 2, Routes: append([]Route{testRoute(7, "b")}, c.Routes[8:]...)}
	v.Apply(0, &Delta{Config: next, ConfigRevision: 2})
	d := v.Since(0, Progress{Revision: 1, Version: 1})
	assert.Assert(t, d.Config == nil)
	assert.Equal(t, len(d.Patch.Set), 1)
	assert.Equal(t, len(d.Patch.Removed), 7)
}

// Guards against a process that misses a version of the routes. The version was
// written between the pages of the process's listing. If the revision of the
// view came from a target that changed still later, no peer's delta would
// include the version.
func TestListingIsCompleteUpToItsFirstPage(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Full: true, ListingRevision: 10, Revision: 9, ConfigRevision: 5, Config: &Config{Version: 1},
		Changes: []Change{{ID: "a", Revision: 9, Target: target("a", 1, Ready, 1)}, {ID: "b", Revision: 12, Target: target("b", 2, Ready, 1)}}})
	assert.Equal(t, v.Revision(), uint64(9))
	assert.Equal(t, ids(v.Targets("booking")), "ab")
	peer := New()
	peer.Apply(0, &Delta{Revision: 12, ConfigRevision: 11, Config: &Config{Version: 2}})
	d := peer.Since(0, v.Progress())
	v.Apply(0, &d)
	assert.Equal(t, v.Version(), uint64(2))
}

// Guards against routes that are never fetched because the revision increased
// although the patch did not apply.
func TestPatchThatDoesNotFit(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Revision: 5, ConfigRevision: 5, Config: &Config{Version: 3}})
	v.Apply(0, &Delta{Revision: 9, ConfigRevision: 9, Patch: &ConfigPatch{Base: 2, Version: 4}})
	assert.Equal(t, v.Version(), uint64(3))
	assert.Equal(t, v.Revision(), uint64(5))
}

// Guards against an index that, after changes in any order, differs from a
// newly built one.
func TestIndexFollowsChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New()
		for n := range rapid.IntRange(1, 30).Draw(t, "changes") {
			c := Change{ID: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"), Revision: uint64(n + 1)}
			if rapid.IntRange(0, 3).Draw(t, "there") > 0 {
				c.Target = target(c.ID, rapid.ByteRange(1, 3).Draw(t, "vm"), Ready, int64(rapid.IntRange(1, 3).Draw(t, "born")))
				c.Target.Service = rapid.SampledFrom([]string{"booking", "gallery"}).Draw(t, "service")
			}
			v.Apply(0, &Delta{Revision: uint64(n + 1), Changes: []Change{c}})
			fresh := New()
			whole := v.Since(0, Progress{})
			fresh.Apply(0, &whole)
			for _, service := range []string{"booking", "gallery"} {
				assert.Equal(t, ids(v.Targets(service)), ids(fresh.Targets(service)))
			}
			assert.Assert(t, slices.Equal(v.Agents(), fresh.Agents()))
			for vm := byte(1); vm <= 3; vm++ {
				a, b := v.TargetAt(netip.AddrFrom4([4]byte{10, 0, 0, vm})), fresh.TargetAt(netip.AddrFrom4([4]byte{10, 0, 0, vm}))
				assert.Equal(t, a == nil, b == nil)
				assert.Assert(t, a == nil || a.ID == b.ID)
			}
		}
	})
}

// Guards against a view that takes its list of removed entries for complete after
// a gap: it stood still, missed changes, and then read a listing of the platform,
// which does not name entries that were added and removed in between.
func TestListingAfterGapLeavesRemovalsUnknown(t *testing.T) {
	v := New()
	v.NothingRemovedBefore(0)
	v.Apply(0, &Delta{Revision: 5, Full: true, ListingRevision: 5, Config: &Config{Version: 1}, ConfigRevision: 1})
	now := 20 * time.Second
	v.Apply(now, &Delta{Revision: 50, Full: true, ListingRevision: 50})
	assert.Assert(t, !v.RemovalsKnown(now), "revisions 6 to 50 were not seen")
}

// gapView returns a view that knew everything up to revision 5 and epoch 1 at
// 10 s, and got a full delta at 20 s.
func gapView(d *Delta) *View {
	v := New()
	v.NothingRemovedBefore(0)
	v.Apply(10*time.Second, &Delta{Epoch: 1, Revision: 5, Full: true, ListingRevision: 5, Config: &Config{Version: 1}, ConfigRevision: 1})
	v.Apply(20*time.Second, d)
	return v
}

func msAgo(d time.Duration) *int64 {
	ms := d.Milliseconds()
	return &ms
}

// Guards against a full delta of a peer that skips changes unnoticed, and against
// one that makes a process search in vain although it names all removed entries.
func TestFullDeltaThatLeavesAGap(t *testing.T) {
	for name, c := range map[string]struct {
		delta Delta
		gap   bool
	}{
		"listing":                        {Delta{Epoch: 1, Revision: 50, ListingRevision: 50}, true},
		"listing of what is known":       {Delta{Epoch: 1, Revision: 5, ListingRevision: 5}, false},
		"listing of a new epoch":         {Delta{Epoch: 2, Revision: 3, ListingRevision: 3}, true},
		"peer that has started":          {Delta{Epoch: 1, Revision: 50, RemovalsKnownMS: msAgo(9 * time.Second)}, true},
		"peer of an old release":         {Delta{Epoch: 1, Revision: 50}, true},
		"peer that knows the time":       {Delta{Epoch: 1, Revision: 50, RemovalsKnownMS: msAgo(10 * time.Second)}, false},
		"peer of a new epoch":            {Delta{Epoch: 2, Revision: 1, RemovalsKnownMS: msAgo(time.Minute)}, false},
		"peer of an old epoch":           {Delta{Epoch: 0, Revision: 90, RemovalsKnownMS: msAgo(0)}, false},
		"version of an old epoch":        {Delta{Epoch: 0, Revision: 90, Config: &Config{Version: 3}, RemovalsKnownMS: msAgo(0)}, true},
		"version and the time before it": {Delta{Epoch: 0, Revision: 90, Config: &Config{Version: 3}, RemovalsKnownMS: msAgo(time.Minute)}, false},
	} {
		c.delta.Full = true
		v := gapView(&c.delta)
		_, gap := v.HistoryGap(20 * time.Second)
		assert.Equal(t, gap, c.gap, name)
		assert.Equal(t, v.RemovalsKnown(20*time.Second), !c.gap, name)
	}
}

// Guards against a gap that stays open although a peer or a watch has told what the
// view had missed, and against one that closes although they have not.
func TestGapIsFilled(t *testing.T) {
	listing := &Delta{Epoch: 1, Full: true, Revision: 50, ListingRevision: 50}
	known := func(v *View, at time.Duration) bool { return v.RemovalsKnown(at) }
	for name, c := range map[string]struct {
		delta  Delta
		filled bool
	}{
		"peer that knows the gap":        {Delta{Epoch: 1, RemovalsKnownMS: msAgo(11 * time.Second)}, true},
		"peer that started in the gap":   {Delta{Epoch: 1, RemovalsKnownMS: msAgo(10 * time.Second)}, false},
		"watch from the gap's beginning": {Delta{Epoch: 1, Revision: 50, WatchedAfter: 5}, true},
		"watch from a later revision":    {Delta{Epoch: 1, Revision: 50, WatchedAfter: 6}, false},
		"watch of another epoch":         {Delta{Epoch: 2, Revision: 50, WatchedAfter: 5}, false},
		"changes":                        {Delta{Epoch: 1, Revision: 51}, false},
	} {
		v := gapView(listing)
		assert.Equal(t, v.CompleteTo(20*time.Second), Progress{Epoch: 1, Revision: 5, Version: 1})
		v.Apply(21*time.Second, &c.delta)
		assert.Equal(t, known(v, 21*time.Second), c.filled, name)
		assert.Equal(t, v.CompleteTo(21*time.Second) == v.Progress(), c.filled, name)
	}
	// A second gap before the first one is filled extends it.
	v := gapView(listing)
	v.Apply(25*time.Second, &Delta{Epoch: 1, Full: true, Revision: 60, ListingRevision: 60})
	v.Apply(26*time.Second, &Delta{Epoch: 1, RemovalsKnownMS: msAgo(10 * time.Second)})
	assert.Assert(t, !known(v, 26*time.Second))
	v.Apply(26*time.Second, &Delta{Epoch: 1, RemovalsKnownMS: msAgo(16 * time.Second)})
	assert.Assert(t, known(v, 26*time.Second))
	// What a view does not know is of no use after the retention time.
	v = gapView(listing)
	assert.Assert(t, !known(v, 20*time.Second+RemovedEntryRetention-1))
	assert.Assert(t, known(v, 20*time.Second+RemovedEntryRetention))
}
