package balancer

import (
	"net/netip"
	"slices"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
)

// networks are the networks that a balancer may forward to.
type networks []netip.Prefix

func (n networks) allow(agent netip.AddrPort) bool {
	if agent.Port() == 0 {
		return false
	}
	for i := range n {
		if n[i].Contains(agent.Addr()) {
			return true
		}
	}
	return false
}

// targetsOf returns the targets of a service that may receive new flows.
// Agents on leaving VMs are left out, unless that leaves none: the list of
// VMs lags, and an agent that does leave passes new flows on by itself.
func targetsOf(s *config.Service, leaving map[netip.AddrPort]bool) []placement.Target {
	var staying, active []placement.Target
	for i := range s.Targets {
		t := &s.Targets[i]
		if t.State == config.TargetDraining {
			continue
		}
		target := placement.Target{Agent: t.Agent, Weight: float64(t.Slots) * t.Speed}
		active = append(active, target)
		if !leaving[t.Agent] {
			staying = append(staying, target)
		}
	}
	if len(staying) == 0 {
		return active
	}
	return staying
}

// leavingAgents returns the agents whose VM is leaving, ordered by address.
func leavingAgents(vms []config.VM) []netip.AddrPort {
	var out []netip.AddrPort
	for i := range vms {
		if vms[i].Role == config.RoleAgent && vms[i].State == config.VMLeaving {
			out = append(out, vms[i].DatagramAddress)
		}
	}
	slices.SortFunc(out, netip.AddrPort.Compare)
	return out
}
