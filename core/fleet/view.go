package fleet

import (
	"cmp"
	"net/netip"
	"time"
)

// entry holds the newest known state of one ID.
type entry struct {
	id string
	// revision is 0 if the state is of an earlier epoch.
	revision uint64
	// target is the newest readable state, nil if there never was one. If
	// removed is set, it is the last state before the removal.
	target    *Target
	removed   bool
	removedAt time.Duration
	// writtenAt is the latest time at which target may have been written. It is set
	// only while the target is warming up.
	writtenAt time.Duration
	// unseen says that the view has the entry only from a view that was behind it.
	unseen bool
	// unnamed is the newest state if no version names its service. The entry counts
	// as removed until a version does.
	unnamed *Target
	// nextOnVM links to another listed entry on the same VM.
	nextOnVM *entry
}

// listed returns the state of the entry, or nil if the entry was removed.
func (e *entry) listed() *Target {
	if e.removed {
		return nil
	}
	return e.target
}

// View is one process's copy of the fleet's state. It is not safe for
// concurrent use.
type View struct {
	// epoch is the epoch of all revisions in the view.
	epoch, revision uint64
	// floor is the lowest revision from which a delta is complete.
	floor   uint64
	entries map[string]*entry
	// recentChanges holds the newest changes. removals holds the removed
	// entries in the order of their removal.
	recentChanges changeLog
	removals      []*entry

	config         *Config
	configRevision uint64
	// warmupLimits has the services of config with a limit while a target warms up.
	warmupLimits map[string]float64
	// named holds the services that the routes name, nil if they do not tell.
	named map[string]bool
	// pastConfigs holds the versions before config, newest last.
	pastConfigs []*Config
	routes      map[netip.AddrPort]*Route
	retired     map[netip.AddrPort]retiredRoute
	// pastServices holds, by address, the services that it no longer leads to,
	// the latest last.
	pastServices map[netip.AddrPort][]pastService

	// confirmedAt is when the revision was last known to be the newest.
	confirmedAt   time.Duration
	everConfirmed bool
	// configuredAt is when the first routes were known.
	configuredAt time.Duration
	// disturbedAt is when a reader last failed to reach the platform. The
	// reader is this process or another one whose delta reported it.
	disturbedAt  time.Duration
	wasDisturbed bool
	// removalHistory says from when on the view knows the entries that were removed.
	removalHistory removalHistory

	drains drains
	// regions has the region of each data centre.
	regions map[string]string
	index   index
}

type retiredRoute struct {
	route     *Route
	retiredAt time.Duration
}

// New returns an empty view.
func New() *View {
	return &View{entries: map[string]*entry{}, routes: map[netip.AddrPort]*Route{}, retired: map[netip.AddrPort]retiredRoute{}, pastServices: map[netip.AddrPort][]pastService{}, drains: newDrains(), index: newIndex()}
}

// Revision returns the revision up to which the view is complete.
func (v *View) Revision() uint64 { return v.revision }

