package fleet

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// drainStore is the part of the platform's store that holds drain requests.
type drainStore struct {
	epoch, revision uint64
	requests        map[string]uint64
	history         []DrainChange
}

func newDrainStore() *drainStore { return &drainStore{requests: map[string]uint64{}, revision: 10} }

func (s *drainStore) write(name string) {
	s.revision++
	s.requests[name] = s.revision
	s.history = append(s.history, DrainChange{name, s.revision, false})
}

func (s *drainStore) remove(name string) {
	if _, ok := s.requests[name]; !ok {
		return
	}
	s.revision++
	delete(s.requests, name)
	s.history = append(s.history, DrainChange{name, s.revision, true})
}

// restore returns the store to a copy of an earlier state.
func (s *drainStore) restore(copied drainStore) {
	copied.epoch = s.epoch + 1
	*s = copied
}

func (s *drainStore) copyState() drainStore {
	c := drainStore{epoch: s.epoch, revision: s.revision, requests: map[string]uint64{}, history: append([]DrainChange(nil), s.history...)}
	for name, revision := range s.requests {
		c.requests[name] = revision
	}
	return c
}

func (s *drainStore) listing() *Delta {
	d := &Delta{Epoch: s.epoch, Full: true, Revision: s.revision, ListingRevision: s.revision, Drains: &Drains{Epoch: s.epoch, Revision: s.revision}}
	for name, revision := range s.requests {
		d.Drains.Requests = append(d.Drains.Requests, DrainRequest{name, revision})
	}
	return d
}

func (s *drainStore) watch(after uint64) *Delta {
	c := &DrainChanges{Epoch: s.epoch, After: after, Through: s.revision}
	for _, change := range s.history {
		if change.Revision > after {
			c.Changes = append(c.Changes, change)
		}
	}
	return &Delta{Epoch: s.epoch, Revision: s.revision, DrainChanges: c}
}

// pull applies to v what a peer with the view from tells.
func pull(t assert.TestingT, now time.Duration, v, from *View, oldBuild bool) {
	told := from.Since(now, v.Progress())
	b, err := json.Marshal(told)
	assert.NilError(t, err)
	var d Delta
	assert.NilError(t, json.Unmarshal(b, &d))
	assert.NilError(t, d.Validate())
	if oldBuild {
		d.Drains = nil
	}
	v.Apply(now, &d)
}

func drained(v *View) string { return strings.Join(v.DrainedDataCentres(), " ") }

// Guards against drain requests that are missing from listings, watches or deltas
// between peers, and against a removal that makes the view panic or forget others.
func TestDrainsAreAdopted(t *testing.T) {
	s, reader, peer := newDrainStore(), New(), New()
	s.write("a")
	reader.Apply(0, s.listing())
	assert.Equal(t, drained(reader), "a")
	at := s.revision
	s.write("b")
	s.remove("a")
	reader.Apply(0, s.watch(at))
	assert.Equal(t, drained(reader), "b")
	pull(t, 0, peer, reader, false)
	assert.Equal(t, drained(peer), "b")
	assert.Assert(t, peer.Drained("b") && !peer.Drained("a") && peer.DrainsComplete())
	// The removal of a request that the view has not seen.
	at = s.revision
	s.write("c")
	s.remove("c")
	s.history = s.history[len(s.history)-1:]
	reader.Apply(0, s.watch(at))
	assert.Equal(t, drained(reader), "b")
	// A listing without the request, after a gap.
	s.remove("b")
	reader.Apply(0, s.listing())
	assert.Equal(t, drained(reader), "")
	pull(t, 0, peer, reader, false)
	assert.Equal(t, drained(peer), "")
}

// Guards against a view that undoes a drain because a late or cut-off process tells
// an older state: a reader that was cut off between the drain and the undrain.
func TestDrainsDoNotGoBack(t *testing.T) {
	s, cut, v := newDrainStore(), New(), New()
	s.write("a")
	cut.Apply(0, s.listing())
	v.Apply(0, s.listing())
	s.remove("a")
	s.write("b")
	v.Apply(0, s.watch(v.Revision()))
	assert.Equal(t, drained(v), "b")
	pull(t, 0, v, cut, false)
	assert.Equal(t, drained(v), "b")
	pull(t, 0, cut, v, false)
	assert.Equal(t, drained(cut), "b")
}

