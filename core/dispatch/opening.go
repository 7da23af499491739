package dispatch

import (
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

func (m *Machine) open(now time.Duration, p *flow.Packet, out *plane.Out) {
	r, ok := m.view.Route(p.Key.Service())
	if !ok {
		m.refuseRoute(now, p, out)
		return
	}
	service := r.ServiceOf(p.Key.Hash())
	homes := m.homes(now, service, p.Key, m.view.LapsedTargets(now, service))
	if len(homes) == 0 {
		if m.view.ExpectsTargets(now) {
			m.hold(now, p.Raw)
			return
		}
		m.reset(p, "no_target", out)
		return
	}
	delete(m.owners, p.Key)
	if o := m.openings[p.Key]; o != nil && o.waiting {
		// The copy tells the agent how long the caller has waited.
		o.raw = slices.Clone(p.Raw)
		o.next--
		m.sendOpening(now, o, out)
		return
	}
	o := &opening{raw: slices.Clone(p.Raw), service: service, homes: slices.Clone(homes), began: now}
	// A copy says that the first home did not bring about an answer.
	o.next = int(p.Ack) % len(homes)
	m.openings[p.Key] = o
	m.sendOpening(now, o, out)
}

func (m *Machine) sendOpening(now time.Duration, o *opening, out *plane.Out) {
	home := o.homes[o.next%len(o.homes)]
	o.next++
	o.sent = now
	out.Send(home, relay.Message{Kind: relay.Open, Service: relay.ServiceTag(o.service), Origin: m.self, Home: home, Body: o.raw})
}

// refuseRoute answers a caller whose address has no route. A view that may be
// old says nothing, because the route may be new.
func (m *Machine) refuseRoute(now time.Duration, p *flow.Packet, out *plane.Out) {
	if age := m.view.Age(now); age > freshView {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_route_old_view", Value: age.Milliseconds()})
		return
	}
	m.reset(p, "no_route", out)
}

// reset refuses an opening packet. It has reached no target.
func (m *Machine) reset(p *flow.Packet, reason string, out *plane.Out) {
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: m.codec.Reset(p.Key, 0)})
	out.Event(plane.Event{Kind: plane.EventRefused, Flow: p.Key, PacketSeq: p.Seq, Reason: reason, Value: int64(m.view.Version())})
}

// checkOpenings sends opening packets whose owner has not reported to the next
// home.
func (m *Machine) checkOpenings(now time.Duration, out *plane.Out) {
	for key, o := range m.openings {
		if now-o.sent < m.reports.Timeout() || o.waiting && now-o.sent < waitingFor {
			continue
		}
		if o.waiting {
			delete(m.openings, key)
			continue
		}
		failed := o.homes[(o.next-1)%len(o.homes)]
		if m.suspect(now, failed) == 0 {
			out.Event(plane.Event{Kind: plane.EventSuspected, Flow: key, Peer: failed, Reason: "no_owner_reported", Value: (now - o.sent).Milliseconds()})
		}
		m.suspects[failed] = now + suspectFor
		m.reports.TimedOut()
		if o.next >= len(o.homes) {
			delete(m.openings, key)
			continue
		}
		out.Event(plane.Event{Kind: plane.EventNextHome, Flow: key, Peer: o.homes[o.next]})
		m.sendOpening(now, o, out)
	}
}
