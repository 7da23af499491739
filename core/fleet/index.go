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
	// atVM are the listed entries on a VM. After a crash there may be two.
	atVM map[netip.Addr][]*entry
	// agents and placed are made again when the set of VMs has changed.
	agents []netip.Addr
	stale  bool
	placed *Place
}

// serviceIndex has the entries of a service, also the removed ones.
type serviceIndex struct {
	entries map[*entry]bool
	// listed and past are made again when they are needed.
	listed, past []*Target
	stale        bool
}

func newIndex() index {
	return index{services: map[string]*serviceIndex{}, atVM: map[netip.Addr][]*entry{}}
}

// known is the target of an entry, or the last one of a removed entry.
func (e *entry) known() *Target { return cmp.Or(e.target, e.last) }

func (x *index) add(e *entry) {
	t := e.known()
	if t == nil {
		return
	}
	s := x.services[t.Service]
	if s == nil {
		s = &serviceIndex{entries: map[*entry]bool{}}
		x.services[t.Service] = s
	}
	s.entries[e], s.stale = true, true
	if e.target != nil {
		vm := t.Agent()
		if len(x.atVM[vm]) == 0 {
			x.stale, x.placed = true, nil
		}
		x.atVM[vm] = append(x.atVM[vm], e)
		x.touch(vm)
	}
}

func (x *index) remove(e *entry) {
	t := e.known()
	if t == nil {
		return
	}
	if s := x.services[t.Service]; s != nil {
		delete(s.entries, e)
		s.stale = true
		if len(s.entries) == 0 {
			delete(x.services, t.Service)
		}
	}
	if e.target != nil {
		vm := t.Agent()
		x.touch(vm)
		x.atVM[vm] = slices.DeleteFunc(x.atVM[vm], func(o *entry) bool { return o == e })
		if len(x.atVM[vm]) == 0 {
			delete(x.atVM, vm)
			x.stale, x.placed = true, nil
		}
	}
}

// touch marks the services of all entries on a VM, because the newest of them
// hides the others.
func (x *index) touch(vm netip.Addr) {
	for _, e := range x.atVM[vm] {
		if s := x.services[e.target.Service]; s != nil {
			s.stale = true
		}
	}
}

// newest returns the entry that has an address: two targets cannot have one,
// and after a crash the entry of the earlier one stays for some heartbeats.
func (x *index) newest(address netip.AddrPort) *entry {
	var best *entry
	for _, e := range x.atVM[address.Addr()] {
		if e.target.Address == address && (best == nil || e.newerThan(best)) {
			best = e
		}
	}
	return best
}

// newerThan orders entries that claim one address.
func (e *entry) newerThan(o *entry) bool {
	return cmp.Or(cmp.Compare(e.target.Born, o.target.Born), cmp.Compare(e.revision, o.revision)) > 0
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
	for e := range s.entries {
		switch newest := x.newest(e.known().Address); {
		case e.target != nil && newest == e:
			s.listed = append(s.listed, e.target)
		case e.target == nil && newest == nil:
			s.past = append(s.past, e.last)
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
	for _, e := range x.atVM[vm] {
		if best == nil || e.newerThan(best) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	return best.target
}

func (x *index) allAgents() []netip.Addr {
	if x.stale {
		x.agents, x.stale = make([]netip.Addr, 0, len(x.atVM)), false
		for vm := range x.atVM {
			x.agents = append(x.agents, vm)
		}
		slices.SortFunc(x.agents, netip.Addr.Compare)
	}
	return x.agents
}

func (x *index) place(seeds []netip.Addr, self netip.Addr) Place {
	if len(x.atVM) == 0 {
		return PlaceOf(nil, seeds, self)
	}
	if x.placed == nil {
		p := PlaceOf(x.allAgents(), seeds, self)
		x.placed = &p
	}
	return *x.placed
}
