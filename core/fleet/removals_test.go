package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against resets of open flows by an agent that starts just after the entry
// of their target was removed: its listing lacks the entry, and the peer that tells
// it all removals has not seen the removal yet. The entry must be known as removed,
// whichever of the two comes first.
func TestEntryRemovedJustBeforeTheListing(t *testing.T) {
	const now = 5 * time.Second
	peer := New()
	peer.NothingRemovedBefore(0)
	listed := Change{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}
	peer.Apply(0, &Delta{Revision: 4, Full: true, ListingRevision: 4, Changes: []Change{listed}, Config: &Config{Version: 1}, ConfigRevision: 2})
	told := peer.Since(now, Progress{})
	listing := Delta{Revision: 9, Full: true, ListingRevision: 9, Config: &Config{Version: 1}, ConfigRevision: 2}
	for _, deltas := range [][]*Delta{{&listing, &told}, {&told, &listing}, {&listing, &told, &told}} {
		v := New()
		for _, d := range deltas {
			v.Apply(now, d)
		}
		assert.Assert(t, !v.RemovalsKnown(now), "the peer is behind the listing")
		assert.Equal(t, len(v.Targets("booking")), 0)
		assert.Equal(t, len(v.RemovedTargets("booking")), 1)
		// Others that fetch from this view learn of it too.
		other := New()
		since := v.Since(now, Progress{})
		other.Apply(now, &since)
		assert.Equal(t, len(other.RemovedTargets("booking")), 1)
		behind := New()
		behind.Apply(now, &told)
		since = v.Since(now, behind.Progress())
		behind.Apply(now, &since)
		assert.Equal(t, len(behind.Targets("booking")), 0, "the entry stays listed at a view that fetches from this one")
		// The target writes its entry again.
		v.Apply(now, &Delta{Revision: 12, Changes: []Change{{ID: "a", Revision: 12, Target: listed.Target}}})
		assert.Equal(t, len(v.Targets("booking")), 1)
		assert.Equal(t, len(v.RemovedTargets("booking")), 0)
		v.Apply(now, &told)
		assert.Equal(t, len(v.Targets("booking")), 1)
	}
}

// Guards against the same resets if the peer tells only the removed entries: one
// that is behind the listing does not know all of them.
func TestRemovalsOfAPeerBehindTheListing(t *testing.T) {
	const now = 5 * time.Second
	peer := New()
	peer.NothingRemovedBefore(0)
	listed := Change{ID: "a", Revision: 3, Target: target("a", 1, Ready, 1)}
	peer.Apply(0, &Delta{Revision: 4, Full: true, ListingRevision: 4, Changes: []Change{listed}, Config: &Config{Version: 1}, ConfigRevision: 2})
	v := New()
	v.Apply(now, &Delta{Revision: 9, Full: true, ListingRevision: 9, Config: &Config{Version: 1}, ConfigRevision: 2})
	start, ago := v.HistoryStart(now)
	told := peer.Removals(now, start, ago)
	v.Apply(now, &told)
	assert.Assert(t, !v.RemovalsKnown(now))
	peer.Apply(now, &Delta{Revision: 9, Changes: []Change{{ID: "a", Revision: 7}}})
	told = peer.Removals(now, start, ago)
	v.Apply(now, &told)
	assert.Assert(t, v.RemovalsKnown(now))
	assert.Equal(t, len(v.RemovedTargets("booking")), 1)
}

// Guards against a removed entry of which a view knows only an earlier incarnation,
// because it has missed the later one: an older copy of the platform would list the
// earlier one again, and the later one may hold flows at another address.
func TestRemovalTellsTheLastIncarnation(t *testing.T) {
	v := New()
	v.Apply(0, &Delta{Full: true, Revision: 1, Changes: []Change{{ID: "a", Revision: 1, Target: target("a", 1, Ready, 1)}}})
	v.Apply(0, &Delta{Revision: 3, Changes: []Change{{ID: "a", Revision: 3, Last: target("a", 2, Draining, 5)}}})
	assert.Equal(t, len(v.Targets("booking")), 0)
	removed := v.RemovedTargets("booking")
	assert.Equal(t, len(removed), 1)
	assert.Equal(t, removed[0].StartUnixMS, int64(5))
	assert.Equal(t, removed[0].Address, target("a", 2, Draining, 5).Address)
	v.Apply(0, listing(1, target("a", 1, Ready, 1)))
	assert.Equal(t, len(v.Targets("booking")), 0)
	// The sender may know only an earlier incarnation.
	v.Apply(0, &Delta{Epoch: 1, Revision: 4, Changes: []Change{{ID: "a", Revision: 4, Last: target("a", 1, Ready, 1)}}})
	assert.Equal(t, v.RemovedTargets("booking")[0].StartUnixMS, int64(5))
}
