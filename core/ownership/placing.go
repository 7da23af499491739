package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// placement is a flow that this agent has placed as its home and that no agent
// has reported yet.
type placement struct {
	raw    []byte
	origin netip.Addr
	tried  []netip.Addr
	sentAt time.Duration
}

// remoteDistance is by how much faster a target in another data centre must be
// to be preferred. It is the time that the caller's packets take to get there.
const remoteDistance = 2 * time.Millisecond

// handleOpening handles an opening packet as the home of its flow.
func (m *Machine) handleOpening(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	r := m.records[p.Key]
	var tried []netip.Addr
	if r != nil && r.seq == p.Seq {
		r.lastSeen = now
		if p.Ack == 0 && (r.confirmed || !msg.RefusedBy.IsValid() && m.isPlacing(p)) {
			// The network duplicated the packet.
			return
		}
		if r.waiting {
			m.forwardCopy(now, r.owner, p, msg, out)
			return
		}
		// The caller sent a copy: the first target did not answer, or its
		// answer was lost.
		tried = append(tried, r.owner)
	}
	m.place(now, p, msg, tried, out)
}

// isPlacing reports whether the agent that was chosen for a flow may still report
// it. That may be this agent.
func (m *Machine) isPlacing(p *flow.Packet) bool {
	return m.placements[p.Key] != nil || m.isOffered(p)
}

// place chooses a target and offers the flow to it.
func (m *Machine) place(now time.Duration, p *flow.Packet, msg *relay.Message, tried []netip.Addr, out *plane.Out) {
	m.placed.Add(now)
	to, ok := m.choose(now, p.Key, tried)
	switch {
	case !ok && (len(tried) > 0 || m.mayBeElsewhere(p, msg)):
		// An agent in tried may have accepted the flow, and its report was lost. An
		// earlier copy may have been accepted through another home.
		m.giveUp(p, msg, "no_other_target", out)
		return
	case !ok:
		m.refuse(p, msg, m.noTargetReason(p.Key), out)
		return
	}
	if len(m.records) < maxFlows || m.records[p.Key] != nil {
		m.records[p.Key] = &record{owner: to, seq: p.Seq, lastSeen: now}
	}
	reason := "by_load"
	if len(tried) > 0 {
		reason = "other_target"
	}
	out.Event(plane.Event{Kind: plane.EventPlaced, Flow: p.Key, PacketSeq: p.Seq, Peer: to, Reason: reason, Value: int64(m.View.Age(now) / time.Millisecond)})
	placed := *msg
	placed.Home = m.Self
	if len(tried) > 0 {
		placed.RefusedBy, placed.Offered = tried[len(tried)-1], true
	}
	if to == m.Self {
		m.offer(now, p, &placed, out)
		return
	}
	m.endPlacement(p.Key)
	m.placements[p.Key] = &placement{raw: slices.Clone(p.Raw), origin: msg.Origin, tried: append(tried, to), sentAt: now}
	m.peer(to).unreported++
	m.forward(to, relay.Place, p, &placed, out)
}

// handlePlaced handles an opening packet that another agent has sent to this
// target. A copy follows a flow that was just handed over, because two targets
// would accept the flow otherwise. Once the other agent has reported the flow, the
// home sends copies there itself, so a later copy means that it has not.
func (m *Machine) handlePlaced(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if r := m.records[p.Key]; r != nil && now < r.followUntil && r.seq == p.Seq && r.owner != m.Self && r.owner != msg.RefusedBy && msg.Hops < maxHops {
		m.forward(r.owner, relay.Place, p, msg, out)
		return
	}
	m.offer(now, p, msg, out)
}

// forwardCopy forwards a copy of an opening packet to the agent at which the
// flow is queued.
func (m *Machine) forwardCopy(now time.Duration, to netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	placed := *msg
	placed.Home = m.Self
	if to == m.Self {
		m.offer(now, p, &placed, out)
		return
	}
	m.forward(to, relay.Place, p, &placed, out)
}

// endPlacement stops the wait for a report of the agent that was chosen last.
func (m *Machine) endPlacement(key flow.Key) {
	if pl := m.placements[key]; pl != nil {
		m.peer(pl.tried[len(pl.tried)-1]).unreported--
		delete(m.placements, key)
	}
}

