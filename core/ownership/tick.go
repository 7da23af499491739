package ownership

import (
	"cmp"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

// Tick handles the timeouts that are due at the time now.
func (m *Machine) Tick(now time.Duration, out *plane.Out) {
	m.stats.advance(now)
	m.updateReportedTime(now)
	m.longestIdleTimeout = m.idleTimeout()
	m.checkHalfOpen(now)
	m.checkOfferedFlows(now, out)
	m.checkPlacements(now, out)
	m.checkLists(now, out)
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
	if m.startedWithVM {
		m.startedWithVM = false
		out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "started_with_vm", Value: m.SinceBoot.Milliseconds()})
	}
	t := m.ownTarget()
	if t == nil || t.Address != m.Target || t.Service != m.Service {
		return
	}
	if t.StartUnixMS == m.targetStartUnixMS {
		if m.unknownFlowsUntil != 0 && m.View.AllStartedTogether() {
			m.checkJointStart(now, t, out)
		}
		return
	}
	if m.targetStartUnixMS != 0 {
		out.Event(plane.Event{Kind: plane.EventTargetReplaced, Reason: "born_changed", Value: t.StartUnixMS})
		m.stats.serviceTime = 0
		m.stats.speed.Reset()
	}
	m.targetStartUnixMS = t.StartUnixMS
	if sawCurrentView {
		m.checkFreshTarget(now, t, out)
	}
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
