package fleet

import (
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

// disturbedMS returns the time since the platform was last found disturbed, in
// milliseconds, or nil if it never was.
func (v *View) disturbedMS(now time.Duration) *int64 {
	if !v.wasDisturbed {
		return nil
	}
	ms := int64((now - v.disturbedAt) / time.Millisecond)
	return &ms
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