// Apply applies a delta and reports whether it changed the targets and the
// routes. A change that is not newer than the view's state is ignored. A listing
// at the platform is no snapshot, so a delta may name changes above the revision
// up to which it is complete. Of a delta of another epoch, only the routes are
// applied, unless it is a full delta of a newer one.
func (v *View) Apply(now time.Duration, d *Delta) (targets, config bool) {
	if d.DisturbedMS != nil {
		v.RecordDisturbance(now - time.Duration(*d.DisturbedMS)*time.Millisecond)
	}
	v.addToldServices(now, d)
	v.applyDrains(now, d)
	continues := d.Epoch != v.epoch || v.continues(d)
	if continues {
		v.recordHistory(now, d)
	}
	if d.Full && d.Epoch > v.epoch {
		v.startEpoch(now, d.Epoch)
	}
	if d.Epoch != v.epoch {
		return v.applyConfig(now, d)
	}
	// The routes come first, because they name the services of the entries.
	targets, config = v.applyConfig(now, d)
	behind := max(d.Revision, d.ListingRevision) < v.revision
	for i := range d.Changes {
		c := &d.Changes[i]
		if known := v.entries[c.ID]; behind && c.Revision <= v.revision && (known == nil || known.unseen) && c.Last == nil {
			// The view is complete up to its revision, so the entry was removed.
			// The sender may not know that yet, and this view may not have seen
			// the entry, so its target may run and hold flows.
			v.learnUnseen(now, c)
			continue
		}
		targets = v.applyChange(now, c) || targets
	}
	complete := d.Revision
	if d.Full {
		at := d.listedAt()
		if v.removeMissing(now, d, at) {
			targets, complete = true, max(complete, at)
		}
		v.floor = max(v.floor, at)
	}
	if !continues {
		// The view does not know the changes before those of the delta.
		return targets, config
	}
	if d.Patch != nil && d.Patch.Version > v.Version() {
		// The patch does not apply to the view's version. The revision stays,
		// so that the routes are fetched again.
		return targets, config
	}
	v.revision = max(v.revision, complete)
	if !behind {
		v.Confirm(now, time.Duration(d.ConfirmedMS)*time.Millisecond, v.Progress())
	}
	return targets, config
}

// applyConfig applies the version of the routes that a delta leads to, if it is
// newer than that of the view. It reports whether this changed the targets, and the
// routes.
func (v *View) applyConfig(now time.Duration, d *Delta) (targets, config bool) {
	c := v.configOf(d)
	if c == nil || c.Version <= v.Version() {
		return false, false
	}
	v.setConfig(now, c, d.ConfigRevision)
	return v.nameServices(now), true
}

// configOf returns the version of the routes that a delta leads to, or nil.
func (v *View) configOf(d *Delta) *Config {
	if d.Patch != nil {
		return d.Patch.Apply(v.config)
	}
	return d.Config
}

func (v *View) applyChange(now time.Duration, c *Change) bool {
	e := v.entries[c.ID]
	if e == nil {
		e = &entry{id: c.ID}
		v.entries[c.ID] = e
	}
	if c.Last != nil && e.target == nil && (c.Target == nil || e.unnamed != nil && c.Revision <= e.revision) {
		v.learnRemoved(now, e, c)
		return false
	}
	if c.Revision <= e.revision {
		return false
	}
	if c.Target == nil {
		changed := v.remove(now, e, c.Revision)
		v.learnLast(e, c)
		return changed
	}
	ofEarlierEpoch := e.revision == 0
	v.setRevision(e, c.Revision)
	e.unseen = false
	if known := cmp.Or(e.unnamed, e.target); ofEarlierEpoch && known != nil && c.Target.precedes(known) {
		return false
	}
	e.writtenAt = now - min(time.Duration(c.AgeMS), maxStateAge/time.Millisecond)*time.Millisecond
	if !v.namesService(c.Target.Service) {
		return v.setUnnamed(now, e, c)
	}
	v.list(e, v.index.intern(c.Target, e.id))
	return true
}

func (v *View) list(e *entry, t *Target) {
	v.index.remove(e)
	e.target, e.removed, e.unnamed = t, false, nil
	v.index.add(e)
}

// remove marks an entry as removed and reports whether it was listed. It also
// keeps an entry that was never listed, so that an older state of it that
// arrives late is ignored.
func (v *View) remove(now time.Duration, e *entry, revision uint64) bool {
	v.setRevision(e, revision)
	if e.unnamed != nil {
		// The entry may have left the list of removals.
		e.unnamed, e.removedAt = nil, now
		v.removals = append(v.removals, e)
	}
	return v.unlist(now, e)
}

// unlist marks an entry as removed, whatever its revision.
func (v *View) unlist(now time.Duration, e *entry) bool {
	if e.removed {
		return false
	}
	v.index.remove(e)
	e.removed, e.removedAt = true, now
	v.index.add(e)
	v.removals = append(v.removals, e)
	return e.target != nil
}

