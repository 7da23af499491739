package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Since returns the changes after the progress of a peer. If the peer has no view,
// one of another epoch or one that is too old, it returns a full delta.
func (v *View) Since(now time.Duration, p Progress) Delta {
	after := p.Revision
	full := after == 0 || after < v.floor || p.Epoch != v.epoch
	if full {
		after = 0
	}
	d := Delta{Epoch: v.epoch, Revision: v.revision, After: after, Full: full, Drains: v.drains.stated(), ConfirmedMS: int64(min(v.Age(now), time.Hour) / time.Millisecond)}
	d.DisturbedMS = v.disturbedMS(now)
	entries, complete := v.recentChanges.since(after)
	if full || !complete {
		entries = v.entriesAfter(after)
	}
	d.add(now, entries, v.revision)
	if full {
		d.RemovalsKnownMS = v.removalHistory.knownMS(now)
	}
	slices.SortFunc(d.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
	if v.config != nil && p.Version < v.config.Version {
		d.ConfigRevision = v.configRevision
		if base := v.pastVersion(p.Version); base != nil {
			d.Patch, d.PastServices = Diff(base, v.config), v.pastServicesBetween(now, base)
		} else {
			d.Config, d.PastServices = v.config, v.pastServicesAt(now)
		}
	}
	if full {
		// The peer may have missed versions as well as entries.
		d.PastServices = v.pastServicesAt(now)
	}
	return d
}

// configVersion returns the version of the routes that a delta leads to, or 0.
func (d *Delta) configVersion() uint64 {
	switch {
	case d.Patch != nil:
		return d.Patch.Version
	case d.Config != nil:
		return d.Config.Version
	}
	return 0
}

// continues reports whether the view knows all changes before those of a delta of
// its epoch.
func (v *View) continues(d *Delta) bool { return d.Full || d.After <= v.revision }

// listedAt returns the revision of the state that a full delta lists.
func (d *Delta) listedAt() uint64 { return cmp.Or(d.ListingRevision, d.Revision) }

// entriesAfter returns the entries whose revision is above after. After 0, these
// are all entries of the epoch.
func (v *View) entriesAfter(after uint64) []*entry {
	var entries []*entry
	for _, e := range v.entries {
		if e.revision > after {
			entries = append(entries, e)
		}
	}
	return entries
}

// add adds the newest states of entries of a view with a revision. The revision at
// which an unseen entry was removed is not known; it is at most that of the view.
func (d *Delta) add(now time.Duration, entries []*entry, revision uint64) {
	d.Changes = make([]Change, 0, len(entries))
	for _, e := range entries {
		c := e.change(now)
		if e.unseen {
			c.Revision = revision
		}
		d.Changes = append(d.Changes, c)
	}
}

// change returns the newest state of an entry.
func (e *entry) change(now time.Duration) Change {
	c := Change{ID: e.id, Revision: e.revision, Target: e.listed()}
	if e.unnamed != nil {
		c.Target = e.unnamed
	}
	if c.Target != nil && c.Target.WarmupMS > 0 {
		c.AgeMS = max(0, int64((now-e.writtenAt)/time.Millisecond))
	}
	if e.removed {
		c.Last, c.RemovedMS = e.target, max(0, int64((now-e.removedAt)/time.Millisecond))
	}
	return c
}

// pastVersion returns an earlier version of the routes, or nil if the view does not
// have it.
func (v *View) pastVersion(version uint64) *Config {
	for _, c := range v.pastConfigs {
		if c.Version == version {
			return c
		}
	}
	return nil
}
