package ownership

import (
	"cmp"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

// Tick handles the timeouts that are due at the time now.
func (m *Machine) Tick(now time.Duration, out *plane.Out) {
	m.stats.advance(now)
	m.longestIdleTimeout = m.idleTimeout()
	m.checkHalfOpen(now)
	m.checkOffers(now, out)
	m.checkPlacements(now, out)
	m.checkSearches(now, out)
	m.checkSurveys(now, out)
	m.checkIncarnation(now, out)
	m.checkRestore(now, out)
	m.admit(now, out)
	if now-m.lastSweep >= sweepInterval {
		m.sweep(now)
	}
}

// checkIncarnation detects that the target has been replaced by a new
// incarnation.
func (m *Machine) checkIncarnation(now time.Duration, out *plane.Out) {
	sawCurrentView := m.sawCurrentView
	m.sawCurrentView = m.sawCurrentView || m.View.Usable() && m.View.Age(now) <= now-m.startedAt
	t := m.View.TargetAt(m.Self)
	if t == nil || t.Address != m.Target || t.StartUnixMS == m.targetStartUnixMS {
		return
	}
	if m.targetStartUnixMS != 0 {
		out.Event(plane.Event{Kind: plane.EventTargetReplaced, Reason: "born_changed", Value: t.StartUnixMS})
		m.stats.serviceTime = 0
	}
	m.targetStartUnixMS = t.StartUnixMS
	if sawCurrentView {
		m.checkFreshTarget(t, out)
	}
}

// checkFreshTarget detects that the target started no earlier than the agent.
// All its flows then came through this agent, so it holds none that the agent
// does not know. Otherwise, after the loss of all VMs, every packet of a lost
// flow would go to every target of the service as a probe. The time of day may
// have jumped by seconds between the two starts. So it counts only for a target
// that is warming up and whose entry appeared after the agent had a view that
// was current at its start or later.
func (m *Machine) checkFreshTarget(t *fleet.Target, out *plane.Out) {
	age := time.Duration(m.StartedMS-t.StartUnixMS) * time.Millisecond
	if m.unknownFlowsUntil == 0 || t.WarmupMS <= 0 || age > maxStartSkew {
		return
	}
	m.unknownFlowsUntil = 0
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "started_with_agent", Value: age.Milliseconds()})
}

// sweep drops idle and closed flows and idle records.
func (m *Machine) sweep(now time.Duration) {
	m.lastSweep = now
	idle := 2 * cmp.Or(m.idleTimeout(), defaultIdleTTL/2)
	// An active caller's packets may be lost before they reach the agent, so a flow
	// is not idle only because the agent sees no packets of it.
	ttl := max(idle, cmp.Or(m.FlowTTL, defaultFlowTTL))
	for key, f := range m.flows {
		m.sweepFlow(now, key, f, ttl)
	}
	for key, r := range m.records {
		if now-r.lastSeen > idle {
			delete(m.records, key)
		}
	}
}

// idleTimeout returns the longest idle timeout of the versions that the agent has
// had since its start, or 0 if it knows none. A shorter one may be in force only
// for a moment, and the flows that were idle then are open under the next
// version.
func (m *Machine) idleTimeout() time.Duration {
	return max(m.longestIdleTimeout, m.View.IdleTimeout())
}

func (m *Machine) sweepFlow(now time.Duration, key flow.Key, f *ownedFlow, ttl time.Duration) {
	if f.ended() {
		ttl = closedFlowTTL
	}
	if now-f.lastSeen > ttl {
		m.forget(now, key, f)
	}
}

// ended reports whether the flow is closed or was never opened. An open flow
// without a request is no load either, but its caller may send one until the
// idle timeout.
func (f *ownedFlow) ended() bool {
	return f.phase == phaseClosed && (!f.opened || f.callerClosed && f.targetClosed)
}

// checkHalfOpen stops counting accepted flows as load if their request has not
// arrived in time.
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
