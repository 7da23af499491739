package ownership

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// FromPeer handles a datagram from another process.
func (m *Machine) FromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	m.handlePeerMessage(now, from, msg, out)
	m.admit(now, out)
}

func (m *Machine) handlePeerMessage(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch msg.Kind {
	case relay.Heartbeat:
		m.handleHeartbeat(now, from, msg, out)
		return
	case relay.Owner, relay.NotOwner, relay.MaybeOwner, relay.Waiting, relay.Refused, relay.SurveyResult:
		m.handleAnswer(now, from, msg, out)
		return
	}
	if msg.Service != m.serviceTag {
		out.Event(plane.Event{Kind: plane.EventDropped, Peer: from, Reason: "other_service"})
		return
	}
	switch msg.Kind {
	case relay.HeldQuery:
		m.handleHeldQuery(now, from, msg, out)
		return
	case relay.HeldList:
		m.handleHeldList(now, from, msg, out)
		return
	}
	p, err := m.Codec.FromCaller(msg.Body)
	if err != nil {
		out.Event(plane.Event{Kind: plane.EventDropped, Peer: from, Reason: "malformed"})
		return
	}
	if m.restore.waiting && m.holdMessage(from, &p, msg, out) {
		return
	}
	switch msg.Kind {
	case relay.Open:
		m.handleOpening(now, &p, msg, out)
	case relay.Place:
		m.handlePlaced(now, &p, msg, out)
	case relay.Packet, relay.Redirect:
		m.handlePacket(now, &p, msg, out)
	case relay.Search:
		m.handleSearch(now, from, &p, msg, out)
	case relay.Survey:
		m.handleSurvey(now, from, &p, msg, out)
	case relay.Probe:
		m.handleProbe(now, from, &p, msg, out)
	}
}

// handleHeartbeat stores the load of a peer.
func (m *Machine) handleHeartbeat(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	if msg.Load.Flags&relay.FlagAgent == 0 || msg.Service != m.serviceTag {
		return
	}
	p := m.peer(from)
	p.heard(now, msg.Load)
	p.progress = msg.Progress
	if msg.Load.Flags&relay.FlagSlotFree != 0 {
		m.handleOffer(now, from, out)
	}
}

func (m *Machine) forward(to netip.Addr, kind relay.Kind, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	out.Send(to, relay.Message{Kind: kind, Hops: msg.Hops + 1, Service: m.serviceTag, Origin: msg.Origin, Home: msg.Home, RefusedBy: msg.RefusedBy, Offered: msg.Offered, DeniedServices: msg.DeniedServices, Body: p.Raw})
}

// FromTarget handles a packet from the target.
func (m *Machine) FromTarget(now time.Duration, raw []byte, out *plane.Out) {
	m.targetHeard = true
	m.handleTargetPacket(now, raw, out)
	m.admit(now, out)
}
