package fleet

import (
	"cmp"
	"net/netip"
	"slices"
)

// index finds targets by service and by VM. The cost of a change depends on the
// size of its service, not on the size of the fleet.
type index struct {
	services map[string]*serviceIndex
	// byVM holds the listed entries of each VM, linked by nextOnVM. After a
	// crash there may be two.
	byVM map[[4]byte]*entry
	// internedNames holds one copy of each name that several targets share.
	internedNames map[string]string
	// agents and cachedPosition are recomputed after the set of VMs has changed.
	agents         []netip.Addr
	agentsStale    bool
	cachedPosition *Position
}

// serviceIndex holds the entries of a service, including the removed ones.
type serviceIndex struct {
	entries []*entry
	// listed holds the listed targets, hidden those whose address a newer listed
	// entry has, and unlisted the removed ones whose address no listed entry has.
	// They are recomputed on use if stale is set.
	listed, hidden, unlisted []*Target
	stale                    bool
}

func newIndex() index {
	return index{services: map[string]*serviceIndex{}, byVM: map[[4]byte]*entry{}, internedNames: map[string]string{}}
}

// intern returns a copy of a target that shares the strings of its ID, service
// and data centre with other values. A decoded target has its own copies.
func (x *index) intern(t *Target, id string) *Target {
	shared := *t
	shared.ID, shared.Service, shared.DataCentre = id, x.internName(t.Service), x.internName(t.DataCentre)
	return &shared
}

func (x *index) internName(s string) string {
	if interned, ok := x.internedNames[s]; ok {
		return interned
	}
	x.internedNames[s] = s
	return s
}

func (x *index) add(e *entry) {
	t := e.target
	if t == nil {
		return
	}
	s := x.services[t.Service]
	if s == nil {
		s = &serviceIndex{}
		x.services[t.Service] = s
	}
	s.entries, s.stale = append(s.entries, e), true
	if e.removed {
		return
	}
	vm := t.Agent().As4()
	if e.nextOnVM = x.byVM[vm]; e.nextOnVM == nil {
		x.agentsStale = true
	}
	x.byVM[vm], x.cachedPosition = e, nil
	x.markStale(vm)
}

func (x *index) remove(e *entry) {
	t := e.target
	if t == nil {
		return
	}
	if s := x.services[t.Service]; s != nil {
		s.entries = slices.DeleteFunc(s.entries, func(o *entry) bool { return o == e })
		s.stale = true
		if len(s.entries) == 0 {
			delete(x.services, t.Service)
		}
	}
	if !e.removed {
		x.removeFromVM(e, t.Agent().As4())
	}
}

func (x *index) removeFromVM(e *entry, vm [4]byte) {
	x.markStale(vm)
	first := x.byVM[vm]
	if first == e {
		x.byVM[vm] = e.nextOnVM
	}
	for o := first; o != nil; o = o.nextOnVM {
		if o.nextOnVM == e {
			o.nextOnVM = e.nextOnVM
		}
	}
	e.nextOnVM = nil
	if x.cachedPosition = nil; x.byVM[vm] == nil {
		delete(x.byVM, vm)
		x.agentsStale = true
	}
}

// markStale marks the services of all entries on a VM as stale, because the
// newest entry hides the others.
func (x *index) markStale(vm [4]byte) {
	for e := x.byVM[vm]; e != nil; e = e.nextOnVM {
		if s := x.services[e.target.Service]; s != nil {
			s.stale = true
		}
	}
}

// newest returns the newest listed entry with an address. Two targets cannot
// share an address, but after a crash the entry of the earlier target stays
// listed for some heartbeats.
func (x *index) newest(address netip.AddrPort) *entry {
	var best *entry
	for e := x.byVM[address.Addr().As4()]; e != nil; e = e.nextOnVM {
		if e.target.Address == address && (best == nil || e.newerThan(best)) {
			best = e
		}
	}
	return best
}

// newerThan orders entries with the same address or VM. Of two entries for one
// incarnation the draining one counts: a copy of its earlier state must not hide
// that it drains.
func (e *entry) newerThan(o *entry) bool {
	drains := 0
	if e.target.Address == o.target.Address {
		drains = cmp.Compare(e.drains(), o.drains())
	}
	return cmp.Or(cmp.Compare(e.target.StartUnixMS, o.target.StartUnixMS), drains, cmp.Compare(e.revision, o.revision)) > 0
}

func (e *entry) drains() int {
	if e.target.State == Draining {
		return 1
	}
	return 0
}

func (x *index) service(name string) *serviceIndex {
	s := x.services[name]
	if s == nil {
		return &serviceIndex{}
	}
	if !s.stale {
		return s
	}
	s.listed, s.hidden, s.unlisted, s.stale = nil, nil, nil, false
	for _, e := range s.entries {
		switch newest := x.newest(e.target.Address); {
		case !e.removed && newest == e:
			s.listed = append(s.listed, e.target)
		case !e.removed:
			s.hidden = append(s.hidden, e.target)
		case newest == nil:
			s.unlisted = append(s.unlisted, e.target)
		}
	}
	byID := func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) }
	for _, list := range [][]*Target{s.listed, s.hidden, s.unlisted} {
		slices.SortFunc(list, byID)
	}
	return s
}

func (x *index) targets(service string) []*Target { return x.service(service).listed }

func (x *index) hiddenTargets(service string) []*Target { return x.service(service).hidden }

// removedTargets checks the addresses again, because a target of another
// service may have taken one since the lists were computed.
func (x *index) removedTargets(service string) []*Target {
	var out []*Target
	for _, t := range x.service(service).unlisted {
		if x.newest(t.Address) == nil {
			out = append(out, t)
		}
	}
	return out
}

func (x *index) targetAt(vm netip.Addr) *Target {
	if e := x.entryAt(vm); e != nil {
		return e.target
	}
	return nil
}

// entryAt returns the newest listed entry on a VM, or nil.
func (x *index) entryAt(vm netip.Addr) *entry {
	var best *entry
	for e := x.byVM[vm.As4()]; e != nil; e = e.nextOnVM {
		if best == nil || e.newerThan(best) {
			best = e
		}
	}
	return best
}

func (x *index) allAgents() []netip.Addr {
	if x.agentsStale {
		x.agents, x.agentsStale = make([]netip.Addr, 0, len(x.byVM)), false
		for vm := range x.byVM {
			x.agents = append(x.agents, netip.AddrFrom4(vm))
		}
		slices.SortFunc(x.agents, netip.Addr.Compare)
	}
	return x.agents
}

// members returns the VMs of all listed entries with the data centres of their
// newest ones, so that all views with the same entries have the same order.
func (x *index) members() []Member {
	members := make([]Member, 0, len(x.byVM))
	for vm := range x.byVM {
		agent := netip.AddrFrom4(vm)
		members = append(members, Member{agent, x.targetAt(agent).DataCentre})
	}
	return members
}

func (x *index) position(seeds []netip.Addr, self Member) Position {
	if len(x.byVM) == 0 {
		return PositionOf(nil, seeds, self)
	}
	if x.cachedPosition == nil {
		p := PositionOf(x.members(), seeds, self)
		x.cachedPosition = &p
	}
	return *x.cachedPosition
}
