package fleet

import "time"

// removalHistory says how far back a view knows which entries were removed. A
// listing at the platform does not name them, so a process that starts knows
// none until a peer has told it.
type removalHistory struct {
	// since is from when on all removals are known. It is not valid before the
	// view has begun.
	since time.Duration
	begun bool
	// settled says that the peers that were asked know no more.
	settled bool
}

// begin records that the view has its first state, and the history of the sender
// of a delta. A sender that is behind the listing from revision floor on, with which
// the view began, may not know entries that were removed just before it.
func (h *removalHistory) begin(now time.Duration, d *Delta, floor uint64) {
	since := now
	behind := d.RemovalsRevision != 0 && d.RemovalsRevision < floor
	if d.RemovalsKnownMS != nil && !behind {
		since -= time.Duration(*d.RemovalsKnownMS) * time.Millisecond
	}
	if !h.begun || since < h.since {
		h.since, h.begun = since, true
	}
}

func (h *removalHistory) knownMS(now time.Duration) *int64 {
	if !h.begun {
		return nil
	}
	ms := int64(min(now-h.since, RemovedEntryRetention) / time.Millisecond)
	return &ms
}

// RemovalsKnown reports whether the view knows every entry that was removed
// within RemovedEntryRetention, as far as any process knows it. As long as it
// does not, a target that is not in the view may run and hold flows.
func (v *View) RemovalsKnown(now time.Duration) bool {
	h := &v.removalHistory
	return h.settled || h.begun && now-h.since >= RemovedEntryRetention
}

// NothingRemovedBefore records that no entry was removed before the time now,
// because the whole system starts for the first time.
func (v *View) NothingRemovedBefore(now time.Duration) {
	v.removalHistory = removalHistory{since: now - RemovedEntryRetention, begun: true}
}

// SettleRemovals records that the peers that were asked know no more removals.
func (v *View) SettleRemovals() { v.removalHistory.settled = true }

// Removals returns a delta with what a listing at the platform does not name: the
// entries that were removed within RemovedEntryRetention, and the earlier
// services of the addresses.
func (v *View) Removals(now time.Duration) Delta {
	d := Delta{Epoch: v.epoch, RemovalsKnownMS: v.removalHistory.knownMS(now), RemovalsRevision: v.revision, PastServices: v.pastServicesAt(now)}
	var removed []*entry
	for _, e := range v.removals {
		if e.removed && e.target != nil {
			removed = append(removed, e)
		}
	}
	d.add(now, removed, v.revision)
	return d
}

// learnRemoved adds an entry that was removed before the view could know it.
func (v *View) learnRemoved(now time.Duration, e *entry, c *Change) {
	e.target = v.index.intern(c.Last, e.id)
	if c.Revision > e.revision {
		v.setRevision(e, c.Revision)
	}
	if !e.removed {
		e.removed = true
		v.removals = append(v.removals, e)
	}
	e.removedAt = now - time.Duration(c.RemovedMS)*time.Millisecond
	v.index.add(e)
}

// learnGone adds the entry of a change from a view that is behind this one, in
// which the entry is listed. Otherwise an entry that was removed just before a
// process read the platform would be missing from its view, although a peer tells
// it all removals. A later view that lists the entry unchanged lists it here too.
func (v *View) learnGone(now time.Duration, c *Change) {
	if c.Target == nil || c.Revision == 0 || v.entries[c.ID] != nil {
		return
	}
	e := &entry{id: c.ID, unseen: true}
	v.entries[c.ID] = e
	v.learnRemoved(now, e, &Change{ID: c.ID, Revision: c.Revision - 1, Last: c.Target})
}

// LapsedAgents returns the agents of all targets whose entries may be listed again,
// because the platform was disturbed within ReturnGrace.
func (v *View) LapsedAgents(now time.Duration) (members []Member) {
	if !v.RecentlyDisturbed(now) {
		return nil
	}
	for _, e := range v.removals {
		if e.removed && e.target != nil && e.target.State == Ready {
			members = append(members, Member{VM: e.target.Agent(), DataCentre: e.target.DataCentre})
		}
	}
	return members
}
