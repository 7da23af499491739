package ownership

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// reasonWarmingUp is why a new flow waits or is handed over: the target is warming
// up and has got as many new flows in the last second as it may.
const reasonWarmingUp = "warming_up"

// atWarmupLimit reports whether the target may get no further new flow now because
// it is warming up. A target that was never listed may be.
func (m *Machine) atWarmupLimit(now time.Duration) bool {
	limit := m.View.WarmupLimit(m.Service)
	if limit == 0 {
		return false
	}
	if until, listed := m.View.ColdUntil(m.Self); listed {
		m.coldUntil, m.coldKnown = until, true
	}
	if m.coldKnown && now >= m.coldUntil {
		return false
	}
	return !m.given.Allows(now, limit)
}

// insteadOfWarmingUp returns the agent that gets a new flow because the target may
// not get it now, and whether there is one: that of a target that can take the flow
// and is not warming up. Otherwise the flow waits. A flow is handed over only once
// for this reason, so that it does not go around between targets that warm up.
func (m *Machine) insteadOfWarmingUp(now time.Duration, p *flow.Packet, msg *relay.Message) (netip.Addr, bool) {
	if m.isOffered(p) || !m.atWarmupLimit(now) || msg.RefusedBy.IsValid() || msg.Hops >= maxHops {
		return netip.Addr{}, false
	}
	return m.chooseAmong(now, p.Key, m.View.Targets(m.Service), func(t *fleet.Target) bool {
		return t.Agent() != m.Self && !m.limitedByWarmup(now, t.Agent()) && m.eligible(p.Key, t) && m.healthy(now, p.Key, t.Agent())
	}, 0)
}

// limitedByWarmup reports whether a limit may make a new flow wait at an agent,
// because its target is warming up.
func (m *Machine) limitedByWarmup(now time.Duration, agent netip.Addr) bool {
	until, _ := m.View.ColdUntil(agent)
	return now < until && m.View.WarmupLimit(m.Service) > 0
}
