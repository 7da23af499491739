package ownership

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// ownedFlow is a flow that the target holds, or that was offered to it.
type ownedFlow struct {
	phase phase
	// accepted says that the target has accepted the flow. opened says that the
	// caller has received the target's acceptance.
	accepted, opened bool
	// base is the target's first sequence number and top the highest that it
	// has sent. Both have a margin if the agent has not seen the beginning of the
	// flow. baseKnown says that base and top are known. callerTop is the caller's
	// highest sequence number.
	baseKnown            bool
	base, top, callerTop uint32
	callerTopKnown       bool
	// phaseSince is when the phase began. unqueued says that the request in
	// progress did not wait for a slot.
	phaseSince time.Duration
	unqueued   bool
	// admittedAt is when the target got the opening packet, or 0 after the
	// first answer.
	admittedAt time.Duration
	// acceptedAt is when the target accepted the flow, or 0 after the first
	// request.
	acceptedAt   time.Duration
	callerClosed bool
	targetClosed bool
	lastSeen     time.Duration
	origin, home netip.Addr
	// openSeq is the sequence number of the opening packet, if it is known.
	openSeq      uint32
	openSeqKnown bool
	// openRaw is the opening packet, until the flow is accepted or handed over.
	openRaw   []byte
	hops      uint8
	refusedBy netip.Addr
	// held has the packets of a request that waits for a slot.
	held [][]byte
	// offeredBefore says that another target may have got the opening packet.
	offeredBefore bool
}

// handlePacket handles a packet of an open flow.
func (m *Machine) handlePacket(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.matches(p) {
		m.deliver(now, f, p, out)
		if msg.Hops > 0 {
			m.reportOwner(f, msg.Origin, p.Key, out)
		}
		return
	}
	if r := m.records[p.Key]; r != nil && r.owner != m.Self && msg.Hops < maxHops {
		r.lastSeen = now
		m.forward(r.owner, msg.Kind, p, msg, out)
		return
	}
	m.handleUnknown(now, p, msg, out)
}

// reportOwner reports to a process that this agent owns a flow.
func (m *Machine) reportOwner(f *ownedFlow, to netip.Addr, key flow.Key, out *plane.Out) {
	if !to.IsValid() || to == m.Self {
		return
	}
	out.Send(to, relay.Message{Kind: relay.Owner, Service: m.serviceTag, Flow: key, Load: m.Load(), Origin: f.origin})
}

// matches reports whether a caller's packet belongs to the flow that the target
// holds. A flow at another target, or an earlier flow, may have the same
// addresses. A caller acknowledges only what its own target has sent.
func (f *ownedFlow) matches(p *flow.Packet) bool {
	if !f.accepted {
		return false
	}
	if !f.baseKnown || p.Reset {
		return true
	}
	return f.acknowledgedBy(p)
}

// acknowledgedBy reports whether a packet acknowledges what the target has sent.
func (f *ownedFlow) acknowledgedBy(p *flow.Packet) bool { return p.Ack-f.base <= f.top-f.base+1 }

// deliver gives a packet of a flow to the target, or holds it.
func (m *Machine) deliver(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) {
	f.lastSeen = now
	if !f.opened {
		f.opened = true
		f.openRaw = nil
	}
	if !m.hold(now, f, p, out) {
		m.deliverNow(now, f, p, out)
	}
}

// deliverNow gives a packet of a flow to the target.
func (m *Machine) deliverNow(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) {
	end := p.Seq + uint32(p.Len)
	if p.Len > 0 && (!f.callerTopKnown || int32(end-f.callerTop) > 0) {
		f.callerTop, f.callerTopKnown = end, true
		m.beginRequest(now, f, p.Key)
	}
	f.callerClosed = f.callerClosed || p.Final || p.Reset
	f.targetClosed = f.targetClosed || p.Reset
	m.checkClosed(now, f, p.Key)
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

func (m *Machine) handleTargetPacket(now time.Duration, raw []byte, out *plane.Out) {
	p, err := m.Codec.FromTarget(raw)
	if err != nil {
		out.Event(plane.Event{Kind: plane.EventDropped, Reason: "malformed_from_target"})
		return
	}
	if p.Returned {
		m.handleReturned(now, &p, out)
		return
	}
	m.recordTargetHeard(out)
	f := m.flows[p.Key]
	if f == nil {
		f = m.learnFlow(now, p.Key)
		m.answerHeld(p.Key, f, out)
	}
	m.trackTargetPacket(now, f, &p, out)
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: p.Raw})
}

