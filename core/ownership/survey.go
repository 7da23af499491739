package ownership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// survey is a search of the local data centre on behalf of an agent in another
// one. Between the data centres it takes one request and one answer, however
// many agents the service has.
type survey struct {
	startedAt time.Duration
	asker     netip.Addr
	// asked holds the agents that have not answered. maybeOwners are those
	// whose target may hold the flow.
	asked       map[netip.Addr]bool
	maybeOwners []netip.Addr
	// probes is the number of recent probes of the flow that the agents have
	// reported.
	probes int
}

// handleSurvey searches the local data centre for the owner of a flow. The owner
// answers the asker itself. An agent that may not know all agents that the
// asker knows cannot answer for the data centre, so it declines. So does one that
// does not know yet which flows its own target holds.
func (m *Machine) handleSurvey(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.matches(p) {
		m.deliver(now, f, p, out)
		m.reportOwner(f, msg.Origin, p.Key, out)
		m.reportOwner(f, from, p.Key, out)
		return
	}
	outdated := msg.Progress.LaterThan(m.View.Progress()) && msg.Roster != m.View.Roster(m.Service, m.DataCentre)
	if outdated || m.restore.waiting || m.incompleteReason(now) != "" || len(m.surveys) >= maxSurveys {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Peer: from, Reason: "survey_not_possible"})
		out.Send(from, relay.Message{Kind: relay.MaybeOwner, Service: m.serviceTag, Flow: p.Key, Load: m.Load(), Origin: msg.Origin})
		return
	}
	s := &survey{startedAt: now, asker: from, asked: map[netip.Addr]bool{}, probes: m.ownTargetProbes(now, p.Key)}
	if m.mayHold(now, p.Key) {
		m.recordDoubt(now, p.Key)
		s.maybeOwners = append(s.maybeOwners, m.Self)
	}
	local, _ := m.searchable(now)
	for _, a := range local {
		send, wait := m.ask(now, a)
		if wait {
			s.asked[a] = true
		}
		if !send {
			continue
		}
		m.forward(a, relay.Search, p, &relay.Message{Origin: msg.Origin, Home: from, Hops: msg.Hops}, out)
	}
	m.surveys[p.Key] = append(slices.DeleteFunc(m.surveys[p.Key], func(o *survey) bool { return o.asker == from }), s)
	m.endSurveys(p.Key, out)
}

// recordSurveyAnswer records the answer of an agent of the local data centre. Other
// messages about the flow, such as that it waits or was refused at the agent, do not
// say whether its target holds the flow.
func (m *Machine) recordSurveyAnswer(from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch {
	case len(m.surveys[msg.Flow]) == 0:
		return
	case msg.Kind == relay.Owner:
		delete(m.surveys, msg.Flow)
		return
	case msg.Kind != relay.NotOwner && msg.Kind != relay.MaybeOwner:
		return
	}
	for _, s := range m.surveys[msg.Flow] {
		if !s.asked[from] {
			continue
		}
		if msg.Kind == relay.MaybeOwner {
			s.maybeOwners = append(s.maybeOwners, from)
		}
		s.probes += int(msg.Probes)
		delete(s.asked, from)
	}
	m.endSurveys(msg.Flow, out)
}

// endSurveys answers the surveys of a flow that are complete.
func (m *Machine) endSurveys(key flow.Key, out *plane.Out) {
	left := slices.DeleteFunc(m.surveys[key], func(s *survey) bool {
		if len(s.asked) > 0 {
			return false
		}
		m.endSurvey(key, s, out)
		return true
	})
	m.setSurveys(key, left)
}

// endSurvey answers a survey. It lists the agents that have not answered, so
// that the asker can ask them. If a list is longer than an answer can carry,
// there is no answer.
func (m *Machine) endSurvey(key flow.Key, s *survey, out *plane.Out) {
	unanswered := slices.SortedFunc(maps.Keys(s.asked), netip.Addr.Compare)
	if max(len(s.maybeOwners), len(unanswered)) > relay.MaxListedAgents {
		return
	}
	out.Send(s.asker, relay.Message{Kind: relay.SurveyResult, Service: m.serviceTag, Flow: key, Load: m.Load(), Probes: probesOnWire(s.probes),
		MaybeOwners: s.maybeOwners, Unanswered: unanswered})
}

func (m *Machine) setSurveys(key flow.Key, left []*survey) {
	if len(left) == 0 {
		delete(m.surveys, key)
		return
	}
	m.surveys[key] = left
}

// checkSurveys ends surveys that some agent has not answered in time.
func (m *Machine) checkSurveys(now time.Duration, out *plane.Out) {
	for key, surveys := range m.surveys {
		m.setSurveys(key, slices.DeleteFunc(surveys, func(s *survey) bool {
			late := now-s.startedAt >= searchTimeout
			if late {
				m.endSurvey(key, s, out)
			}
			return late
		}))
	}
}
