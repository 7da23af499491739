package ownership

import (
	"slices"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// sendToNextService sends a packet whose flow no target of this service holds to
// the next service of its address that has not been searched, and reports
// whether there was one. A version with other weights or services sends packets
// of open flows to another service than the one that holds them.
func (m *Machine) sendToNextService(p *flow.Packet, s *search, out *plane.Out) bool {
	denied := append(slices.Clone(s.deniedServices), m.serviceTag)
	for _, service := range m.View.ServicesOf(p.Key.Service()) {
		tag := relay.ServiceTag(service)
		if slices.Contains(denied, tag) {
			continue
		}
		home, ok := m.View.HomeOf(service, p.Key.Hash(), m.DataCentre)
		if !ok {
			continue
		}
		if len(denied) > relay.MaxDeniedServices {
			// The flow may be held there, so it is not reset either.
			out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "too_many_services", Value: int64(len(denied))})
			return true
		}
		out.Event(plane.Event{Kind: plane.EventNextService, Flow: p.Key, PacketSeq: p.Seq, Peer: home, Reason: "no_target_holds_flow", Value: int64(len(denied))})
		out.Send(home, relay.Message{Kind: relay.Redirect, Hops: 1, Service: tag, Origin: s.origin, Home: home, DeniedServices: denied, Body: p.Raw})
		return true
	}
	return false
}