// Guards against a listing whose later page shows a newer request, which then is
// taken back by a process that knows the state up to an earlier revision.
func TestDrainOfALaterPage(t *testing.T) {
	s, v, peer := newDrainStore(), New(), New()
	v.Apply(0, s.listing())
	peer.Apply(0, s.listing())
	listed := s.listing()
	s.write("z")
	listed.Drains.Requests = []DrainRequest{{"z", s.revision}}
	v.Apply(0, listed)
	assert.Equal(t, drained(v), "z")
	pull(t, 0, v, peer, false)
	assert.Equal(t, drained(v), "z")
	v.Apply(0, s.watch(listed.ListingRevision))
	assert.Equal(t, drained(v), "z")
}

// Guards against a delta of an earlier release that leads a view to a revision at which
// it wrongly takes its drain requests for complete, or that removes them.
func TestDrainsOfAnOldBuild(t *testing.T) {
	s, v, old := newDrainStore(), New(), New()
	s.write("a")
	v.Apply(0, s.listing())
	s.write("b")
	old.Apply(0, s.listing())
	pull(t, 0, v, old, true)
	assert.Equal(t, v.Revision(), s.revision)
	assert.Equal(t, drained(v), "a")
	assert.Assert(t, !v.DrainsComplete())
	// The peers of this process learn that it lacks some.
	child := New()
	pull(t, 0, child, v, false)
	assert.Assert(t, !child.DrainsComplete())
	// A watch that begins after the gap does not close it.
	at := s.revision
	s.write("c")
	v.Apply(0, s.watch(at))
	assert.Equal(t, drained(v), "a c")
	assert.Assert(t, !v.DrainsComplete())
	assert.Assert(t, v.ApplyDrains(0, s.listing().Drains))
	assert.Equal(t, drained(v), "a b c")
	assert.Assert(t, v.DrainsComplete())
	fresh := New()
	pull(t, 0, fresh, old, true)
	assert.Assert(t, !fresh.DrainsKnown() && !fresh.DrainsComplete())
}

// Guards against an older copy of the platform's state that undoes a drain or an
// undrain, and against a known state that outlives what the operator writes then.
func TestDrainsAfterOlderCopy(t *testing.T) {
	begin := func() (s *drainStore, v *View) {
		s, v = newDrainStore(), New()
		s.write("lost")
		s.write("undone")
		v.Apply(0, s.listing())
		s.remove("lost")
		v.Apply(0, s.watch(v.Revision()))
		older := s.copyState()
		s.remove("undone")
		s.write("lost")
		s.write("other")
		v.Apply(0, s.watch(v.Revision()))
		assert.Equal(t, drained(v), "lost other")
		s.restore(older)
		v.Apply(0, s.listing())
		assert.Equal(t, drained(v), "lost other")
		assert.Assert(t, v.DrainsComplete())
		return s, v
	}
	t.Run("operator writes again", func(t *testing.T) {
		s, v := begin()
		at := s.revision
		s.write("lost")
		s.remove("undone")
		v.Apply(0, s.watch(at))
		assert.Equal(t, drained(v), "lost other")
		at = s.revision
		s.remove("lost")
		s.write("undone")
		v.Apply(0, s.watch(at))
		assert.Equal(t, drained(v), "other undone")
	})
	t.Run("operator writes again, told by a peer", func(t *testing.T) {
		s, v := begin()
		reader := New()
		s.remove("undone")
		s.write("undone")
		reader.Apply(0, s.listing())
		pull(t, 0, v, reader, false)
		assert.Equal(t, drained(v), "lost other undone")
	})
	t.Run("new request before the first listing", func(t *testing.T) {
		s, v := newDrainStore(), New()
		older := s.copyState()
		s.write("a")
		v.Apply(0, s.listing())
		s.restore(older)
		s.write("b")
		v.Apply(0, s.listing())
		assert.Equal(t, drained(v), "a b")
	})
	t.Run("removal of a request that the copy lacks", func(t *testing.T) {
		s, v := begin()
		v.Apply(0, &Delta{Epoch: s.epoch, Revision: s.revision + 1, DrainChanges: &DrainChanges{Epoch: s.epoch, After: s.revision, Through: s.revision + 1,
			Changes: []DrainChange{{"other", s.revision + 1, true}}}})
		assert.Equal(t, drained(v), "lost")
	})
	t.Run("operator does not write", func(t *testing.T) {
		_, v := begin()
		v.Expire(DrainGrace - 1)
		assert.Equal(t, drained(v), "lost other")
		v.Expire(DrainGrace)
		assert.Equal(t, drained(v), "undone")
	})
	t.Run("process that starts in between", func(t *testing.T) {
		s, v := begin()
		started := New()
		started.Apply(0, s.listing())
		assert.Equal(t, drained(started), "undone")
		// It does not lead the others back.
		pull(t, 0, v, started, false)
		assert.Equal(t, drained(v), "lost other")
	})
	t.Run("process of the earlier epoch", func(t *testing.T) {
		s, v := begin()
		late := New()
		late.Apply(0, &Delta{Epoch: s.epoch - 1, Revision: 1000, Drains: &Drains{Epoch: s.epoch - 1, Revision: 1000}})
		pull(t, 0, v, late, false)
		assert.Equal(t, drained(v), "lost other")
	})
}

