package fleet

import "time"

// gapTolerance is the age of its view at which a process takes a full delta that
// skips changes. A standby reader names them within its pause of 0.7 s.
const gapTolerance = 900 * time.Millisecond

// removalHistory says how far back a view knows which entries were removed and to
// which services the addresses led. A listing at the platform does not name them,
// so a process that starts knows none until a peer has told it.
type removalHistory struct {
	// since is from when on all removals and earlier services are known. It is not
	// valid before the view has begun.
	since time.Duration
	begun bool
	// settled says that the peers that were asked know no more. joint says that it is
	// because they started with the process.
	settled, joint bool
	// start is the state that began the history, or ended the last gap, at the time
	// startedAt. The view itself has followed the changes since.
	start     Progress
	startedAt time.Duration
	// gap is the time before since that a full delta has skipped, or nil.
	gap *historyGap
}

// historyGap is a time in which a view may have missed entries that were added and
// removed, and services to which an address led.
type historyGap struct {
	// startedAt is up to when the view knew all changes, after its progress then.
	startedAt time.Duration
	after     Progress
	// since and settled are those of the history before the gap.
	since   time.Duration
	settled bool
	// toStart says that the history before the gap is that of a peer, and that the
	// gap ends with the start of the process.
	toStart bool
}

// recordHistory records what a delta says about the time before it. The delta is
// not applied yet.
func (v *View) recordHistory(now time.Duration, d *Delta) {
	h, since, skips := &v.removalHistory, now, v.skipsChanges(d)
	if d.RemovalsKnownMS != nil {
		since -= time.Duration(*d.RemovalsKnownMS) * time.Millisecond
	}
	switch {
	case d.RemovalsRevision > 0:
		h.recordPart(now, since, d)
	case !h.begun || !v.everConfirmed:
		if !h.begun {
			h.since, h.begun = since, true
		}
		h.since = min(h.since, since)
		h.begin(now, v, d)
	case skips && since > v.confirmedAt && !v.RemovalsKnown(now) && (h.gap == nil || h.gap.toStart):
		// The process has not settled since its start, so it goes on as one that starts.
		h.since, h.gap = since, nil
		h.begin(now, v, d)
	case skips && since > v.confirmedAt:
		if h.gap == nil || h.gap.toStart || v.RemovalsKnown(now) {
			h.gap = &historyGap{startedAt: v.confirmedAt, after: v.Progress(), since: h.since, settled: h.settled}
		}
		h.since, h.settled = since, false
		h.begin(now, v, d)
	case d.Epoch >= v.epoch && h.isCoveredBy(now, d):
		h.since = min(h.since, since)
		if h.gap != nil && (since <= h.gap.startedAt || h.gap.isWatchedBy(d)) {
			h.since, h.settled, h.gap = min(h.since, h.gap.since), h.settled || h.gap.settled, nil
		}
	}
}

func (h *removalHistory) begin(now time.Duration, v *View, d *Delta) {
	h.start, h.startedAt = Progress{d.Epoch, d.listedAt(), max(v.Version(), d.configVersion())}, now
}

// recordPart records that a peer has told what it knows since a time up to a
// revision that is below the start of the history.
func (h *removalHistory) recordPart(now, since time.Duration, d *Delta) {
	if !h.begun || d.Epoch != h.start.Epoch || since >= h.since {
		return
	}
	g := h.gap
	part := historyGap{startedAt: now - time.Duration(d.ConfirmedMS)*time.Millisecond, after: Progress{d.Epoch, d.RemovalsRevision, 0}, since: since, toStart: g == nil || g.toStart}
	switch {
	case g == nil, g.toStart && since < g.since:
	case since <= g.startedAt && part.after.LaterThan(g.after):
		part.since, part.settled = min(since, g.since), g.settled
	default:
		return
	}
	h.gap = &part
}

// isCoveredBy reports whether a delta names the removals up to the start of the
// history, so that the view knows those since then itself. A peer whose view is
// older than that may list an entry that was removed in between.
func (h *removalHistory) isCoveredBy(now time.Duration, d *Delta) bool {
	confirmedAt := now - time.Duration(d.ConfirmedMS)*time.Millisecond
	return !d.Full || d.Epoch > h.start.Epoch || d.listedAt() >= h.start.Revision || confirmedAt >= h.startedAt
}

// skipsChanges reports whether a delta leads the view to a later state without
// naming all changes on the way there.
func (v *View) skipsChanges(d *Delta) bool {
	switch {
	case !v.everConfirmed:
		return false
	case d.Epoch < v.epoch:
		return d.configVersion() > v.Version()
	case d.omitsVersions():
		return v.config != nil && d.configVersion() > v.Version()
	}
	return d.Full && (d.Epoch > v.epoch || d.listedAt() > v.revision)
}

// omitsVersions reports whether a delta is of a peer of a release that does not tell
// the services of the versions between that of the receiver and its own.
func (d *Delta) omitsVersions() bool {
	return !d.Full && d.After == 0 && d.WatchedAfter == 0 && d.PastServices == nil
}

// ToleratesGap reports whether the view takes a full delta that skips changes at
// once: it does not know all removals anyway, for example because the process has
// just started. After a loss of all VMs all views differ and are young.
func (v *View) ToleratesGap(now time.Duration) bool { return !v.RemovalsKnown(now) }

