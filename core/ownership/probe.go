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
	s.began, s.raw, s.origin, s.done, s.selfFirst = now, slices.Clone(p.Raw), msg.Origin, true, true
	s.prober = m.Self
	m.countProbe(now, s)
	out.Event(plane.Event{Kind: plane.EventProbed, Flow: p.Key, PacketSeq: p.Seq, Peer: m.Self, Value: int64(s.probes)})
	m.probeTarget(now, p, out)
}

// probeTarget gives the target a packet that it returns unless it holds the
// flow.
func (m *Machine) probeTarget(now time.Duration, p *flow.Packet, out *plane.Out) {
	if !m.wasProbed {
		m.wasProbed, m.probedAt = true, now
	}
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

// TargetCheckDue reports whether to check that the target runs: it got a probe and
// has sent nothing since the start of the agent. It is true once in a while.
func (m *Machine) TargetCheckDue(now time.Duration) bool {
	if m.targetHeard || !m.unsure(now) || !m.wasProbed || now-m.probedAt < acceptTimeout || now < m.nextCheck {
		return false
	}
	m.nextCheck = now + checkEvery
	return true
}

// TargetNotRunning notes that no process listens at the address of the target.
// It holds no flows then, and one that starts later holds none that the agent
// has not seen.
func (m *Machine) TargetNotRunning(now time.Duration, out *plane.Out) {
	if m.targetHeard || !m.unsure(now) {
		return
	}
	m.unsureUntil = 0
	out.Event(plane.Event{Kind: plane.EventTargetFresh, Reason: "not_running"})
	for key, s := range m.search {
		switch {
		case s.selfFirst:
			m.ownTargetDisowns(now, s, out)
		case s.prober.IsValid():
			m.tellNotHeld(key, s, out)
		}
	}
}

// countProbe counts a packet at a target that may not hold the flow.
func (m *Machine) countProbe(now time.Duration, s *search) {
	if now-s.firstProbe > probeWindow || s.probes == 0 {
		s.probes, s.firstProbe = 0, now
	}
	s.probes++
}

// probe gives the packet to targets that may hold the flow, up to a number of
// them.
func (m *Machine) probe(now time.Duration, key flow.Key, s *search, most int, out *plane.Out) {
	if now-s.firstProbe > probeWindow {
		s.probes = 0
	}
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	for _, a := range slices.Clone(s.unsure) {
		if s.probes >= most {
			return
		}
		m.countProbe(now, s)
		s.probing[a] = true
		out.Event(plane.Event{Kind: plane.EventProbed, Flow: key, PacketSeq: p.Seq, Peer: a, Value: int64(s.probes)})
		msg := &relay.Message{Origin: s.origin}
		if a == m.Self {
			m.probed(now, m.Self, &p, msg, out)
			continue
		}
		m.pass(a, relay.Probe, &p, msg, out)
	}
}

// probed gives a packet to the target to learn whether it holds the flow.
func (m *Machine) probed(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.takes(p) {
		m.deliver(now, f, p, out)
		m.report(f, msg.Origin, p.Key, out)
		m.report(f, from, p.Key, out)
		return
	}
	s := m.search[p.Key]
	if s == nil {
		s = &search{began: now, done: true}
		m.search[p.Key] = s
	}
	s.prober, s.origin = from, msg.Origin
	if s.disowned || !m.unsure(now) {
		m.tellNotHeld(p.Key, s, out)
		return
	}
	m.probeTarget(now, p, out)
}

// probeFailed notes that the target of a probed agent does not hold the flow.
// After the last one nobody does, if all agents have answered.
func (m *Machine) probeFailed(from netip.Addr, key flow.Key, s *search, out *plane.Out) {
	delete(s.probing, from)
	s.unsure = slices.DeleteFunc(s.unsure, func(a netip.Addr) bool { return a == from })
	if len(s.probing)+len(s.unsure)+len(s.asked) == 0 {
		m.resetSearched(s, out)
	}
}

// notHeld notes that the target does not hold a flow that it was asked for.
func (m *Machine) notHeld(now time.Duration, p *flow.Packet, out *plane.Out) {
	s := m.search[p.Key]
	if s == nil {
		s = &search{began: now, done: true}
		m.search[p.Key] = s
	}
	s.disowned = true
	if s.selfFirst {
		m.ownTargetDisowns(now, s, out)
		return
	}
	m.tellNotHeld(p.Key, s, out)
}

// ownTargetDisowns goes on to the other agents after the own target was asked
// first.
func (m *Machine) ownTargetDisowns(now time.Duration, s *search, out *plane.Out) {
	s.selfFirst, s.prober = false, netip.Addr{}
	if clean, err := m.Codec.FromCaller(s.raw); err == nil {
		m.begin(now, &clean, &relay.Message{Origin: s.origin}, s, out)
	}
}

// tellNotHeld answers the agent that asked for the flow.
func (m *Machine) tellNotHeld(key flow.Key, s *search, out *plane.Out) {
	switch {
	case s.prober == m.Self && s.probing[m.Self]:
		m.probeFailed(m.Self, key, s, out)
	case s.prober.IsValid() && s.prober != m.Self:
		out.Send(s.prober, relay.Message{Kind: relay.NotOwner, Service: m.tag, Flow: key, Load: m.Load(), Origin: s.origin})
	}
	s.prober = netip.Addr{}
}

// tellHeld answers the agent that asked for a flow which the target holds.
func (m *Machine) tellHeld(key flow.Key, f *owned, out *plane.Out) {
	s := m.search[key]
	if s == nil || !s.prober.IsValid() {
		return
	}
	f.origin, s.selfFirst = s.origin, false
	m.report(f, s.origin, key, out)
	m.report(f, s.prober, key, out)
	s.prober = netip.Addr{}
	clear(s.probing)
}
