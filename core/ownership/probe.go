package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// probeSelf probes the local target for a flow, before other agents are asked.
// The balancer's table names this agent as the owner. If the target returns the
// packet, the search continues with the other agents.
func (m *Machine) probeSelf(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	s.roundStart, s.raw, s.origin, s.done, s.onlySelfAsked = now, slices.Clone(p.Raw), msg.Origin, true, true
	s.prober = m.Self
	m.probeOwnTarget(now, p, s, out)
	out.Event(plane.Event{Kind: plane.EventProbed, Flow: p.Key, PacketSeq: p.Seq, Peer: m.Self, Value: int64(s.probeCount(now))})
}

// probeTarget gives the target a packet, which it returns unless it holds the
// flow.
func (m *Machine) probeTarget(now time.Duration, p *flow.Packet, out *plane.Out) {
	if !m.targetProbed {
		m.targetProbed, m.targetProbedAt = true, now
	}
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

// TargetCheckDue reports whether to check that the target is running. A check
// is due if the target got a probe and has sent nothing since the start of the
// agent. The method returns true at most once in targetCheckInterval.
func (m *Machine) TargetCheckDue(now time.Duration) bool {
	if m.targetHeard || !m.mayHoldUnknownFlows(now) || !m.targetProbed || now-m.targetProbedAt < acceptTimeout || now < m.nextTargetCheck {
		return false
	}
	m.nextTargetCheck = now + targetCheckInterval
	return true
}

// TargetNotRunning records that no process listens at the address of the
// target. The target then holds no flows, and the agent sees every flow of a
// target that starts later.
func (m *Machine) TargetNotRunning(now time.Duration, out *plane.Out) {
	if m.targetHeard || !m.mayHoldUnknownFlows(now) {
		return
	}
	m.unknownFlowsUntil = 0
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "not_running"})
	for key, s := range m.searches {
		switch {
		case s.onlySelfAsked:
			m.searchOthers(now, s, out)
		case s.prober.IsValid():
			m.answerNotHeld(key, s, out)
		}
	}
}

// probeMaybeOwners sends probes to the agents whose targets may hold the flow,
// until the flow has had limit probes in the window.
func (m *Machine) probeMaybeOwners(now time.Duration, key flow.Key, s *search, limit int, out *plane.Out) {
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	for _, a := range slices.Clone(s.maybeOwners) {
		if s.probeCount(now) >= limit {
			return
		}
		if s.hasProbed(now, a, &p) {
			continue
		}
		s.probing[a] = true
		s.noteProbe(now, a, &p)
		msg := &relay.Message{Origin: s.origin}
		if a == m.Self {
			m.handleProbe(now, m.Self, &p, msg, out)
		} else {
			s.countSentProbe(now, a)
			m.forward(a, relay.Probe, &p, msg, out)
		}
		out.Event(plane.Event{Kind: plane.EventProbed, Flow: key, PacketSeq: p.Seq, Peer: a, Value: int64(s.probeCount(now))})
	}
}

// handleProbe gives a packet to the target to learn whether it holds the flow.
func (m *Machine) handleProbe(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.matches(p) {
		m.deliver(now, f, p, out)
		m.reportOwner(f, msg.Origin, p.Key, out)
		m.reportOwner(f, from, p.Key, out)
		return
	}
	s := m.searches[p.Key]
	if s == nil {
		s = &search{roundStart: now, done: true}
		m.searches[p.Key] = s
	}
	s.prober, s.origin = from, msg.Origin
	if s.selfDenied || !m.mayHoldUnknownFlows(now) {
		m.answerNotHeld(p.Key, s, out)
		return
	}
	m.probeOwnTarget(now, p, s, out)
}

// handleProbeDenied records that the target of a probed agent does not hold the
// flow. After the last probe no target holds it, provided that all agents have
// answered.
func (m *Machine) handleProbeDenied(from netip.Addr, key flow.Key, s *search, out *plane.Out) {
	delete(s.probing, from)
	s.maybeOwners = slices.DeleteFunc(s.maybeOwners, func(a netip.Addr) bool { return a == from })
	if len(s.probing)+len(s.maybeOwners)+len(s.asked) == 0 {
		m.resetUnowned(s, out)
	}
}

// handleNotHeld handles a packet that the target returned because it does not
// hold the flow.
func (m *Machine) handleNotHeld(now time.Duration, p *flow.Packet, out *plane.Out) {
	s := m.searches[p.Key]
	if s == nil {
		s = &search{roundStart: now, done: true}
		m.searches[p.Key] = s
	}
	s.selfDenied = true
	if s.onlySelfAsked {
		m.searchOthers(now, s, out)
		return
	}
	m.answerNotHeld(p.Key, s, out)
}

// searchOthers continues a search with the other agents after the local target
// has denied the flow.
func (m *Machine) searchOthers(now time.Duration, s *search, out *plane.Out) {
	s.onlySelfAsked, s.prober = false, netip.Addr{}
	if clean, err := m.Codec.FromCaller(s.raw); err == nil {
		m.beginRound(now, &clean, &relay.Message{Origin: s.origin}, s, out)
	}
}

// answerNotHeld reports to the agent that probed for a flow that the target does
// not hold it.
func (m *Machine) answerNotHeld(key flow.Key, s *search, out *plane.Out) {
	switch {
	case s.prober == m.Self && s.probing[m.Self]:
		m.handleProbeDenied(m.Self, key, s, out)
	case s.prober.IsValid() && s.prober != m.Self:
		out.Send(s.prober, relay.Message{Kind: relay.NotOwner, Service: m.serviceTag, Flow: key, Load: m.Load(), Origin: s.origin})
	}
	s.prober = netip.Addr{}
}

// answerHeld reports to the agent that probed for a flow that the target holds
// it.
func (m *Machine) answerHeld(key flow.Key, f *ownedFlow, out *plane.Out) {
	s := m.searches[key]
	if s == nil || !s.prober.IsValid() {
		return
	}
	f.origin, s.onlySelfAsked = s.origin, false
	m.reportOwner(f, s.origin, key, out)
	m.reportOwner(f, s.prober, key, out)
	s.prober = netip.Addr{}
	clear(s.probing)
}
