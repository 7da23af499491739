package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/spread"
)

// choose returns the agent of the target that is to get a new flow, and whether
// there is one. It avoids the agents in tried where it can.
func (m *Machine) choose(now time.Duration, key flow.Key, tried []netip.Addr) (netip.Addr, bool) {
	if !m.View.Usable() {
		// Without a view the agent knows only its own target.
		return m.Self, !slices.Contains(tried, m.Self)
	}
	listed := m.View.Targets(m.Service)
	for _, class := range []func(*fleet.Target) bool{
		func(t *fleet.Target) bool {
			return m.eligible(key, t) && m.healthy(now, key, t.Agent()) && !slices.Contains(tried, t.Agent())
		},
		func(t *fleet.Target) bool {
			return m.eligible(key, t) && m.acceptsFlows(t.Agent()) && !slices.Contains(tried, t.Agent())
		},
		func(t *fleet.Target) bool { return m.eligible(key, t) && m.acceptsFlows(t.Agent()) },
	} {
		if to, ok := m.chooseAmong(now, key, listed, class, len(tried)); ok {
			return to, true
		}
	}
	// Entries may lapse because the platform is disturbed. The heartbeats of
	// their agents then show whether such targets are alive.
	return m.chooseAmong(now, key, m.View.LapsedTargets(now, m.Service), func(t *fleet.Target) bool {
		return m.eligible(key, t) && m.healthy(now, key, t.Agent()) && !slices.Contains(tried, t.Agent())
	}, len(tried))
}

// chooseAmong chooses among the usable targets. attempt differs between the
// attempts to place one flow.
func (m *Machine) chooseAmong(now time.Duration, key flow.Key, targets []*fleet.Target, usable func(*fleet.Target) bool, attempt int) (netip.Addr, bool) {
	candidates := m.candidates(now, targets, usable)
	i := spread.Choose(candidates, m.placed.PerSecond(now), key.Hash()+uint64(attempt))
	if i < 0 {
		return netip.Addr{}, false
	}
	m.offers.Take(candidates[i].Agent)
	return candidates[i].Agent, true
}

func (m *Machine) candidates(now time.Duration, targets []*fleet.Target, usable func(*fleet.Target) bool) []spread.Candidate {
	var candidates []spread.Candidate
	for _, t := range targets {
		if usable(t) {
			candidates = append(candidates, m.candidate(now, t))
		}
	}
	return candidates
}

func (m *Machine) candidate(now time.Duration, t *fleet.Target) spread.Candidate {
	c := spread.Candidate{Agent: t.Agent(), Slots: t.Slots, Warming: t.WarmupMS > 0, Offered: m.offers.Has(now, t.Agent())}
	load, unreported := m.Load(), 0
	if t.Agent() != m.Self {
		p := m.peer(t.Agent())
		load, unreported = p.load, p.unreported+p.handedOver
	}
	c.Busy = float64(load.Busy) + float64(unreported)
	c.Expected = float64(load.Expected) / 100
	c.ServiceTime = loadServiceTime(load)
	if t.DataCentre != m.DataCentre {
		c.Distance = remoteDistance
	}
	return c
}

// hasOtherTarget reports whether another healthy target could take a flow.
func (m *Machine) hasOtherTarget(now time.Duration, p *flow.Packet, msg *relay.Message) bool {
	if msg.Hops >= maxHops {
		return false
	}
	for _, t := range m.View.Targets(m.Service) {
		if t.Agent() != m.Self && t.Agent() != msg.RefusedBy && m.eligible(p.Key, t) && m.healthy(now, p.Key, t.Agent()) {
			return true
		}
	}
	return false
}

// ownTarget returns the entry of the target as the view lists it, or nil. If no entry
// has its address, it is the newest one on the VM. Another writer may leave an entry
// with another port of this VM.
func (m *Machine) ownTarget() *fleet.Target {
	if t := m.View.TargetWithAddress(m.Target); t != nil {
		return t
	}
	return m.View.TargetAt(m.Self)
}

// refusalReason returns why the target takes no new flow, or an empty string if
// it takes one.
func (m *Machine) refusalReason(now time.Duration) string {
	t := m.ownTarget()
	switch {
	case m.leaving:
		return "leaving"
	case t != nil && (t.Service != m.Service || t.Address != m.Target):
		return "other_service"
	case t != nil && t.State == fleet.Draining:
		return "draining"
	case m.ownDrained():
		return reasonDrained
	case m.silent && now < m.retryAt:
		return "silent"
	case t == nil && m.targetRemoved(now):
		return "gone"
	}
	return ""
}

// targetRemoved reports whether the entry of the target was removed while the
// platform was undisturbed.
func (m *Machine) targetRemoved(now time.Duration) bool {
	isTarget := func(t *fleet.Target) bool { return t.Address == m.Target }
	return slices.ContainsFunc(m.View.RemovedTargets(m.Service), isTarget) && !slices.ContainsFunc(m.View.LapsedTargets(now, m.Service), isTarget)
}
