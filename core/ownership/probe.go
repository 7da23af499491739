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

// probeMaybeOwners sends probes to the agents whose targets may hold the flow.
// At most probeBudget probes are on their way at a time, so few packets reach
// other targets after the one that holds the flow. Unless all agents have
// answered, the flow has at most probeBudget probes in probeWindow, and
// sharedProbeBudget if another service may hold it.
func (m *Machine) probeMaybeOwners(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	if len(s.maybeOwners) == 0 || m.deferProbes(now, &p, s, out) {
		return
	}
	for _, a := range slices.Clone(s.maybeOwners) {
		if !m.mayProbe(now, s) {
			return
		}
		if s.probing[a] || s.hasProbed(now, a, &p) || !slices.Contains(s.maybeOwners, a) {
			continue
		}
		m.probe(now, a, &p, s, out)
	}
}

// probe sends a probe to an agent whose target may hold the flow.
func (m *Machine) probe(now time.Duration, to netip.Addr, p *flow.Packet, s *search, out *plane.Out) {
	s.probing[to] = true
	s.noteProbe(now, to, p)
	msg := &relay.Message{Origin: s.origin}
	if to == m.Self {
		m.handleProbe(now, m.Self, p, msg, out)
	} else {
		s.countSentProbe(now, to)
		m.forward(to, relay.Probe, p, msg, out)
	}
	out.Event(plane.Event{Kind: plane.EventProbed, Flow: p.Key, PacketSeq: p.Seq, Peer: to, Value: int64(s.probeCount(now))})
}

// handleProbe gives a packet to the target to learn whether it holds the flow.
func (m *Machine) handleProbe(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.matches(p) {
		m.deliver(now, f, p, out)
		m.reportOwner(f, msg.Origin, p.Key, out)
		m.reportOwner(f, from, p.Key, out)
		return
	}
	s := m.searchResult(now, p.Key)
	s.prober, s.origin = from, msg.Origin
	if !m.mayHold(now, p.Key) {
		m.answerNotHeld(now, p.Key, s, out)
		return
	}
	m.probeOwnTarget(now, p, s, out)
}

// handleProbeDenied records that the target of a probed agent does not hold the
// flow, and probes the next one. After the last probe no target holds it,
// provided that all agents have answered.
func (m *Machine) handleProbeDenied(now time.Duration, from netip.Addr, key flow.Key, s *search, out *plane.Out) {
	delete(s.probing, from)
	s.maybeOwners = slices.DeleteFunc(s.maybeOwners, func(a netip.Addr) bool { return a == from })
	if s.found {
		return
	}
	if len(s.probing)+len(s.maybeOwners)+len(s.asked) == 0 {
		m.conclude(now, key, s, out)
		return
	}
	if s.done && s.allAnswered {
		s.roundStart = now
		m.probeMaybeOwners(now, key, s, out)
	}
}

// handleNotHeld handles a packet that the target returned because it does not
// hold the flow.
func (m *Machine) handleNotHeld(now time.Duration, p *flow.Packet, out *plane.Out) {
	s := m.searchResult(now, p.Key)
	s.selfDenied = true
	if s.onlySelfAsked {
		m.searchOthers(now, s, out)
		return
	}
	m.answerNotHeld(now, p.Key, s, out)
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
func (m *Machine) answerNotHeld(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	switch {
	case s.prober == m.Self && s.probing[m.Self]:
		m.handleProbeDenied(now, m.Self, key, s, out)
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
	s.done, s.found = true, true
	m.reportOwner(f, s.origin, key, out)
	m.reportOwner(f, s.prober, key, out)
	s.prober = netip.Addr{}
	clear(s.probing)
}
