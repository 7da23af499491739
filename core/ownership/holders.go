package ownership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// searchable returns the other agents whose targets may hold flows of the
// service: those in the local data centre, and the others by data centre, those
// of listed targets first. A target that is hidden or removed may still run: the
// entry that hides it may be another writer's, and its entry lapses or is withdrawn
// if it cannot reach the platform. An agent that is heard and not in the view
// counts as local, as its data centre is not known.
func (m *Machine) searchable(now time.Duration) (local []netip.Addr, remote map[string][]netip.Addr) {
	remote = map[string][]netip.Addr{}
	seen := map[netip.Addr]bool{m.Self: true}
	for _, t := range m.possibleHolders() {
		a := t.Agent()
		switch {
		case seen[a]:
		case t.DataCentre == m.DataCentre:
			local = append(local, a)
		default:
			remote[t.DataCentre] = append(remote[t.DataCentre], a)
		}
		seen[a] = true
	}
	return append(local, m.unlistedAgents(now, seen)...), remote
}

// possibleHolders returns the targets of the service that the view names or named,
// listed ones first.
func (m *Machine) possibleHolders() []*fleet.Target {
	return slices.Concat(m.View.Targets(m.Service), m.View.HiddenTargets(m.Service), m.View.RemovedTargets(m.Service))
}

// unlistedAgents returns the agents of the service that were heard lately and are
// not in seen, sorted. After a loss of all other VMs no view names a target whose
// entry was removed before, and its agent knows the others.
func (m *Machine) unlistedAgents(now time.Duration, seen map[netip.Addr]bool) (unlisted []netip.Addr) {
	for a, p := range m.peers {
		// An agent that stops while its target is not listed leaves with its target,
		// as after a scale-in. Searches would wait for it until heartbeatTimeout.
		leaving := p.load.Flags&relay.FlagLeaving != 0
		if !seen[a] && p.everHeard && now-p.lastHeard <= heartbeatTimeout && !leaving {
			unlisted = append(unlisted, a)
		}
	}
	slices.SortFunc(unlisted, netip.Addr.Compare)
	return unlisted
}

// listedAgents returns the agents of the service that the view names or named.
func (m *Machine) listedAgents() map[netip.Addr]bool {
	listed := map[netip.Addr]bool{m.Self: true}
	for _, t := range m.possibleHolders() {
		listed[t.Agent()] = true
	}
	return listed
}

// gone reports whether an agent counts as gone with its target: the entry of the
// target was removed, and the agent has not answered for goneTimeout. A target whose
// entry is hidden may run while its agent restarts.
func (m *Machine) gone(now time.Duration, a netip.Addr) bool {
	if m.peer(a).silentFor(now) < goneTimeout {
		return false
	}
	if t := m.View.TargetAt(a); t != nil && t.Service == m.Service {
		return false
	}
	return !slices.ContainsFunc(m.View.HiddenTargets(m.Service), func(t *fleet.Target) bool { return t.Agent() == a })
}

// ask records a question to an agent. It returns whether to send it, and whether
// to wait for the answer: an agent that counts as gone is asked from time to
// time, and nobody waits for it.
func (m *Machine) ask(now time.Duration, a netip.Addr) (send, wait bool) {
	p := m.peer(a)
	wait = !m.gone(now, a)
	send = wait || now-p.lastAsked >= goneRetryInterval
	if send {
		p.asked(now)
	}
	return send, wait
}

// notGone returns the agents that do not count as gone.
func (m *Machine) notGone(now time.Duration, agents []netip.Addr) []netip.Addr {
	return slices.DeleteFunc(slices.Clone(agents), func(a netip.Addr) bool { return m.gone(now, a) })
}

// incompleteReason returns why the view may lack an agent whose target holds
// flows of the service, or an empty string if it does not.
func (m *Machine) incompleteReason(now time.Duration) string {
	switch {
	case !m.View.Usable():
		return "no_view"
	case m.View.Age(now) > maxSearchViewAge:
		return "old_view"
	case !m.View.RemovalsKnown(now):
		return "removals_not_known"
	}
	return ""
}

// unsureReason returns why a round of a search may have left out an agent, or an
// empty string. A round that began without a sufficient view asked too few
// agents, even if the view is sufficient by now.
func (m *Machine) unsureReason(now time.Duration, s *search) string {
	return cmp.Or(s.incomplete, m.incompleteReason(now))
}

// latestPeerProgress returns the latest progress that a peer has told of lately.
func (m *Machine) latestPeerProgress(now time.Duration) (latest fleet.Progress) {
	for _, p := range m.peers {
		if p.everHeard && now-p.lastHeard <= heartbeatTimeout && p.progress.AheadOf(latest) {
			latest = p.progress
		}
	}
	return latest
}

// allDenied reports whether every agent that may hold the flow by the present
// view has denied it. A target may have been listed or removed since the round
// began.
func (m *Machine) allDenied(now time.Duration, s *search) bool {
	surveyed := m.currentSurveys(s)
	for _, t := range m.possibleHolders() {
		if a := t.Agent(); a != m.Self && !s.hasDenied(t, surveyed) && !m.gone(now, a) {
			return false
		}
	}
	return !slices.ContainsFunc(m.unlistedAgents(now, m.listedAgents()), func(a netip.Addr) bool { return !s.denied[a] })
}

// currentSurveys returns the data centres in which a survey has denied the flow
// and which the view lists as they were then.
func (m *Machine) currentSurveys(s *search) map[string]bool {
	current := make(map[string]bool, len(s.deniedRosters))
	for dataCentre, roster := range s.deniedRosters {
		current[dataCentre] = roster == m.View.Roster(m.Service, dataCentre)
	}
	return current
}

// conclude ends a search in which no agent that was asked holds the flow. It
// resets the flow only if every agent that may hold it was asked. Otherwise the
// search goes on.
func (m *Machine) conclude(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	reason := m.unsureReason(now, s)
	s.behindPeer = false
	switch {
	case reason != "":
	case s.peersKnow.AheadOf(m.View.Progress()):
		reason, s.behindPeer = "peer_ahead", true
	case !m.allDenied(now, s):
		reason = "not_asked"
	}
	if reason != "" {
		out.Event(plane.Event{Kind: plane.EventUnresolved, Flow: key, Reason: reason, Value: int64(s.retries), Search: m.searchBasis(now, s)})
		return
	}
	m.resetUnowned(now, s, out)
}