func (v *View) setRevision(e *entry, revision uint64) {
	e.revision = revision
	v.recentChanges.add(e)
}

// removeMissing removes the listed entries that a full delta does not name and
// that are not newer than revision at.
func (v *View) removeMissing(now time.Duration, d *Delta, at uint64) (changed bool) {
	named := make(map[string]bool, len(d.Changes))
	for i := range d.Changes {
		named[d.Changes[i].ID] = true
	}
	for id, e := range v.entries {
		if !named[id] && (e.listed() != nil || e.unnamed != nil) && e.revision <= at {
			changed = v.remove(now, e, at) || changed
		}
	}
	return changed
}

func (v *View) setConfig(now time.Duration, c *Config, revision uint64) {
	v.warmupLimits = c.warmupLimits()
	routes := make(map[netip.AddrPort]*Route, len(c.Routes))
	for i := range c.Routes {
		routes[c.Routes[i].Address] = &c.Routes[i]
	}
	v.recordPastServices(now, c.Version, routes)
	for address, r := range v.routes {
		if routes[address] == nil {
			v.retired[address] = retiredRoute{r, now}
		}
	}
	for address := range routes {
		delete(v.retired, address)
	}
	if v.config == nil {
		v.configuredAt = now
	} else {
		v.pastConfigs = append(v.pastConfigs, v.config)
		v.pastConfigs = v.pastConfigs[max(0, len(v.pastConfigs)-keptVersions):]
	}
	v.config, v.configRevision, v.routes = c, max(revision, v.configRevision), routes
}

// Confirm records that there was no change after the progress p at the time
// now-age. The call has no effect if the view is later than p.
func (v *View) Confirm(now, age time.Duration, p Progress) {
	if v.Progress().LaterThan(p) {
		return
	}
	if at := now - age; !v.everConfirmed || at > v.confirmedAt {
		v.confirmedAt, v.everConfirmed = at, true
	}
}

// Age returns the time since the view was last known to be up to date, or the
// longest duration if it never was.
func (v *View) Age(now time.Duration) time.Duration {
	if !v.everConfirmed {
		return time.Duration(1<<63 - 1)
	}
	return max(0, now-v.confirmedAt)
}

// RecordSuspension adds d to the age of the view: time in which the VM was
// suspended and that the monotonic clock did not count.
func (v *View) RecordSuspension(d time.Duration) { v.confirmedAt -= d }

// RecordDisturbance records that a reader could not reach the platform, or not
// in time.
func (v *View) RecordDisturbance(now time.Duration) {
	if !v.wasDisturbed || now > v.disturbedAt {
		v.disturbedAt, v.wasDisturbed = now, true
	}
}

// retainLapsed begins the retention time of lapsed entries anew, because their
// targets get new flows as long as they may be listed again.
func (v *View) retainLapsed(now time.Duration) {
	if !v.RecentlyDisturbed(now) {
		return
	}
	for _, e := range v.removals {
		if e.removed && e.target != nil && e.target.State == Ready {
			e.removedAt = now
		}
	}
}

// Expire discards removed entries, retired routes and earlier services whose
// retention time has passed, and drain requests that the platform has lost.
func (v *View) Expire(now time.Duration) {
	v.retainLapsed(now)
	for len(v.removals) > 0 && now-v.removals[0].removedAt > RemovedEntryRetention {
		e := v.removals[0]
		v.removals = v.removals[1:]
		// An entry that was listed again and removed again is in removals twice.
		if e.removed && now-e.removedAt > RemovedEntryRetention && v.entries[e.id] == e {
			v.index.remove(e)
			if e.unnamed != nil {
				e.target = nil
				continue
			}
			v.floor = max(v.floor, e.revision)
			delete(v.entries, e.id)
		}
	}
	for address, r := range v.retired {
		if now-r.retiredAt > RetiredRouteRetention {
			delete(v.retired, address)
		}
	}
	v.expirePastServices(now)
	v.drains.expire(now)
}
