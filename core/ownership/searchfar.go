package ownership

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// surveyedFor is the data centre that an agent was asked about. It is the zero
// value if the agent was asked for itself.
type surveyedFor struct {
	dataCentre string
	roster     uint64
}

// beginFar asks the other data centres: each agent where there are few, and one
// for all where there are many.
func (m *Machine) beginFar(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	s.began, s.far = now, true
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	_, far := m.searchable(now)
	for _, dataCentre := range slices.Sorted(maps.Keys(far)) {
		agents := far[dataCentre]
		if len(agents) <= directMost {
			m.askAll(agents, &p, &relay.Message{Origin: s.origin}, s, out)
			continue
		}
		m.survey(dataCentre, agents, &p, s, out)
	}
}

// survey asks an agent about its data centre, each time another one.
func (m *Machine) survey(dataCentre string, agents []netip.Addr, p *flow.Packet, s *search, out *plane.Out) {
	roster := m.View.Roster(m.Service, dataCentre)
	if denied, ok := s.deniedBy[dataCentre]; ok && denied == roster {
		if doubt := s.inDoubt(dataCentre); len(doubt) <= directMost {
			m.askAll(doubt, p, &relay.Message{Origin: s.origin}, s, out)
			return
		}
	}
	hash := p.Key.Hash()
	slices.SortFunc(agents, func(a, b netip.Addr) int { return cmp.Compare(fleet.Score(hash, b), fleet.Score(hash, a)) })
	a := agents[s.surveys%len(agents)]
	s.surveys++
	s.asked[a] = surveyedFor{dataCentre, roster}
	out.Send(a, relay.Message{Kind: relay.Survey, Hops: 1, Service: m.tag, Origin: s.origin, Home: m.Self, Revision: m.View.Revision(),
		Roster: roster, Body: p.Raw})
}

// inDoubt returns the agents of a data centre for which nobody could speak and
// that have not denied since.
func (s *search) inDoubt(dataCentre string) (agents []netip.Addr) {
	for _, a := range slices.SortedFunc(maps.Keys(s.doubt), netip.Addr.Compare) {
		if s.doubt[a] == dataCentre && !s.denied[a] {
			agents = append(agents, a)
		}
	}
	return agents
}

// surveyDeclined asks another agent about a data centre. After a few have
// declined the round stays incomplete.
func (m *Machine) surveyDeclined(now time.Duration, from netip.Addr, asked surveyedFor, s *search, out *plane.Out) {
	p, err := m.Codec.FromCaller(s.raw)
	if s.declined++; err != nil || s.done || s.declined > maxDeclined {
		s.asked[from] = asked
		return
	}
	if _, far := m.searchable(now); len(far[asked.dataCentre]) > 0 {
		m.survey(asked.dataCentre, far[asked.dataCentre], &p, s, out)
	}
}

// surveyEnded takes the answer for a data centre. If few agents were silent
// there, they are asked once more, from here; with many the round stays
// incomplete.
func (m *Machine) surveyEnded(asked surveyedFor, msg *relay.Message, s *search, out *plane.Out) {
	s.deniedBy[asked.dataCentre] = asked.roster
	for _, a := range slices.Concat(msg.MaybeOwners, msg.Unanswered) {
		s.doubt[a] = asked.dataCentre
	}
	s.unsure = append(s.unsure, msg.MaybeOwners...)
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	if len(msg.Unanswered) <= directMost {
		m.askAll(msg.Unanswered, &p, &relay.Message{Origin: s.origin}, s, out)
		return
	}
	for _, a := range msg.Unanswered {
		s.asked[a] = surveyedFor{}
	}
}
