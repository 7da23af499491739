package balancer

import (
	"net/netip"
	"slices"
	"unsafe"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
)

// networks lists the networks in which a balancer accepts agents.
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

// targetsOf returns the targets of a service that may receive new flows. It
// omits agents on leaving VMs unless no target would remain: the list of VMs
// may be out of date, and an agent that is in fact leaving redirects new flows
// itself.
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

// leavingAgents returns the agents on leaving VMs, sorted by address.
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

// isSameSlice reports whether two lists are the same slice. Configurations are
// immutable, and a new one shares the lists of services that did not change.
func isSameSlice(a, b []config.Target) bool {
	return len(a) == len(b) && unsafe.SliceData(a) == unsafe.SliceData(b)
}

// symmetricDifference returns the agents that are in exactly one of two sets.
func symmetricDifference(a, b map[netip.AddrPort]bool) map[netip.AddrPort]bool {
	out := make(map[netip.AddrPort]bool)
	for agent := range a {
		if !b[agent] {
			out[agent] = true
		}
	}
	for agent := range b {
		if !a[agent] {
			out[agent] = true
		}
	}
	return out
}

func anyTargetOn(targets []config.Target, agents map[netip.AddrPort]bool) bool {
	if len(agents) == 0 {
		return false
	}
	return slices.ContainsFunc(targets, func(t config.Target) bool { return agents[t.Agent] })
}
