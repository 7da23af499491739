package fleet

import (
	"cmp"
	"net/netip"
	"slices"
)

// index finds targets by service and by VM. A change costs what concerns its
// service, not the size of the fleet.
type index struct {
	services map[string]*serviceIndex
	// atVM has the listed entries on a VM, chained by nextOnVM. After a crash
	// there may be two.
	atVM map[[4]byte]*entry
	// names has one copy of each name that many targets share.
	names map[string]string
	// agents and placed are made again when the set of VMs has changed.
	agents []netip.Addr
	stale  bool
	placed *Place
}

// serviceIndex has the entries of a service, also the removed ones.
type serviceIndex struct {
	entries []*entry
	// listed and past are made again when they are needed.
	listed, past []*Target
	stale        bool
}

func newIndex() index {
	return index{services: map[string]*serviceIndex{}, atVM: map[[4]byte]*entry{}, names: map[string]string{}}
}

// share returns a target that shares its ID and the names of its service and
// data centre with others. A decoded one has copies of its own.
func (x *index) share(t *Target, id string) *Target {
	shared := *t
	shared.ID, shared.Service, shared.DataCentre = id, x.name(t.Service), x.name(t.DataCentre)
	return &shared
}

func (x *index) name(s string) string {
	if known, ok := x.names[s]; ok {
		return known
	}
	x.names[s] = s
	return s
}

func (x *index) add(e *entry) {
	t := e.known
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
	if e.nextOnVM = x.atVM[vm]; e.nextOnVM == nil {
		x.stale, x.placed = true, nil
	}
	x.atVM[vm] = e
	x.touch(vm)
}

func (x *index) remove(e *entry) {
	t := e.known
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
	x.touch(vm)
	first := x.atVM[vm]
	if first == e {
		x.atVM[vm] = e.nextOnVM
	}
	for o := first; o != nil; o = o.nextOnVM {
		if o.nextOnVM == e {
			o.nextOnVM = e.nextOnVM
		}
	}
	e.nextOnVM = nil
	if x.atVM[vm] == nil {
		delete(x.atVM, vm)
		x.stale, x.placed = true, nil
	}
}

// touch marks the services of all entries on a VM, because the newest of them
// hides the others.
func (x *index) touch(vm [4]byte) {
	for e := x.atVM[vm]; e != nil; e = e.nextOnVM {
		if s := x.services[e.known.Service]; s != nil {
			s.stale = true
		}
	}
}

// newest returns the entry that has an address: two targets cannot have one,
// and after a crash the entry of the earlier one stays for some heartbeats.
func (x *index) newest(address netip.AddrPort) *entry {
	var best *entry
	for e := x.atVM[address.Addr().As4()]; e != nil; e = e.nextOnVM {
		if e.known.Address == address && (best == nil || e.newerThan(best)) {
			best = e
		}
	}
	return best
}

// newerThan orders entries that claim one address.
func (e *entry) newerThan(o *entry) bool {
	return cmp.Or(cmp.Compare(e.known.StartUnixMS, o.known.StartUnixMS), cmp.Compare(e.revision, o.revision)) > 0
}

func (x *index) service(name string) *serviceIndex {
	s := x.services[name]
	if s == nil {
		return &serviceIndex{}
	}
	if !s.stale {
		return s
	}
	s.listed, s.past, s.stale = nil, nil, false
	for _, e := range s.entries {
		switch newest := x.newest(e.known.Address); {
		case !e.removed && newest == e:
			s.listed = append(s.listed, e.known)
		case e.removed && newest == nil:
			s.past = append(s.past, e.known)
		}
	}
	byID := func(a, b *Target) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(s.listed, byID)
	slices.SortFunc(s.past, byID)
	return s
}

func (x *index) targets(service string) []*Target { return x.service(service).listed }

// former checks the addresses again: another service may have taken one since.
func (x *index) former(service string) []*Target {
	var out []*Target
	for _, t := range x.service(service).past {
		if x.newest(t.Address) == nil {
			out = append(out, t)
		}
	}
	return out
}

func (x *index) atAgent(vm netip.Addr) *Target {
	var best *entry
	for e := x.atVM[vm.As4()]; e != nil; e = e.nextOnVM {
		if best == nil || e.newerThan(best) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return best.known
}

func (x *index) allAgents() []netip.Addr {
	if x.stale {
		x.agents, x.stale = make([]netip.Addr, 0, len(x.atVM)), false
		for vm := range x.atVM {
			x.agents = append(x.agents, netip.AddrFrom4(vm))
		}
		slices.SortFunc(x.agents, netip.Addr.Compare)
	}
	return x.agents
}

// members returns the VMs with their data centres.
func (x *index) members() []Member {
	members := make([]Member, 0, len(x.atVM))
	for vm, e := range x.atVM {
		members = append(members, Member{netip.AddrFrom4(vm), e.known.DataCentre})
	}
	return members
}

func (x *index) place(seeds []netip.Addr, self Member) Place {
	if len(x.atVM) == 0 {
		return PlaceOf(nil, seeds, self)
	}
	if x.placed == nil {
		p := PlaceOf(x.members(), seeds, self)
		x.placed = &p
	}
	return *x.placed
}
