package dispatch

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

// outsideDrained returns the targets that are not in drained data centres.
func (m *Machine) outsideDrained(targets []*fleet.Target) []*fleet.Target {
	if len(m.view.DrainedDataCentres()) == 0 {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *fleet.Target) bool { return m.view.Drained(t.DataCentre) })
}

// openingHomes returns the homes of a new flow in order, suspects last. Agents in
// drained data centres come only if there are no others: an agent that has not
// learned of the drain request would give the flow to its own target.
func (m *Machine) openingHomes(now time.Duration, service string, key flow.Key) []netip.Addr {
	ready, lapsed := m.view.ReadyTargets(service), m.view.LapsedTargets(now, service)
	return m.firstHomes(now, key, m.outsideDrained(ready), ready, m.view.Targets(service), lapsed)
}

// withheldReason returns why no target of a service may get a new flow for an
// address although there are targets that would take it, or an empty string. A view
// that may be out of date does not tell.
func (m *Machine) withheldReason(now time.Duration, address netip.AddrPort, service string) string {
	if m.view.Age(now) > maxFreshAge {
		return ""
	}
	reason := ""
	for _, targets := range [][]*fleet.Target{m.view.ReadyTargets(service), m.view.LapsedTargets(now, service)} {
		for _, t := range targets {
			switch {
			case !m.view.RegionAllowed(address, t.DataCentre):
				reason = cmp.Or(reason, "region_not_allowed")
			case m.view.Drained(t.DataCentre):
				reason = "drained"
			default:
				return ""
			}
		}
	}
	return reason
}
