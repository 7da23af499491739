package ownership

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// answered takes what another agent says about a flow.
func (m *Machine) answered(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	if msg.Service != m.tag {
		return
	}
	p := m.peer(from)
	p.load, p.heard, p.everHeard = msg.Load, now, true
	m.surveyAnswered(from, msg, out)
	s := m.search[msg.Flow]
	if pl := m.placing[msg.Flow]; pl != nil {
		m.reports.Observe(now - pl.sent)
	}
	switch {
	case msg.Kind == relay.Waiting, msg.Kind == relay.Refused:
		m.placedWord(from, msg, p)
	case msg.Kind == relay.Owner:
		m.ownerFound(now, from, msg, p, s, out)
	case s == nil:
	case s.probing[from] && msg.Kind == relay.NotOwner:
		s.denied[from] = true
		m.probeFailed(from, msg.Flow, s, out)
	default:
		m.searchAnswered(now, from, msg, s, out)
	}
}

// searchAnswered takes an answer to a search, of an agent for itself or for its
// data centre. One that comes after the end of a round counts in the next.
func (m *Machine) searchAnswered(now time.Duration, from netip.Addr, msg *relay.Message, s *search, out *plane.Out) {
	asked, ok := s.asked[from]
	forAll := asked != surveyedFor{}
	if !ok || forAll && msg.Kind == relay.NotOwner || !forAll && msg.Kind == relay.SurveyResult {
		return
	}
	delete(s.asked, from)
	switch {
	case forAll && msg.Kind == relay.MaybeOwner:
		m.surveyDeclined(now, from, asked, s, out)
	case msg.Kind == relay.NotOwner:
		s.denied[from] = true
	case msg.Kind == relay.MaybeOwner:
		s.unsure = append(s.unsure, from)
	default:
		m.surveyEnded(asked, msg, s, out)
	}
	m.endSearch(now, msg.Flow, s, out)
}

// placedWord takes word of a flow that this agent placed and that is not open.
func (m *Machine) placedWord(from netip.Addr, msg *relay.Message, p *peer) {
	p.suspect = 0
	m.unplace(msg.Flow)
	switch r := m.records[msg.Flow]; {
	case r == nil || r.confirmed:
	case msg.Kind == relay.Waiting:
		r.owner, r.waiting = from, true
	default:
		delete(m.records, msg.Flow)
	}
}

// ownerFound notes the owner of a flow, placed or searched for.
func (m *Machine) ownerFound(now time.Duration, from netip.Addr, msg *relay.Message, p *peer, s *search, out *plane.Out) {
	p.suspect = 0
	m.unplace(msg.Flow)
	if r := m.records[msg.Flow]; r != nil {
		r.owner, r.confirmed, r.seen = from, true, now
	} else if len(m.records) < maxFlows {
		m.records[msg.Flow] = &record{owner: from, confirmed: true, seen: now}
	}
	if s != nil {
		s.done, s.found = true, true
		clear(s.probing)
		out.Event(plane.Event{Kind: plane.EventFound, Flow: msg.Flow, Peer: from})
	}
}