// Guards against views that go back to an older state of a drain request, or that
// do not agree in the end, for random orders of listings, watches and deltas of
// peers, some of earlier releases.
func TestDrainsNeverGoBackInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newDrainStore()
		names := []string{"a", "b", "c"}
		views := []*View{New(), New(), New(), New()}
		// seen has, for each view and data centre, the earliest revision whose state
		// the view may have shown last.
		seen := map[string]uint64{}
		stateAt := func(name string, revision uint64) (there bool) {
			for _, c := range s.history {
				if c.DataCentre == name && c.Revision <= revision {
					there = !c.Removed
				}
			}
			return there
		}
		check := func() {
			for i, v := range views {
				if !v.DrainsKnown() {
					continue
				}
				for _, name := range names {
					key := fmt.Sprint(i, name)
					at := seen[key]
					for ; at <= s.revision && stateAt(name, at) != v.Drained(name); at++ {
					}
					if at > s.revision {
						t.Fatalf("view %d went back for %s: drained is %v, last seen state of revision %d", i, name, v.Drained(name), seen[key])
					}
					seen[key] = at
				}
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			v := rapid.SampledFrom(views).Draw(t, "view")
			name := rapid.SampledFrom(names).Draw(t, "name")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				s.write(name)
			case 1:
				s.remove(name)
			case 2:
				v.Apply(0, s.listing())
			case 3:
				// The first page is older than the page with the requests.
				d := s.listing()
				s.write(name)
				later := s.listing()
				later.ListingRevision, later.Revision, later.Drains.Revision = d.ListingRevision, d.Revision, d.Drains.Revision
				v.Apply(0, later)
			case 4:
				if v.Revision() > 0 {
					v.Apply(0, s.watch(v.Revision()))
				}
			default:
				from := rapid.SampledFrom(views).Draw(t, "from")
				pull(t, 0, v, from, rapid.IntRange(0, 3).Draw(t, "old") == 0)
			}
			check()
		}
		for _, v := range views {
			v.ApplyDrains(0, s.listing().Drains)
			for _, name := range names {
				assert.Equal(t, v.Drained(name), s.requests[name] > 0)
			}
			if v.DrainsKnown() {
				assert.Assert(t, v.DrainsComplete())
			}
		}
	})
}

// Guards against names that are taken for data centres although no data centre can
// have them, and against a delta of a peer with such a request.
func TestDrainNames(t *testing.T) {
	for name, ok := range map[string]bool{"dhg": true, "eu-1.a": true, "": false, "a/b": false, "a b": false, "a\n": false, strings.Repeat("x", 254): false} {
		assert.Equal(t, CheckDrainName(name) == nil, ok, name)
	}
	d := Delta{Drains: &Drains{Requests: []DrainRequest{{"a", 1}, {"", 2}}}}
	assert.ErrorContains(t, d.Validate(), "drains.requests[1].data_centre")
}
