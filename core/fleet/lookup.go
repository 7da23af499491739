package fleet

import (
	"net/netip"
	"slices"
	"time"
)

// Route returns the route for an address.
func (v *View) Route(address netip.AddrPort) (*Route, bool) {
	r, ok := v.routes[address]
	return r, ok
}

// RetiredRoute returns the route that an address had, if it was removed within
// RetiredRouteRetention. Packets of open flows are still forwarded on it.
func (v *View) RetiredRoute(address netip.AddrPort) (*Route, bool) {
	r, ok := v.retired[address]
	return r.route, ok
}

// ServiceOf returns the service of a route for a flow. In a route with several
// services, the hash of the flow selects one.
func (r *Route) ServiceOf(hash uint64) string {
	total := 0
	for _, s := range r.Split {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Split {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Service
}

// Targets returns the listed targets of a service, sorted by ID. The caller
// must not change the result.
func (v *View) Targets(service string) []*Target { return v.index.targets(service) }

// ReadyTargets returns the listed targets of a service that take new flows.
func (v *View) ReadyTargets(service string) []*Target {
	var ready []*Target
	for _, t := range v.Targets(service) {
		if t.State == Ready {
			ready = append(ready, t)
		}
	}
	return ready
}

// Roster returns a digest of the VMs on which the listed targets of a service
// run in a data centre. Two views with the same digest list the same VMs.
func (v *View) Roster(service, dataCentre string) (digest uint64) {
	for _, t := range v.Targets(service) {
		if t.DataCentre == dataCentre {
			digest ^= hashOf(t.Agent())
		}
	}
	return digest
}

// Services returns the sorted names of the services that have listed targets.
func (v *View) Services() []string {
	var names []string
	for name := range v.index.services {
		if len(v.index.targets(name)) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HiddenTargets returns the listed targets of a service whose address a newer listed
// entry has, of any service. Usually they have crashed and their entries lapse soon.
// If the newer entry is another writer's, they run and have open flows.
func (v *View) HiddenTargets(service string) []*Target { return v.index.hiddenTargets(service) }

// RemovedTargets returns the targets of a service that were removed within
// RemovedEntryRetention. They may still have open flows.
func (v *View) RemovedTargets(service string) []*Target { return v.index.removedTargets(service) }

// LapsedTargets returns the targets of a service whose entries were removed
// without a drain and may be listed again, because the platform was disturbed
// within ReturnGrace.
func (v *View) LapsedTargets(now time.Duration, service string) []*Target {
	if !v.RecentlyDisturbed(now) {
		return nil
	}
	return slices.DeleteFunc(v.RemovedTargets(service), func(t *Target) bool { return t.State != Ready })
}

// RecentlyDisturbed reports whether the platform was disturbed within
// ReturnGrace, so that removed targets may be listed again.
func (v *View) RecentlyDisturbed(now time.Duration) bool {
	return v.wasDisturbed && now-v.disturbedAt <= ReturnGrace
}

// ExpectsTargets reports whether targets that are not listed may be listed
// soon. This is so if the platform was disturbed within ReturnGrace, or if the
// view is so new that it does not know of an earlier disturbance.
func (v *View) ExpectsTargets(now time.Duration) bool {
	return v.RecentlyDisturbed(now) || now-v.configuredAt <= ReturnGrace
}

// TargetAt returns the newest listed target on the VM with an address, or nil.
func (v *View) TargetAt(agent netip.Addr) *Target { return v.index.targetAt(agent) }

// TargetWithAddress returns the newest listed target with an address, or nil.
func (v *View) TargetWithAddress(address netip.AddrPort) *Target {
	if !isIPv4(address) {
		return nil
	}
	if e := v.index.newest(address); e != nil {
		return e.target
	}
	return nil
}

// Agents returns the sorted addresses of the VMs of all listed targets. The
// caller must not change the result.
func (v *View) Agents() []netip.Addr { return v.index.allAgents() }

// Position returns the position of a process in the tree that distributes
// changes.
func (v *View) Position(seeds []netip.Addr, self Member) Position {
	return v.index.position(seeds, self)
}

// IdleTimeout returns the time after which an idle flow may be discarded, or 0
// if it is not known.
func (v *View) IdleTimeout() time.Duration {
	if v.config == nil {
		return 0
	}
	return time.Duration(v.config.IdleTimeoutMS) * time.Millisecond
}

// Version returns the version of the routes, or 0 if there are none.
func (v *View) Version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Usable reports whether the view has routes, so that new flows can be placed.
func (v *View) Usable() bool { return v.config != nil }
