package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// probeSelf asks the own target first for a flow that a balancer knows as its
// own. If the target returns the packet, the search goes on.
func (m *Machine) probeSelf(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	s.roundStart, s.raw, s.origin, s.done, s.onlySelfAsked = now, slices.Clone(p.Raw), msg.Origin, true, true
	s.prober = m.Self
	m.countProbe(now, s)
	out.Event(plane.Event{Kind: plane.EventProbed, Flow: p.Key, Number: p.Seq, Peer: m.Self, Value: int64(s.probesSent)})
	m.probeTarget(now, p, out)
}

// probeTarget gives the target a packet that it returns unless it holds the
// flow.
func (m *Machine) probeTarget(now time.Duration, p *flow.Packet, out *plane.Out) {
	if !m.targetProbed {
		m.targetProbed, m.targetProbedAt = true, now
	}
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

// TargetCheckDue reports whether to check that the target runs: it got a probe and
// has sent nothing since the start of the agent. It is true once in a while.
func (m *Machine) TargetCheckDue(now time.Duration) bool {
	if m.targetHeard || !m.mayHoldUnknownFlows(now) || !m.targetProbed || now-m.targetProbedAt < acceptTimeout || now < m.nextTargetCheck {
		return false
	}
	m.nextTargetCheck = now + targetCheckInterval
	return true
}

// TargetNotRunning notes that no process listens at the address of the target.
// It holds no flows then, and one that starts later holds none that the agent
// has not seen.
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

// countProbe counts a packet at a target that may not hold the flow.
func (m *Machine) countProbe(now time.Duration, s *search) {
	if now-s.firstProbeAt > probeWindow || s.probesSent == 0 {
		s.probesSent, s.firstProbeAt = 0, now
	}
	s.probesSent++
}

// probeMaybeOwners gives the packet to targets that may hold the flow, up to a number of
// them.
func (m *Machine) probeMaybeOwners(now time.Duration, key flow.Key, s *search, most int, out *plane.Out) {
	if now-s.firstProbeAt > probeWindow {
		s.probesSent = 0
	}
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	for _, a := range slices.Clone(s.maybeOwners) {
		if s.probesSent >= most {
			return
		}
		m.countProbe(now, s)
		s.probing[a] = true
		out.Event(plane.Event{Kind: plane.EventProbed, Flow: key, Number: p.Seq, Peer: a, Value: int64(s.probesSent)})
		msg := &relay.Message{Origin: s.origin}
		if a == m.Self {
			m.handleProbe(now, m.Self, &p, msg, out)
			continue
		}
		m.forward(a, relay.Probe, &p, msg, out)
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
	m.probeTarget(now, p, out)
}

// handleProbeDenied notes that the target of a probed agent does not hold the flow.
// After the last one nobody does, if all agents have answered.
func (m *Machine) handleProbeDenied(from netip.Addr, key flow.Key, s *search, out *plane.Out) {
	delete(s.probing, from)
	s.maybeOwners = slices.DeleteFunc(s.maybeOwners, func(a netip.Addr) bool { return a == from })
	if len(s.probing)+len(s.maybeOwners)+len(s.asked) == 0 {
		m.resetUnowned(s, out)
	}
}

// handleNotHeld notes that the target does not hold a flow that it was asked for.
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

// searchOthers goes on to the other agents after the own target was asked
// first.
func (m *Machine) searchOthers(now time.Duration, s *search, out *plane.Out) {
	s.onlySelfAsked, s.prober = false, netip.Addr{}
	if clean, err := m.Codec.FromCaller(s.raw); err == nil {
		m.beginRound(now, &clean, &relay.Message{Origin: s.origin}, s, out)
	}
}

// answerNotHeld answers the agent that asked for the flow.
func (m *Machine) answerNotHeld(key flow.Key, s *search, out *plane.Out) {
	switch {
	case s.prober == m.Self && s.probing[m.Self]:
		m.handleProbeDenied(m.Self, key, s, out)
	case s.prober.IsValid() && s.prober != m.Self:
		out.Send(s.prober, relay.Message{Kind: relay.NotOwner, Service: m.serviceTag, Flow: key, Load: m.Load(), Origin: s.origin})
	}
	s.prober = netip.Addr{}
}

// answerHeld answers the agent that asked for a flow which the target holds.
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
