package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// nextService returns the next service of an address that may hold a flow, with its
// home, if there is one. denied has the tags of the services that do not hold it.
func (m *Machine) nextService(key flow.Key, denied []uint64) (tag uint64, home netip.Addr, ok bool) {
	for _, service := range m.View.ServicesOf(key.Service()) {
		tag := relay.ServiceTag(service)
		if tag == m.serviceTag || slices.Contains(denied, tag) {
			continue
		}
		if home, ok := m.View.HomeOf(service, key.Hash(), m.DataCentre); ok {
			return tag, home, true
		}
	}
	return 0, netip.Addr{}, false
}

// countOtherServices returns the number of the other services of an address that may
// hold a flow.
func (m *Machine) countOtherServices(key flow.Key, denied []uint64) (n int) {
	for _, service := range m.View.ServicesOf(key.Service()) {
		if tag := relay.ServiceTag(service); tag != m.serviceTag && !slices.Contains(denied, tag) {
			n++
		}
	}
	return n
}

// sendToNextService sends a packet whose flow no target of this service holds to
// the next service of its address that has not been searched, and reports
// whether there was one. A version with other weights or services sends packets
// of open flows to another service than the one that holds them.
func (m *Machine) sendToNextService(p *flow.Packet, s *search, out *plane.Out) bool {
	tag, home, ok := m.nextService(p.Key, s.deniedServices)
	if !ok {
		return false
	}
	denied := append(slices.Clone(s.deniedServices), m.serviceTag)
	if len(denied) > relay.MaxDeniedServices {
		// The flow may be held there, so it is not reset either.
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "too_many_services", Value: int64(len(denied))})
		return true
	}
	out.Event(plane.Event{Kind: plane.EventNextService, Flow: p.Key, PacketSeq: p.Seq, Peer: home, Reason: "no_target_holds_flow", Value: int64(len(denied))})
	out.Send(home, relay.Message{Kind: relay.Redirect, Hops: 1, Service: tag, Origin: s.origin, Home: home, DeniedServices: denied, Body: p.Raw})
	return true
}

// deferProbes reports whether to wait with probes because another service of the
// address may have an owner that knows that it holds the flow. If so, it sends the
// packet there. The other service sends it back with the list of the services that
// do not hold the flow, or with clearedHops if all its agents have answered and none
// knows that it holds the flow. If nothing comes back for probeDeferral, probes go on
// with a smaller budget, because the other service may probe as well.
func (m *Machine) deferProbes(now time.Duration, p *flow.Packet, s *search, out *plane.Out) bool {
	tag, home, ok := m.nextService(p.Key, s.deniedServices)
	s.otherServices = ok && !(s.cleared && m.countOtherServices(p.Key, s.deniedServices) == 1)
	if !s.otherServices {
		return false
	}
	if s.deferred {
		return now-s.deferredAt < probeDeferral
	}
	s.deferred, s.deferredAt = true, now
	hops := uint8(deferredHops)
	if s.waiter.IsValid() {
		if !s.allAnswered {
			return true
		}
		home, hops = s.waiter, clearedHops
	}
	out.Event(plane.Event{Kind: plane.EventNextService, Flow: p.Key, PacketSeq: p.Seq, Peer: home, Reason: "before_probes", Value: int64(len(s.deniedServices))})
	out.Send(home, relay.Message{Kind: relay.Redirect, Hops: hops, Service: tag, Origin: s.origin, Home: m.Self, DeniedServices: s.deniedServices, Body: p.Raw})
	return true
}

// noteRedirect records what a packet that comes from another service says about
// that service.
func (s *search) noteRedirect(msg *relay.Message) {
	s.deferred, s.cleared, s.waiter = false, false, netip.Addr{}
	if msg.Kind != relay.Redirect {
		return
	}
	s.cleared = msg.Hops >= clearedHops
	if msg.Hops == deferredHops {
		s.waiter = msg.Home
	}
}

// endDeferral goes on with the probes of a search that has waited for another
// service.
func (m *Machine) endDeferral(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	if s.deferred && s.done && !s.found && !s.noOwner && now-s.deferredAt >= probeDeferral && now-s.deferredAt < 2*probeDeferral {
		m.probeMaybeOwners(now, key, s, out)
	}
}

// mayProbe reports whether the budget of a flow allows another probe.
func (m *Machine) mayProbe(now time.Duration, s *search) bool {
	switch {
	case len(s.probing) >= probeBudget:
		return false
	case s.otherServices:
		return s.probeCount(now) < sharedProbeBudget
	}
	return s.allAnswered || s.probeCount(now) < probeBudget
}
