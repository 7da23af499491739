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

// RetiredRoute returns a route that was removed a short while ago. Packets of
// open flows may still pass on it.
func (v *View) RetiredRoute(address netip.AddrPort) (*Route, bool) {
	r, ok := v.retired[address]
	return r.route, ok
}

// ServiceOf returns the service of a route for a flow. hash decides in a route
// with several.
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

// Targets returns the listed targets of a service in the order of their IDs.
// The result must not be changed.
func (v *View) Targets(service string) []*Target { return v.index.targets(service) }

// Roster returns a digest of the VMs of a service's listed targets in a data
// centre. Two views with the same digest know the same ones.
func (v *View) Roster(service, dataCentre string) (digest uint64) {
	for _, t := range v.Targets(service) {
		if t.DataCentre == dataCentre {
			digest ^= hashOf(t.Agent())
		}
	}
	return digest
}

// Services returns the names of the services that have targets.
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

// RemovedTargets returns the targets of a service that were removed in the last
// FormerFor. They may hold open flows.
func (v *View) RemovedTargets(service string) []*Target { return v.index.removedTargets(service) }

// LapsedTargets returns the targets of a service whose entries vanished without a
// drain, and that may come back because the platform was disturbed when they
// vanished or a short while ago.
func (v *View) LapsedTargets(now time.Duration, service string) []*Target {
	if !v.RecentlyDisturbed(now) {
		return nil
	}
	return slices.DeleteFunc(v.RemovedTargets(service), func(t *Target) bool { return t.State != Ready })
}

// RecentlyDisturbed reports whether the platform was disturbed a short while ago, so that
// targets which are not listed may come back.
func (v *View) RecentlyDisturbed(now time.Duration) bool {
	return v.wasDisturbed && now-v.disturbedAt <= ReturnGrace
}

// ExpectsTargets reports whether targets that are not listed may be listed soon: the
// platform was disturbed a short while ago, or the view is new, so that it is not
// known whether it was.
func (v *View) ExpectsTargets(now time.Duration) bool {
	return v.RecentlyDisturbed(now) || now-v.configuredAt <= ReturnGrace
}

// TargetAt returns the target that runs on the VM with an address.
func (v *View) TargetAt(agent netip.Addr) *Target { return v.index.targetAt(agent) }

// Agents returns the addresses of the VMs of all listed targets in order. The
// result must not be changed.
func (v *View) Agents() []netip.Addr { return v.index.allAgents() }

// Place returns the place of a process in the order in which views spread.
func (v *View) Place(seeds []netip.Addr, self Member) Place { return v.index.place(seeds, self) }

// IdleTimeout returns after how long an idle flow may be discarded, 0 if it is
// not known.
func (v *View) IdleTimeout() time.Duration {
	if v.config == nil {
		return 0
	}
	return time.Duration(v.config.IdleTimeoutMS) * time.Millisecond
}

// Version returns the version of the routes, 0 if there are none.
func (v *View) Version() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Version
}

// Usable reports whether new flows can be placed by the view.
func (v *View) Usable() bool { return v.config != nil }
