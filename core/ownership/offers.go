package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/spread"
	"trefoilweir.example/core/waitqueue"
)

// maxOfferHops is how often a flow may have been forwarded before it is handed over
// to a free slot. The agent there may have to forward it once more.
const maxOfferHops = maxHops - 2

// offerSlots offers the free slots of the target, each to one agent.
func (m *Machine) offerSlots(now time.Duration, out *plane.Out) {
	free := m.slots() - m.stats.pending() - m.queue.Len()
	if free <= 0 || !m.offering.Due(now, free) || !m.takesOffers(now) {
		return
	}
	waiting := m.waitingFlows(now)
	for m.offering.Due(now, free) {
		m.offerCount++
		to, ok := m.offering.Next(now, waiting, m.offerCount)
		if !ok {
			return
		}
		if to == m.Self {
			m.offers.Add(now, to)
			continue
		}
		load := m.Load()
		load.Flags |= relay.FlagSlotFree
		out.Send(to, relay.Message{Kind: relay.Heartbeat, Service: m.serviceTag, Load: load, Progress: m.View.Progress(), Age: m.View.Age(now)})
	}
}

// takesOffers reports whether the target may be offered flows. One that is
// warming up is slow and gets flows by its cost only.
func (m *Machine) takesOffers(now time.Duration) bool {
	t := m.ownTarget()
	return m.View.Usable() && t != nil && t.WarmupMS <= 0 && !m.silent && !m.outcomes.failing && m.refusalReason(now) == ""
}

// waitingFlows returns the agents at which flows wait, according to their loads.
func (m *Machine) waitingFlows(now time.Duration) (waiting []spread.Waiting) {
	for _, t := range m.View.Targets(m.Service) {
		p := m.peers[t.Agent()]
		if p == nil || !p.everHeard || now-p.lastHeard > heartbeatTimeout {
			continue
		}
		slots := int(p.load.Slots)
		if n := int(p.load.Busy) - slots - minAhead(slots); slots > 0 && n > 0 {
			waiting = append(waiting, spread.Waiting{Agent: t.Agent(), Flows: n})
		}
	}
	return waiting
}

// handleOffer handles the offer of a free slot. The first flow that waits here and
// would be served sooner there is handed over. Otherwise the slot is kept for a
// flow that this agent places.
func (m *Machine) handleOffer(now time.Duration, from netip.Addr, out *plane.Out) {
	m.offers.Add(now, from)
	if m.queue.Len() == 0 {
		return
	}
	t := m.View.TargetAt(from)
	if t == nil || t.Service != m.Service {
		return
	}
	own, offered := m.ownCandidate(now), m.candidate(now, t)
	admitted, ahead := float64(m.stats.pending()), 0
	it, ok := m.queue.TakeFirst(now, m.answerTime(), func(it *waitqueue.Item[flow.Key, queuedFlow]) bool {
		own.Busy = admitted + float64(ahead)
		ahead++
		return !it.Value.held && m.eligible(it.Key, t) && m.mayHandOver(now, it.Key, &it.Value.msg, from) && !copiesElsewhere(now, it) && spread.ServesSooner(own, offered)
	})
	if !ok {
		return
	}
	m.offers.Take(from)
	p, err := m.Codec.FromCaller(it.Value.raw)
	if err != nil {
		return
	}
	m.handOverWaiting(now, &p, &it.Value.msg, from, "slot_offered", out)
}

// handOverFull hands over a flow that would wait here, if another target seems to
// have a free slot and serves it sooner. It reports whether it did. A copy of an
// opening packet stays, because the other copies may be known elsewhere.
func (m *Machine) handOverFull(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) bool {
	if p.Ack > 0 || msg.RefusedBy.IsValid() || !m.View.Usable() {
		return false
	}
	candidates := m.candidates(now, m.View.Targets(m.Service), func(t *fleet.Target) bool {
		return !m.limitedByWarmup(now, t.Agent()) && m.eligible(p.Key, t) && m.mayHandOver(now, p.Key, msg, t.Agent())
	})
	i := spread.ChooseHandOver(m.ownCandidate(now), candidates, p.Key.Hash())
	if i < 0 {
		return false
	}
	m.offers.Take(candidates[i].Agent)
	m.handOverWaiting(now, p, msg, candidates[i].Agent, "target_busy", out)
	return true
}

// mayHandOver reports whether a waiting flow may be handed over to an agent.
func (m *Machine) mayHandOver(now time.Duration, key flow.Key, msg *relay.Message, to netip.Addr) bool {
	return to != m.Self && to != msg.RefusedBy && msg.Hops <= maxOfferHops && m.healthy(now, key, to)
}

// handOverWaiting hands over a flow that waits or would wait. As its home, this
// agent places it again if the other agent does not report it. Otherwise copies of
// its opening packet follow it as long as that report may take.
func (m *Machine) handOverWaiting(now time.Duration, p *flow.Packet, msg *relay.Message, to netip.Addr, reason string, out *plane.Out) {
	m.handOverAt(now, p, msg, to, reason, out)
	if msg.Home != m.Self {
		m.records[p.Key].followUntil = now + m.reportTimes.Timeout()
		return
	}
	m.endPlacement(p.Key)
	m.placements[p.Key] = &placement{raw: slices.Clone(p.Raw), origin: msg.Origin, tried: []netip.Addr{to}, sentAt: now}
	// handOverAt has counted the flow as handed over.
	m.peer(to).unreported++
	m.peer(to).handedOver--
}

// ownCandidate returns the load of the own target.
func (m *Machine) ownCandidate(now time.Duration) spread.Candidate {
	if t := m.ownTarget(); t != nil {
		return m.candidate(now, t)
	}
	return spread.Candidate{Agent: m.Self, Slots: m.slots()}
}
