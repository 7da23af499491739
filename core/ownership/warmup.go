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
	return !m.warmupLimiter.Allows(now, limit)
}

// warmTargetFor returns the agent of a target that is not warming up and gets a new
// flow in place of this target, which is at its warm-up limit, and whether there is
// one. A flow is handed over only once for this reason, so that it does not go
// around between targets that warm up.
func (m *Machine) warmTargetFor(now time.Duration, p *flow.Packet, msg *relay.Message) (netip.Addr, bool) {
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
