package agent

import (
	"net/netip"

	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
)

// receive handles one datagram. If it carries a QUIC packet for this agent, it
// returns the packet and the caller's address; the packet is part of datagram.
func (e *edge) receive(datagram []byte, from netip.AddrPort) (packet []byte, caller netip.AddrPort, ok bool) {
	var h wire.Header
	if reason := e.open(datagram, &h); reason != "" {
		e.metrics.dropped(reason)
		return nil, caller, false
	}
	payload := datagram[wire.HeaderLen:]
	switch h.Kind {
	case wire.Forward:
		return e.receiveForward(&h, payload, from)
	case wire.Ping:
		e.heardBalancer(&h, from)
		e.pong(&h, from)
	case wire.Pong:
		e.heardBalancer(&h, from)
	case wire.Control:
		e.receiveControl(payload, from)
	default:
		e.metrics.dropped("kind")
	}
	return nil, caller, false
}

// open verifies a datagram and returns the reason to drop it, if there is one.
func (e *edge) open(datagram []byte, h *wire.Header) string {
	switch err := e.keys.WireCodec().Open(datagram, h); err {
	case nil:
	case wire.ErrShort:
		return "short"
	case wire.ErrVersion:
		return "version"
	case wire.ErrGeneration:
		return "generation"
	case wire.ErrTag:
		return "tag"
	default:
		return "kind"
	}
	if h.Service != e.self.service {
		return "service"
	}
	return ""
}

func (e *edge) heardBalancer(h *wire.Header, from netip.AddrPort) {
	e.balancers.heard(e.now(), from, h.Flags&wire.FlagLeaving != 0)
}

func (e *edge) pong(h *wire.Header, to netip.AddrPort) {
	_ = e.send(to, &wire.Header{Kind: wire.Pong, Sequence: h.Sequence}, nil)
}

func (e *edge) receiveControl(payload []byte, from netip.AddrPort) {
	peer, ok := e.view().peerAt(from)
	if !ok {
		e.metrics.dropped("control_unknown_peer")
		return
	}
	e.control(peer, payload)
}

// receiveForward handles a caller's packet. A redirected one comes from an
// agent, so its sender is no balancer.
func (e *edge) receiveForward(h *wire.Header, payload []byte, from netip.AddrPort) ([]byte, netip.AddrPort, bool) {
	redirected := h.Flags&wire.FlagRedirected != 0
	if !redirected {
		e.heardBalancer(h, from)
		if h.Flags&wire.FlagEcho != 0 {
			e.pong(h, from)
		}
	}
	if !h.Caller.IsValid() || h.Caller.Port() == 0 {
		e.metrics.dropped("caller")
		return nil, h.Caller, false
	}
	id, long, ok := destinationID(payload)
	if !ok {
		e.metrics.dropped("packet")
		return nil, h.Caller, false
	}
	if h.Flags&wire.FlagFirst == 0 {
		return payload, h.Caller, e.ownFlow(id, long)
	}
	if !long {
		e.metrics.dropped("first_packet")
		return nil, h.Caller, false
	}
	if !redirected && e.redirect(h, id, payload) {
		return nil, h.Caller, false
	}
	return payload, h.Caller, true
}

// ownFlow decides whether a packet with an issued connection ID is for the
// QUIC stack. A short packet of an earlier incarnation is: the stack answers
// it with a stateless reset. QUIC has no reset for long headers.
func (e *edge) ownFlow(id []byte, long bool) bool {
	decoded, err := e.keys.ConnIDCodec().Decode(id, &e.scratch)
	if err != nil {
		e.metrics.dropped("connection_id")
		return false
	}
	if decoded.Service != e.self.service {
		e.metrics.dropped("connection_id_service")
		return false
	}
	// Reset tokens are valid for the whole service, so a reset sent for a
	// misrouted packet would end a connection of another agent.
	if decoded.Agent != e.self.address {
		e.metrics.dropped("connection_id_agent")
		return false
	}
	if decoded.Incarnation == uint16(e.self.incarnation) {
		return true
	}
	if long {
		e.metrics.dropped("incarnation")
		return false
	}
	e.metrics.event("packet_of_earlier_incarnation")
	return true
}

// redirect passes a first packet on to the next candidate if this agent takes
// no new flows. It reports whether it did.
func (e *edge) redirect(h *wire.Header, id, payload []byte) bool {
	to := e.redirects.choose(e.now(), id, func() netip.AddrPort {
		if !e.load.refusesFlows() {
			return netip.AddrPort{}
		}
		return e.nextCandidate(id)
	})
	if !to.IsValid() {
		return false
	}
	e.metrics.event("flow_redirected")
	forward := wire.Header{
		Kind:     wire.Forward,
		Flags:    wire.FlagFirst | wire.FlagRedirected,
		Sequence: h.Sequence,
		Caller:   h.Caller,
	}
	_ = e.send(to, &forward, payload)
	return true
}

// nextCandidate returns the best other agent for a first packet, or the zero
// address if there is none.
func (e *edge) nextCandidate(id []byte) netip.AddrPort {
	var best [1]netip.AddrPort
	ranked := placement.Rank(best[:0], e.self.service, id, e.view().candidates, len(best))
	if len(ranked) == 0 {
		return netip.AddrPort{}
	}
	return ranked[0]
}
