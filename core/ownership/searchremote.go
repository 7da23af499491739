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

// searchScope is the data centre for which an agent was asked, with its roster.
// It is zero if the agent was asked only for itself.
type searchScope struct {
	dataCentre string
	roster     uint64
}

// searchRemote asks the other data centres: each agent where there are few, and
// one agent by a survey where there are many.
func (m *Machine) searchRemote(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	s.roundStart, s.remote = now, true
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	_, remote := m.searchable(now)
	for _, dataCentre := range slices.Sorted(maps.Keys(remote)) {
		agents := remote[dataCentre]
		if surveyable := m.notGone(now, agents); len(surveyable) > m.maxDirectSearches() {
			m.sendSurvey(now, dataCentre, surveyable, &p, s, out)
			continue
		}
		m.sendSearches(now, agents, &p, &relay.Message{Origin: s.origin}, s, out)
	}
}

// maxDirectSearches is the number of agents of another data centre up to which a
// search asks each of them. If no process knew which entries were removed before a
// loss of all VMs, the agents of the data centre may hear one that no view names.
func (m *Machine) maxDirectSearches() int {
	if m.View.RemovalsSettled() {
		return 0
	}
	return maxDirectSearches
}

// sendSurvey asks an agent to search its data centre. Each survey of a search
// goes to another agent.
func (m *Machine) sendSurvey(now time.Duration, dataCentre string, agents []netip.Addr, p *flow.Packet, s *search, out *plane.Out) {
	roster := m.View.Roster(m.Service, dataCentre)
	if denied, ok := s.deniedRosters[dataCentre]; ok && denied == roster {
		if unresolved := s.unresolvedIn(dataCentre); len(unresolved) <= maxDirectSearches {
			m.sendSearches(now, unresolved, p, &relay.Message{Origin: s.origin}, s, out)
			return
		}
	}
	a := m.surveyor(p.Key, agents, s)
	s.surveysSent++
	s.asked[a] = searchScope{dataCentre, roster}
	m.peer(a).asked(now)
	out.Send(a, relay.Message{Kind: relay.Survey, Hops: 1, Service: m.serviceTag, Origin: s.origin, Home: m.Self, Progress: m.View.Progress(),
		Roster: roster, Body: p.Raw})
}

// surveyor returns the agent that gets the next survey of a search, one of a
// listed target if there is any.
func (m *Machine) surveyor(key flow.Key, agents []netip.Addr, s *search) netip.Addr {
	candidates := slices.DeleteFunc(slices.Clone(agents), func(a netip.Addr) bool { return m.View.TargetAt(a) == nil })
	if len(candidates) == 0 {
		candidates = slices.Clone(agents)
	}
	hash := key.Hash()
	slices.SortFunc(candidates, func(a, b netip.Addr) int { return cmp.Compare(fleet.Score(hash, b), fleet.Score(hash, a)) })
	return candidates[s.surveysSent%len(candidates)]
}

// unresolvedIn returns the agents of a data centre that a survey left
// unresolved and that have not denied the flow since.
func (s *search) unresolvedIn(dataCentre string) (agents []netip.Addr) {
	for _, a := range slices.SortedFunc(maps.Keys(s.unresolved), netip.Addr.Compare) {
		if s.unresolved[a] == dataCentre && !s.denied[a] {
			agents = append(agents, a)
		}
	}
	return agents
}

// handleDeclinedSurvey sends the survey to another agent. After more than
// maxDeclinedSurveys the round stays incomplete.
func (m *Machine) handleDeclinedSurvey(now time.Duration, from netip.Addr, asked searchScope, s *search, out *plane.Out) {
	p, err := m.Codec.FromCaller(s.raw)
	if s.declinedSurveys++; err != nil || s.done || s.declinedSurveys > maxDeclinedSurveys {
		s.asked[from] = asked
		return
	}
	_, remote := m.searchable(now)
	agents := m.notGone(now, remote[asked.dataCentre])
	if len(agents) == 0 {
		// The view has lost the agents of the data centre since the survey.
		s.asked[from] = asked
		return
	}
	m.sendSurvey(now, asked.dataCentre, agents, &p, s, out)
}

// handleSurveyResult handles the answer for a data centre. If few agents there
// did not answer the survey, this agent asks them directly. If there are many,
// the round stays incomplete.
func (m *Machine) handleSurveyResult(now time.Duration, asked searchScope, msg *relay.Message, s *search, out *plane.Out) {
	s.deniedRosters[asked.dataCentre] = asked.roster
	// An agent that an earlier survey left unresolved and this one does not list
	// has denied the flow now. That counts only if its target is fresh: if its
	// doubt has merely run out, its target may hold the flow.
	maps.DeleteFunc(s.unresolved, func(a netip.Addr, dataCentre string) bool {
		return dataCentre == asked.dataCentre && m.peer(a).isFresh(now)
	})
	for _, a := range slices.Concat(msg.MaybeOwners, msg.Unanswered) {
		s.unresolved[a] = asked.dataCentre
	}
	s.maybeOwners = append(s.maybeOwners, msg.MaybeOwners...)
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	if len(msg.Unanswered) <= maxDirectSearches {
		m.sendSearches(now, msg.Unanswered, &p, &relay.Message{Origin: s.origin}, s, out)
		return
	}
	for _, a := range m.notGone(now, msg.Unanswered) {
		s.asked[a] = searchScope{}
	}
}
