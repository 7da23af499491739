package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

// eligible returns those of the targets that may get new flows.
func (m *Machine) eligible(targets []*fleet.Target) []*fleet.Target {
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
	return m.firstHomes(now, key, m.eligible(ready), ready, m.view.Targets(service), lapsed)
}

// allDrained reports whether the service has targets that would take new flows, and
// all of them are in drained data centres. A view that may be out of date does not
// tell.
func (m *Machine) allDrained(now time.Duration, service string) bool {
	if m.view.Age(now) > maxFreshAge {
		return false
	}
	targets := append(m.view.ReadyTargets(service), m.view.LapsedTargets(now, service)...)
	return len(targets) > 0 && len(m.eligible(targets)) == 0
}
