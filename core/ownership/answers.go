package ownership

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// handleAnswer handles a message in which another agent reports about a flow.
func (m *Machine) handleAnswer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	if msg.Service != m.serviceTag {
		return
	}
	p := m.peer(from)
	p.heard(now, msg.Load)
	m.recordSurveyAnswer(from, msg, out)
	s := m.searches[msg.Flow]
	isReport := msg.Kind == relay.Owner || msg.Kind == relay.Waiting || msg.Kind == relay.Refused
	if pl := m.placements[msg.Flow]; pl != nil && isReport {
		m.reportTimes.Observe(now - pl.sentAt)
	}
	switch {
	case msg.Kind == relay.Waiting, msg.Kind == relay.Refused:
		m.handlePlacementAnswer(from, msg, p)
	case msg.Kind == relay.Owner:
		m.handleOwner(now, from, msg, p, s, out)
	case s == nil:
	case s.probing[from] && msg.Kind == relay.NotOwner:
		s.denied[from] = true
		m.handleProbeDenied(now, from, msg.Flow, s, out)
	default:
		m.handleSearchAnswer(now, from, msg, s, out)
	}
}

// handleSearchAnswer handles an answer to a search. An agent answers for itself
// or, if it was sent a survey, for its data centre. An answer that comes after
// the end of its round counts in the next one.
func (m *Machine) handleSearchAnswer(now time.Duration, from netip.Addr, msg *relay.Message, s *search, out *plane.Out) {
	asked, ok := s.asked[from]
	forSurvey := asked != searchScope{}
	if !ok || forSurvey && msg.Kind == relay.NotOwner || !forSurvey && msg.Kind == relay.SurveyResult {
		return
	}
	delete(s.asked, from)
	s.countReportedProbes(now, from, msg)
	switch {
	case forSurvey && msg.Kind == relay.MaybeOwner:
		m.handleDeclinedSurvey(now, from, asked, s, out)
	case msg.Kind == relay.NotOwner:
		s.denied[from] = true
	case msg.Kind == relay.MaybeOwner:
		s.maybeOwners = append(s.maybeOwners, from)
	default:
		m.handleSurveyResult(now, asked, msg, s, out)
	}
	m.advanceSearch(now, msg.Flow, s, out)
}

// handlePlacementAnswer handles the report that a flow placed by this agent is
// queued or was refused.
func (m *Machine) handlePlacementAnswer(from netip.Addr, msg *relay.Message, p *peer) {
	p.suspectUntil = 0
	m.endPlacement(msg.Flow)
	switch r := m.records[msg.Flow]; {
	case r == nil || r.confirmed:
	case msg.Kind == relay.Waiting:
		r.owner, r.waiting = from, true
	default:
		delete(m.records, msg.Flow)
	}
}

// handleOwner records the owner of a flow that this agent placed or searched
// for.
func (m *Machine) handleOwner(now time.Duration, from netip.Addr, msg *relay.Message, p *peer, s *search, out *plane.Out) {
	p.suspectUntil = 0
	m.endPlacement(msg.Flow)
	if r := m.records[msg.Flow]; r != nil {
		r.owner, r.confirmed, r.lastSeen = from, true, now
	} else if len(m.records) < maxFlows {
		m.records[msg.Flow] = &record{owner: from, confirmed: true, lastSeen: now}
	}
	if s != nil {
		s.done, s.found = true, true
		clear(s.probing)
		m.excuseSurveyors(s)
		out.Event(plane.Event{Kind: plane.EventFound, Flow: msg.Flow, Peer: from})
	}
}

// excuseSurveyors takes back the questions to the agents that were sent a survey,
// because they do not answer once the owner has.
func (m *Machine) excuseSurveyors(s *search) {
	for a, asked := range s.asked {
		if asked != (searchScope{}) {
			m.peer(a).unanswered = false
		}
	}
}
