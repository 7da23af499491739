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
	m.checkTarget(out)
	m.admit(now, out)
	if now-m.swept >= sweepEvery {
		m.sweep(now)
	}
}

// checkTarget forgets the flows of an incarnation of the target that is gone.
func (m *Machine) checkTarget(out *plane.Out) {
	t := m.View.TargetAt(m.Self)
	if t == nil || t.Address != m.Target || t.StartUnixMS == m.born {
		return
	}
	if m.born != 0 {
		out.Event(plane.Event{Kind: plane.EventTargetReplaced, Reason: "born_changed", Value: t.StartUnixMS})
		m.stats.serviceTime = 0
	}
	m.born = t.StartUnixMS
	m.checkFresh(t, out)
}

// checkFresh ends the doubt about flows of the target from before the start of
// the agent, if the target started no earlier. All its flows came through this
// agent then. After the loss of all VMs each packet of a lost flow would
// otherwise be given to every target of the service as a probe. The time of
// day may be off by seconds, so the target must be warming up as well.
func (m *Machine) checkFresh(t *fleet.Target, out *plane.Out) {
	age := time.Duration(m.StartedMS-t.StartUnixMS) * time.Millisecond
	if m.unsureUntil == 0 || t.WarmupMS <= 0 || age > startSpread {
		return
	}
	m.unsureUntil = 0
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "started_with_agent", Value: age.Milliseconds()})
}

// sweep drops what is idle or closed.
func (m *Machine) sweep(now time.Duration) {
	m.swept = now
	idle := 2 * cmp.Or(m.View.IdleTimeout(), flowIdle/2)
	for key, f := range m.flows {
		m.sweepFlow(now, key, f, idle)
	}
	for key, r := range m.records {
		if now-r.seen > idle {
			delete(m.records, key)
		}
	}
}

func (m *Machine) sweepFlow(now time.Duration, key flow.Key, f *owned, idle time.Duration) {
	quiet := now - f.seen
	switch {
	case quiet > idle, f.phase == phaseClosed && quiet > closedIdle:
		m.forget(now, key, f)
	}
}

// checkHalfOpen ends the wait for requests that do not come.
func (m *Machine) checkHalfOpen(now time.Duration) {
	if m.stats.count[phaseHalfOpen] == 0 {
		return
	}
	wait := m.roundTrips.Timeout()
	for key, f := range m.flows {
		if f.phase == phaseHalfOpen && now-f.since > wait {
			m.stats.requestCame(false)
			m.stats.enter(now, key, f, phaseClosed)
		}
	}
}
