package dispatch

import (
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

func (m *Machine) handleOpening(now time.Duration, p *flow.Packet, out *plane.Out) {
	r, ok := m.view.Route(p.Key.Service())
	if !ok {
		m.refuseUnknownRoute(now, p, out)
		return
	}
	service := r.ServiceOf(p.Key.Hash())
	if reason := m.withheldReason(now, p.Key.Service(), service); reason != "" && m.openings[p.Key] == nil && m.owners[p.Key] == nil {
		m.refuseWithoutTarget(p, reason, out)
		return
	}
	homes := m.openingHomes(now, service, p.Key)
	if len(homes) == 0 {
		if m.view.ExpectsTargets(now) {
			m.hold(now, p.Raw)
			return
		}
		m.refuseWithoutTarget(p, "no_target", out)
		return
	}
	delete(m.owners, p.Key)
	if o := m.openings[p.Key]; o != nil && o.waiting {
		// The copy tells the agent how long the caller has waited.
		o.raw = slices.Clone(p.Raw)
		o.nextHome--
		m.sendOpening(now, o, out)
		return
	}
	o := &opening{raw: slices.Clone(p.Raw), service: service, homes: slices.Clone(homes), receivedAt: now}
	// The caller sends a copy if it got no answer through the first home, so
	// each copy starts with the next home.
	o.nextHome = int(p.Ack) % len(homes)
	m.openings[p.Key] = o
	m.sendOpening(now, o, out)
}

func (m *Machine) sendOpening(now time.Duration, o *opening, out *plane.Out) {
	home := o.homes[o.nextHome%len(o.homes)]
	o.nextHome++
	o.sentAt = now
	out.Send(home, relay.Message{Kind: relay.Open, Service: relay.ServiceTag(o.service), Origin: m.self, Home: home, RefusedBy: o.failedHome, Offered: o.failedHome.IsValid(), Body: o.raw})
}

// refuseUnknownRoute refuses an opening packet for an address without a route.
// If the view may be out of date, the packet is dropped without an answer,
// because the route may be new.
func (m *Machine) refuseUnknownRoute(now time.Duration, p *flow.Packet, out *plane.Out) {
	if age := m.view.Age(now); age > maxFreshAge {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_route_old_view", Value: age.Milliseconds()})
		return
	}
	if p.Ack > 0 {
		// The route may have existed when the first packet came.
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "copy_no_route", Value: int64(m.view.Version())})
		return
	}
	m.refuse(p, "no_route", out)
}

// refuseWithoutTarget refuses an opening packet for a service without targets that
// may get a new flow. A copy is dropped without an answer, because an earlier copy
// may have reached a target of the service that the route had then.
func (m *Machine) refuseWithoutTarget(p *flow.Packet, reason string, out *plane.Out) {
	if p.Ack > 0 {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "copy_" + reason, Value: int64(m.view.Version())})
		return
	}
	m.refuse(p, reason, out)
}

// refuse answers an opening packet with a reset. The packet has reached no
// target.
func (m *Machine) refuse(p *flow.Packet, reason string, out *plane.Out) {
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: m.codec.Reset(p.Key, 0)})
	out.Event(plane.Event{Kind: plane.EventRefused, Flow: p.Key, PacketSeq: p.Seq, Reason: reason, Value: int64(m.view.Version())})
}

// checkOpenings sends the opening packets whose owner has not reported in time
// to the next home.
func (m *Machine) checkOpenings(now time.Duration, out *plane.Out) {
	for key, o := range m.openings {
		if now-o.sentAt < m.reportTimes.Timeout() || o.waiting && now-o.sentAt < waitingTimeout {
			continue
		}
		if o.waiting {
			delete(m.openings, key)
			continue
		}
		failed := o.homes[(o.nextHome-1)%len(o.homes)]
		if m.suspectRank(now, failed) == 0 {
			out.Event(plane.Event{Kind: plane.EventSuspected, Flow: key, Peer: failed, Reason: "no_owner_reported", Value: (now - o.sentAt).Milliseconds()})
		}
		m.suspects[failed] = now + suspectDuration
		o.failedHome = failed
		m.reportTimes.TimedOut()
		if o.nextHome >= len(o.homes) {
			delete(m.openings, key)
			continue
		}
		out.Event(plane.Event{Kind: plane.EventNextHome, Flow: key, Peer: o.homes[o.nextHome]})
		m.sendOpening(now, o, out)
	}
}
