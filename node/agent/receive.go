package agent

import (
	"net/netip"

	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
)

// receive handles one datagram. If the datagram carries a QUIC packet for this
// agent, receive returns the packet, which is a part of datagram, and the
// caller's address.
func (c *packetConn) receive(datagram []byte, from netip.AddrPort) (packet []byte, caller netip.AddrPort, ok bool) {
	var h wire.Header
	if reason := c.verify(datagram, &h); reason != "" {
		c.metrics.dropped(reason)
		return nil, caller, false
	}
	payload := datagram[wire.HeaderLen:]
	switch h.Kind {
	case wire.Forward:
		return c.receiveForward(&h, payload, from)
	case wire.Ping:
		c.recordBalancer(&h, from)
		c.sendPong(&h, from)
	case wire.Pong:
		c.recordBalancer(&h, from)
	case wire.Control:
		c.receiveControl(payload, from)
	default:
		c.metrics.dropped("kind")
	}
	return nil, caller, false
}

// verify authenticates a datagram and decodes its header. It returns the reason
// to drop the datagram, or an empty string.
func (c *packetConn) verify(datagram []byte, h *wire.Header) string {
	switch err := c.keys.WireCodec().Open(datagram, h); err {
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
	if h.Service != c.self.service {
		return "service"
	}
	return ""
}

func (c *packetConn) recordBalancer(h *wire.Header, from netip.AddrPort) {
	c.balancers.recordHeard(c.now(), from, h.Flags&wire.FlagLeaving != 0)
}

func (c *packetConn) sendPong(h *wire.Header, to netip.AddrPort) {
	_ = c.send(to, &wire.Header{Kind: wire.Pong, Sequence: h.Sequence}, nil)
}

func (c *packetConn) receiveControl(payload []byte, from netip.AddrPort) {
	peer, ok := c.view().peerAt(from)
	if !ok {
		c.metrics.dropped("control_unknown_peer")
		return
	}
	c.control(peer, payload)
}

// receiveForward handles a caller's packet. The sender is a balancer, or an
// agent if the packet was redirected.
func (c *packetConn) receiveForward(h *wire.Header, payload []byte, from netip.AddrPort) ([]byte, netip.AddrPort, bool) {
	redirected := h.Flags&wire.FlagRedirected != 0
	if !redirected {
		c.recordBalancer(h, from)
		if h.Flags&wire.FlagEcho != 0 {
			c.sendPong(h, from)
		}
	}
	if !h.Caller.IsValid() || h.Caller.Port() == 0 {
		c.metrics.dropped("caller")
		return nil, h.Caller, false
	}
	id, long, ok := destinationID(payload)
	if !ok {
		c.metrics.dropped("packet")
		return nil, h.Caller, false
	}
	if h.Flags&wire.FlagFirst == 0 {
		return payload, h.Caller, c.acceptsIssuedID(id, long)
	}
	if !long {
		c.metrics.dropped("first_packet")
		return nil, h.Caller, false
	}
	if !redirected && c.redirect(h, id, payload) {
		return nil, h.Caller, false
	}
	return payload, h.Caller, true
}

// acceptsIssuedID reports whether a packet with an issued connection ID goes to
// the QUIC stack. A short-header packet of an earlier incarnation does, because
// the stack answers it with a stateless reset. QUIC has no reset for long
// headers.
func (c *packetConn) acceptsIssuedID(id []byte, long bool) bool {
	decoded, err := c.keys.ConnIDCodec().Decode(id, &c.scratch)
	if err != nil {
		c.metrics.dropped("connection_id")
		return false
	}
	if decoded.Service != c.self.service {
		c.metrics.dropped("connection_id_service")
		return false
	}
	// Reset tokens are valid for the whole service, so a reset in response to
	// a misrouted packet would end a connection of another agent.
	if decoded.Agent != c.self.address {
		c.metrics.dropped("connection_id_agent")
		return false
	}
	if decoded.Incarnation == uint16(c.self.incarnation) {
		return true
	}
	if long {
		c.metrics.dropped("incarnation")
		return false
	}
	c.metrics.event("packet_of_earlier_incarnation")
	return true
}

// redirect forwards a first packet to the next candidate if this agent takes no
// new flows. It reports whether it did.
func (c *packetConn) redirect(h *wire.Header, id, payload []byte) bool {
	to := c.redirects.choose(c.now(), id, func() netip.AddrPort {
		if !c.load.refusesNewFlows() {
			return netip.AddrPort{}
		}
		return c.nextCandidate(id)
	})
	if !to.IsValid() {
		return false
	}
	c.metrics.event("flow_redirected")
	forward := wire.Header{
		Kind:     wire.Forward,
		Flags:    wire.FlagFirst | wire.FlagRedirected,
		Sequence: h.Sequence,
		Caller:   h.Caller,
	}
	_ = c.send(to, &forward, payload)
	return true
}

// nextCandidate returns the highest-ranked other agent for a first packet, or
// the zero address if there is none.
func (c *packetConn) nextCandidate(id []byte) netip.AddrPort {
	var best [1]netip.AddrPort
	ranked := placement.Rank(best[:0], c.self.service, id, c.view().candidates, len(best))
	if len(ranked) == 0 {
		return netip.AddrPort{}
	}
	return ranked[0]
}
