package ownership

import (
	"cmp"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

// Tick passes time.
func (m *Machine) Tick(now time.Duration, out *plane.Out) {
	m.stats.advance(now)
	m.checkHalfOpen(now)
	m.checkOffers(now, out)
	m.checkPlacements(now, out)
	m.checkSearches(now, out)
	m.checkSurveys(now, out)
	m.checkIncarnation(out)
	m.admit(now, out)
	if now-m.lastSweep >= sweepInterval {
		m.sweep(now)
	}
}

// checkIncarnation forgets the flows of an incarnation of the target that is gone.
func (m *Machine) checkIncarnation(out *plane.Out) {
	t := m.View.AtAgent(m.Self)
	if t == nil || t.Address != m.Target || t.Born == m.targetBorn {
		return
	}
	if m.targetBorn != 0 {
		out.Event(plane.Event{Kind: plane.EventTargetSwap, Reason: "born_changed", Value: t.Born})
		m.stats.serviceTime = 0
	}
	m.targetBorn = t.Born
	m.checkFreshTarget(t, out)
}

// checkFreshTarget ends the doubt about flows of the target from before the start of
// the agent, if the target started no earlier. All its flows came through this
// agent then. After the loss of all VMs each packet of a lost flow would
// otherwise be given to every target of the service as a probe. The time of
// day may be off by seconds, so the target must be warming up as well.
func (m *Machine) checkFreshTarget(t *fleet.Target, out *plane.Out) {
	age := time.Duration(m.StartedMS-t.Born) * time.Millisecond
	if m.unknownFlowsUntil == 0 || t.WarmupMS <= 0 || age > maxStartSkew {
		return
	}
	m.unknownFlowsUntil = 0
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "started_with_agent", Value: age.Milliseconds()})
}

// sweep drops what is idle or closed.
func (m *Machine) sweep(now time.Duration) {
	m.lastSweep = now
	idle := 2 * cmp.Or(m.View.IdleTimeout(), defaultIdleTTL/2)
	for key, f := range m.flows {
		m.sweepFlow(now, key, f, idle)
	}
	for key, r := range m.records {
		if now-r.lastSeen > idle {
			delete(m.records, key)
		}
	}
}

func (m *Machine) sweepFlow(now time.Duration, key flow.Key, f *ownedFlow, idle time.Duration) {
	quiet := now - f.lastSeen
	switch {
	case quiet > idle, f.phase == phaseClosed && quiet > closedFlowTTL:
		m.forget(now, key, f)
	}
}

// checkHalfOpen ends the wait for requests that do not come.
func (m *Machine) checkHalfOpen(now time.Duration) {
	if m.stats.count[phaseHalfOpen] == 0 {
		return
	}
	wait := m.roundTripTimes.Timeout()
	for key, f := range m.flows {
		if f.phase == phaseHalfOpen && now-f.phaseSince > wait {
			m.stats.recordArrival(false)
			m.stats.setPhase(now, key, f, phaseClosed)
		}
	}
}
