package balancer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
)

// TestTargetsOf checks that draining targets and targets on leaving VMs receive
// no new flows, and that an out-of-date list of VMs cannot remove all targets of
// a service.
func TestTargetsOf(t *testing.T) {
	a, b := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	s := service(1, a, b)
	s.Targets[1].Speed = 0.5
	assert.Equal(t, len(targetsOf(&s, nil)), 2)
	leaving := leavingAgents([]config.VM{
		{Role: config.RoleAgent, State: config.VMLeaving, DatagramAddress: a},
		{Role: config.RoleAgent, State: config.VMLive, DatagramAddress: b},
	})
	assert.Assert(t, len(leaving) == 1 && leaving[0] == a)
	one := targetsOf(&s, map[netip.AddrPort]bool{a: true})
	assert.Assert(t, len(one) == 1 && one[0] == placement.Target{Agent: b, Weight: 3.5})
	assert.Equal(t, len(targetsOf(&s, map[netip.AddrPort]bool{a: true, b: true})), 2)
	s.Targets[0].State = config.TargetDraining
	assert.Equal(t, len(targetsOf(&s, nil)), 1)
}

// TestApplyRemakesWhatChanged checks that apply leaves no target list out of
// date. It applies random changes of services and leaving VMs and compares the
// targets after each with those of a full computation.
func TestApplyRemakesWhatChanged(t *testing.T) {
	f, _, _ := newManualFixture(t)
	random := rand.New(rand.NewPCG(1, 2))
	current := servicesConfig(1, 4, 3)
	everyone := slices.Clone(current.Services)
	for range 300 {
		next := *current
		next.Services = slices.Clone(current.Services)
		switch i := random.IntN(len(next.Services)); random.IntN(3) {
		case 0:
			next.Services[i].Targets = slices.Clone(next.Services[i].Targets)
			next.Services[i].Targets[random.IntN(3)].Slots++
		case 1:
			next.Services = slices.Delete(next.Services, i, i+1)
		}
		for _, s := range everyone {
			known := slices.ContainsFunc(next.Services, func(o config.Service) bool { return o.ID == s.ID })
			if !known && random.IntN(2) == 0 || len(next.Services) == 0 {
				next.Services = append(next.Services, s)
			}
		}
		current = &next
		left := make(map[netip.AddrPort]bool)
		for range random.IntN(5) {
			s := everyone[random.IntN(len(everyone))]
			left[s.Targets[random.IntN(3)].Agent] = true
		}
		if random.IntN(10) == 0 {
			// This is the state after a run of apply that panicked.
			f.appliedLeaving = nil
		}
		var leaving []netip.AddrPort
		for agent := range left {
			leaving = append(leaving, agent)
		}
		f.apply(current, leaving)
		for _, s := range everyone {
			var want []placement.Target
			if at := slices.IndexFunc(current.Services, func(o config.Service) bool { return o.ID == s.ID }); at >= 0 {
				want = targetsOf(&current.Services[at], left)
			}
			if e := f.returnEntry(s.ID); e != nil {
				assert.Assert(t, slices.Equal(*e.targets.Load(), want), "service %d", s.ID)
			} else {
				assert.Assert(t, want == nil, "service %d has no entry", s.ID)
			}
		}
	}
}
