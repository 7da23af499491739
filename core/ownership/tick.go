package ownership

import (
	"cmp"
	"time"

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
	m.checkTarget(out)
	m.admit(now, out)
	if now-m.swept >= sweepEvery {
		m.sweep(now)
	}
}

// checkTarget forgets the flows of an incarnation of the target that is gone.
func (m *Machine) checkTarget(out *plane.Out) {
	t := m.View.AtAgent(m.Self)
	if t == nil || t.Address != m.Target || t.Born == m.born {
		return
	}
	if m.born != 0 {
		out.Event(plane.Event{Kind: plane.EventTargetSwap, Reason: "born_changed", Value: t.Born})
		m.stats.serviceTime = 0
	}
	m.born = t.Born
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
	for key, f := range m.flows {
		if f.phase == phaseHalfOpen && now-f.since > halfOpenFor {
			m.stats.enter(now, key, f, phaseClosed)
		}
	}
}