// learnFlow adds a flow that the target holds and that the agent does not know,
// for example because the agent restarted.
func (m *Machine) learnFlow(now time.Duration, key flow.Key) *ownedFlow {
	f := &ownedFlow{accepted: true, opened: true, lastSeen: now}
	if len(m.flows) >= maxFlows {
		m.flowsOmitted = true
		return f
	}
	m.flows[key] = f
	m.stats.setPhase(now, key, f, phaseIdle)
	return f
}

// trackTargetPacket updates the state of a flow from a packet that the target
// sent.
func (m *Machine) trackTargetPacket(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) {
	f.lastSeen = now
	end := p.Seq + uint32(p.Len)
	if p.Open {
		switch {
		case !f.opened:
			m.handleAccepted(now, f, p, out)
		case !f.baseKnown:
			// The agent restarted after it had given the opening packet to the
			// target.
			f.base, f.top, f.baseKnown = p.Seq, p.Seq+maxInFlightBytes, true
		}
		return
	}
	// The target sends packets only on flows that it holds.
	f.accepted = true
	switch {
	case !f.baseKnown:
		f.base, f.top, f.baseKnown = p.Seq-maxInFlightBytes, end+maxInFlightBytes, true
	case int32(end-f.top) > 0:
		f.top = end
	}
	switch {
	case p.Reset && f.phase == phaseBusy:
		m.recordFailure(now, p.Key, out)
	case p.Len > 0 && f.phase == phaseBusy && m.stats.route(p.Key).looksLikeError(now-f.phaseSince, p.Len):
		m.recordFailure(now, p.Key, out)
	case p.Len > 0 && f.phase == phaseBusy:
		m.recordSuccess(p.Key, out)
	}
	if p.Len > 0 || p.Reset {
		m.endRequest(now, f, p.Key, p.Len > 0, out)
	}
	if p.Final {
		f.top++
	}
	f.targetClosed = f.targetClosed || p.Final || p.Reset
	f.callerClosed = f.callerClosed || p.Reset
	m.checkClosed(now, f, p.Key)
}

// checkClosed stops counting a flow as load once both ends have closed it.
func (m *Machine) checkClosed(now time.Duration, f *ownedFlow, key flow.Key) {
	if f.callerClosed && f.targetClosed {
		m.stats.setPhase(now, key, f, phaseClosed)
	}
}

// handleReturned handles a packet that the target returned.
func (m *Machine) handleReturned(now time.Duration, p *flow.Packet, out *plane.Out) {
	m.recordTargetHeard(out)
	f := m.flows[p.Key]
	out.Event(plane.Event{Kind: plane.EventReturned, Flow: p.Key, PacketSeq: p.Seq, Reason: map[bool]string{true: "opening", false: "not_held"}[p.Open]})
	if p.Open {
		m.handleTargetRefusal(now, f, p, out)
		return
	}
	if f != nil && f.accepted && f.matches(p) && f.baseKnown {
		m.forget(now, p.Key, f)
		if !f.acknowledgedBy(p) {
			// It is a caller's reset, perhaps of a flow at another target that
			// accepted a copy of the opening packet.
			out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Peer: f.origin, Reason: "unknown_flow"})
			return
		}
		// The target accepted the flow and no longer holds it, so it has
		// restarted. No other target holds the flow.
		m.reset(p, "target_lost_flow", out)
		return
	}
	if f != nil && !f.baseKnown {
		m.forget(now, p.Key, f)
	}
	m.handleNotHeld(now, p, out)
}

// reset aborts a flow that no target holds.
func (m *Machine) reset(p *flow.Packet, reason string, out *plane.Out) {
	seq := p.Ack
	if p.Open {
		seq = 0
	}
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: m.Codec.Reset(p.Key, seq)})
	kind := plane.EventReset
	if p.Open {
		kind = plane.EventRefused
	}
	out.Event(plane.Event{Kind: kind, Flow: p.Key, PacketSeq: p.Seq, Reason: reason})
}

func (m *Machine) forget(now time.Duration, key flow.Key, f *ownedFlow) {
	m.clearHeld(key, f)
	m.stats.setPhase(now, key, f, phaseClosed)
	delete(m.flows, key)
}
