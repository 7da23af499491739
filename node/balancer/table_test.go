package balancer

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
)

// Guards against new flows to draining or leaving targets, and against a
// lagging list of VMs that takes a whole service out.
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