// offer gives an opening packet to the target, queues it, or hands it over to
// another agent.
func (m *Machine) offer(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if reason := m.flowRefusalReason(now, p.Key); reason != "" && !(isWithheld(reason) && m.isOffered(p)) {
		m.handOver(now, p, msg, reason, out)
		return
	}
	if m.outcomes.failing && !m.mayTestTarget(now, p.Key) && m.hasOtherTarget(now, p, msg) {
		m.handOver(now, p, msg, "failing", out)
		return
	}
	if to, ok := m.warmTargetFor(now, p, msg); ok {
		m.handOverAt(now, p, msg, to, reasonWarmingUp, out)
		return
	}
	if m.queueIfMustWait(now, p, msg, out) {
		return
	}
	m.deliverOpening(now, p, msg, out)
}

// deliverOpening gives an opening packet to the target.
func (m *Machine) deliverOpening(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	f := m.flows[p.Key]
	if f != nil && f.openSeqKnown && f.openSeq != p.Seq {
		// The caller has reused the port for another flow.
		m.forget(now, p.Key, f)
		f = nil
	}
	if f != nil && f.opened {
		// This is a late copy, or the home placed the flow a second time because
		// it did not receive the report of the first placement.
		m.reportOwner(f, msg.Origin, p.Key, out)
		m.reportOwner(f, msg.Home, p.Key, out)
		return
	}
	if f == nil {
		if len(m.flows) >= maxFlows {
			m.handOver(now, p, msg, "table_full", out)
			return
		}
		m.offering.Placed(now, msg.Home)
		f = &ownedFlow{origin: msg.Origin, home: msg.Home, hops: msg.Hops, refusedBy: msg.RefusedBy, offeredBefore: msg.Offered}
		m.flows[p.Key] = f
	}
	f.lastSeen, f.origin, f.home = now, msg.Origin, msg.Home
	f.openSeq, f.openSeqKnown = p.Seq, true
	if f.admittedAt == 0 {
		f.admittedAt = now
	}
	if !f.accepted && f.phase != phaseOffered {
		f.openRaw = slices.Clone(p.Raw)
		m.stats.setPhase(now, p.Key, f, phaseOffered)
		m.warmupLimiter.Record(now)
	}
	if m.silent {
		m.retryAt = now + silentRetryInterval
	}
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

// handOver forwards an opening packet to the agent of another target. If there is
// none, it refuses the flow, unless a target may have got the packet.
func (m *Machine) handOver(now time.Duration, p *flow.Packet, msg *relay.Message, reason string, out *plane.Out) {
	to, ok := m.handOverTo(now, p, msg)
	if !ok && (msg.Offered || m.targetGotOpening(p) || isWithheld(reason) && m.mayBeElsewhere(p, msg)) {
		m.giveUp(p, msg, reason, out)
		return
	}
	if !ok {
		m.refuse(p, msg, reason, out)
		return
	}
	m.handOverAt(now, p, msg, to, reason, out)
}

// handOverAt hands a new flow over to an agent.
func (m *Machine) handOverAt(now time.Duration, p *flow.Packet, msg *relay.Message, to netip.Addr, reason string, out *plane.Out) {
	forwarded := *msg
	forwarded.RefusedBy, forwarded.Offered = m.Self, msg.Offered || m.targetGotOpening(p)
	m.records[p.Key] = &record{owner: to, seq: p.Seq, lastSeen: now}
	m.peer(to).handedOver++
	out.Event(plane.Event{Kind: plane.EventHandedOver, Flow: p.Key, PacketSeq: p.Seq, Peer: to, Reason: reason})
	m.forward(to, relay.Place, p, &forwarded, out)
}

// handOverTo returns the agent to which a new flow is handed over, and whether
// there is one.
func (m *Machine) handOverTo(now time.Duration, p *flow.Packet, msg *relay.Message) (netip.Addr, bool) {
	tried := []netip.Addr{m.Self}
	if msg.RefusedBy.IsValid() {
		tried = append(tried, msg.RefusedBy)
	}
	to, ok := m.choose(now, p.Key, tried)
	return to, ok && !slices.Contains(tried, to) && msg.Hops < maxHops
}

// refuse resets a new flow that no target takes, and forgets it.
func (m *Machine) refuse(p *flow.Packet, msg *relay.Message, reason string, out *plane.Out) {
	m.reset(p, reason, out)
	m.release(p, msg, out)
	if r := m.records[p.Key]; r != nil && !r.confirmed {
		delete(m.records, p.Key)
	}
}

// giveUp drops an opening packet without an answer to its caller, because a target
// may have got it and may accept it. Only the balancer is notified. The home keeps
// its record, which tells it that the flow has been placed: without one it would
// refuse the flow if the network duplicated the packet.
func (m *Machine) giveUp(p *flow.Packet, msg *relay.Message, reason string, out *plane.Out) {
	out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: reason})
	if msg.Origin.IsValid() && msg.Origin != m.Self {
		out.Send(msg.Origin, relay.Message{Kind: relay.Refused, Service: m.serviceTag, Flow: p.Key, Load: m.Load(), Origin: msg.Origin})
	}
	m.endPlacement(p.Key)
}

