package fleet

import (
	"cmp"
	"net/netip"
	"time"
)

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