// LeavesGap reports whether a full delta of the view, applied by a process that
// confirmed its own view at an age before now, skips changes that the view does not
// know, and the process should wait for another peer. A process that has just
// started gives such deltas, and the other reader names the changes soon.
func (v *View) LeavesGap(now time.Duration, d *Delta, age time.Duration) bool {
	return d.Full && age < gapTolerance && v.removalHistory.since > now-age
}

// isWatchedBy reports whether a delta has all changes since the gap began.
func (g *historyGap) isWatchedBy(d *Delta) bool {
	return d.WatchedAfter > 0 && d.Epoch == g.after.Epoch && d.WatchedAfter <= g.after.Revision
}

func (h *removalHistory) knownMS(now time.Duration) *int64 {
	if !h.begun {
		return nil
	}
	ms := int64(min(now-h.since, RemovedEntryRetention) / time.Millisecond)
	return &ms
}

// RemovalsKnown reports whether the view knows every entry that was removed
// within RemovedEntryRetention and every service to which an address led in that
// time, as far as any process knows them. As long as it does not, a target that
// is not in the view, or one of another service, may hold flows.
func (v *View) RemovalsKnown(now time.Duration) bool {
	h := &v.removalHistory
	return h.settled || h.begun && now-h.since >= RemovedEntryRetention
}

// HistoryGap reports whether the view has missed changes after it had begun, which
// some peer may know, and for how long it knows all changes since.
func (v *View) HistoryGap(now time.Duration) (known time.Duration, gap bool) {
	g := v.removalHistory.gap
	return now - v.removalHistory.since, g != nil && !g.toStart
}

// CompleteTo returns the progress up to which the view knows all changes and
// versions, or a peer does that has told its history. After a gap, a watch from
// there names what the view has missed.
func (v *View) CompleteTo(now time.Duration) Progress {
	if g := v.removalHistory.gap; g != nil && !v.RemovalsKnown(now) {
		return g.after
	}
	return v.Progress()
}

// NothingRemovedBefore records that no entry was removed before the time now,
// because the whole system starts for the first time.
func (v *View) NothingRemovedBefore(now time.Duration) {
	v.removalHistory = removalHistory{since: now - RemovedEntryRetention, begun: true, startedAt: now}
}

// SettleRemovals records that the peers that were asked know no more removals,
// because they started with the process.
func (v *View) SettleRemovals() {
	v.AdoptSettledRemovals()
	v.removalHistory.joint = true
}

// AdoptSettledRemovals records that the peers that were asked know no more removals,
// and that some of them, which started earlier, have found before that nobody does.
func (v *View) AdoptSettledRemovals() {
	h := &v.removalHistory
	h.settled, h.joint, h.gap = true, false, nil
}

// AllStartedTogether reports whether the removals count as known because the peers
// that were asked started with the process.
func (v *View) AllStartedTogether() bool { return v.removalHistory.settled && v.removalHistory.joint }

// HistoryStart returns from which state on the view has followed all changes, and
// how long ago that was.
func (v *View) HistoryStart(now time.Duration) (start Progress, ago time.Duration) {
	return v.removalHistory.start, now - v.removalHistory.startedAt
}

// RemovalsSettled reports whether the removals count as known because the peers
// that were asked know no more.
func (v *View) RemovalsSettled() bool { return v.removalHistory.settled }

// Removals returns a delta with what a listing at the platform does not name: the
// entries that were removed within RemovedEntryRetention, and the earlier services
// of the addresses. The peer that asks has followed the changes since a state some
// time ago.
func (v *View) Removals(now time.Duration, start Progress, ago time.Duration) Delta {
	d := Delta{Epoch: v.epoch, PastServices: v.pastServicesAt(now), RemovalsSettled: v.RemovalsSettled(), DisturbedMS: v.disturbedMS(now)}
	seen := Progress{v.epoch, max(v.revision, v.floor), v.Version()}
	isCurrent := !start.AheadOf(seen) || start.Version <= seen.Version && v.Age(now) <= ago
	if d.RemovalsKnownMS = v.removalHistory.knownMS(now); !isCurrent {
		d.RemovalsRevision, d.ConfirmedMS = v.revision, int64(min(v.Age(now), time.Hour)/time.Millisecond)
		d.RemovalsSettled = false
		if v.revision == 0 {
			d.RemovalsKnownMS = nil
		}
	}
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
		e.unnamed = nil
	}
	if !e.removed {
		e.removed = true
		v.removals = append(v.removals, e)
	}
	e.removedAt = now - time.Duration(c.RemovedMS)*time.Millisecond
	v.index.add(e)
}

// learnLast records the state of a removed entry before its removal if it is later
// than the one that the view has seen.
func (v *View) learnLast(e *entry, c *Change) {
	if c.Last == nil || e.target == nil || !e.target.precedes(c.Last) {
		return
	}
	v.index.remove(e)
	e.target = v.index.intern(c.Last, e.id)
	v.index.add(e)
}

// learnUnseen adds the entry of a change from a view that is behind this one, in
// which the entry is listed. Otherwise an entry that was removed just before a
// process read the platform would be missing from its view, although a peer tells
// it all removals. A later view that lists the entry unchanged lists it here too.
func (v *View) learnUnseen(now time.Duration, c *Change) {
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