// release notifies the balancer and the home that this agent does not place a
// flow, and ends its own placement, so that no timer places the flow again.
func (m *Machine) release(p *flow.Packet, msg *relay.Message, out *plane.Out) {
	m.notify(relay.Refused, p.Key, msg, out)
	m.endPlacement(p.Key)
}

// notify reports the state of a new flow to its balancer and its home.
func (m *Machine) notify(kind relay.Kind, key flow.Key, msg *relay.Message, out *plane.Out) {
	report := relay.Message{Kind: kind, Service: m.serviceTag, Flow: key, Load: m.Load(), Origin: msg.Origin}
	for i, to := range []netip.Addr{msg.Origin, msg.Home} {
		if to.IsValid() && to != m.Self && (i == 0 || to != msg.Origin) {
			out.Send(to, report)
		}
	}
}

// handleAccepted handles the target's answer to an opening packet.
func (m *Machine) handleAccepted(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) {
	if !f.accepted {
		m.stats.setPhase(now, p.Key, f, phaseHalfOpen)
		f.acceptedAt = now
	}
	f.accepted, f.openRaw = true, nil
	f.base, f.top, f.baseKnown = p.Seq, p.Seq+1, true
	m.reportOwner(f, f.origin, p.Key, out)
	m.reportOwner(f, f.home, p.Key, out)
	if r := m.records[p.Key]; r != nil {
		r.owner, r.confirmed = m.Self, true
	}
	m.endPlacement(p.Key)
}

// handleTargetRefusal hands over the flow of an opening packet that the target
// returned.
func (m *Machine) handleTargetRefusal(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) {
	if f == nil || f.accepted {
		return
	}
	msg := f.openingMessage()
	m.recordHandOverTime(now, f, out)
	m.forget(now, p.Key, f)
	clean := *p
	clean.Raw = m.Codec.Clean(p.Raw)
	m.handOver(now, &clean, &msg, "target_full", out)
}

// openingMessage returns the message with which the opening packet of a flow came,
// without the packet.
func (f *ownedFlow) openingMessage() relay.Message {
	return relay.Message{Origin: f.origin, Home: f.home, Hops: f.hops, RefusedBy: f.refusedBy, Offered: f.offeredBefore}
}

func (m *Machine) recordHandOverTime(now time.Duration, f *ownedFlow, out *plane.Out) {
	out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyHandedOver, Service: m.Service, Took: now - f.phaseSince})
}

// recordTargetHeard records that the target sends packets.
func (m *Machine) recordTargetHeard(out *plane.Out) {
	if m.silent {
		m.silent = false
		out.Event(plane.Event{Kind: plane.EventTargetHeard})
	}
}

// checkOfferedFlows hands over the flows that the target has not accepted in time.
func (m *Machine) checkOfferedFlows(now time.Duration, out *plane.Out) {
	if !m.awaitsAcceptance() {
		return
	}
	for key, f := range m.flows {
		if f.phase != phaseOffered || now-f.phaseSince < acceptTimeout {
			continue
		}
		if !m.silent {
			m.silent = true
			out.Event(plane.Event{Kind: plane.EventTargetSilent, Flow: key, Value: (now - f.phaseSince).Milliseconds()})
		}
		m.retryAt = now + silentRetryInterval
		m.recordHandOverTime(now, f, out)
		m.stats.setPhase(now, key, f, phaseClosed)
		p, err := m.Codec.FromCaller(f.openRaw)
		if err != nil {
			continue
		}
		msg := f.openingMessage()
		m.handOver(now, &p, &msg, "target_silent", out)
	}
}

// checkPlacements places flows again that the chosen agent has not reported in
// time.
func (m *Machine) checkPlacements(now time.Duration, out *plane.Out) {
	for key, pl := range m.placements {
		if now-pl.sentAt < m.reportTimes.Timeout() {
			continue
		}
		failed := pl.tried[len(pl.tried)-1]
		m.endPlacement(key)
		m.reportTimes.TimedOut()
		m.peer(failed).suspectUntil = now + suspectDuration
		out.Event(plane.Event{Kind: plane.EventSuspected, Flow: key, Peer: failed, Reason: "no_owner_reported", Value: (now - pl.sentAt).Milliseconds()})
		p, err := m.Codec.FromCaller(pl.raw)
		if err != nil || len(pl.tried) > maxHops {
			continue
		}
		m.place(now, &p, &relay.Message{Origin: pl.origin, Home: m.Self}, pl.tried, out)
	}
}
