package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// search looks for the owner of a flow in rounds. A round first asks the agents
// in the local data centre and then the other data centres.
type search struct {
	// roundStart is when the last round began, or its second part.
	roundStart time.Duration
	// raw is the packet whose owner is wanted, origin the balancer that
	// received it.
	raw    []byte
	origin netip.Addr
	// deniedServices has the tags of the services that were searched for the
	// flow before this one.
	deniedServices []uint64
	// otherServices says that another service of the address may hold the flow.
	// deferred says that the search waits with probes for the result of that
	// service, since deferredAt. cleared says that the other service has answered
	// that none of its agents knows that it holds the flow. waiter is the agent of
	// another service that waits for the result of this search, if there is one.
	otherServices, deferred, cleared bool
	deferredAt                       time.Duration
	waiter                           netip.Addr
	// retries counts the rounds that the agent began without a packet of the
	// caller, surveysSent the surveys, and declinedSurveys the surveys of this
	// round that the asked agent declined. remote says that the round has asked
	// the other data centres.
	retries, surveysSent, declinedSurveys int
	remote                                bool
	// denied holds the agents that do not own the flow. deniedRosters has, by
	// data centre, the roster digest with which a survey found no owner, except
	// perhaps among the agents in unresolved. unresolved maps those agents to
	// their data centre. These results do not change later, so a further round
	// asks only the other agents.
	denied        map[netip.Addr]bool
	deniedRosters map[string]uint64
	unresolved    map[netip.Addr]string
	// asked holds the agents that have not answered, with the scope of the
	// request. maybeOwners are the agents whose target may hold the flow. probing
	// holds those that are probing their target.
	asked       map[netip.Addr]searchScope
	maybeOwners []netip.Addr
	probing     map[netip.Addr]bool
	// done says that the round is over, found says that the owner is known.
	// allAnswered says that all agents that may own the flow have answered.
	done, found, allAnswered bool
	// incomplete is why the round may not ask every agent that may own the flow,
	// or an empty string. peersKnow is the latest progress that a peer had told of
	// when it began.
	incomplete string
	peersKnow  fleet.Progress
	// behindPeer says that all agents have denied the flow, and the view has to
	// catch up with peersKnow before the search can end.
	behindPeer bool
	// noOwner says that all agents have answered and no target holds the flow.
	// It applies to packets with the acknowledgement ack.
	noOwner bool
	ack     uint32
	// prober is the agent for which the local target was probed, with a packet
	// that the balancer origin received.
	prober netip.Addr
	// probes has the probes of the flow that this agent has sent or that were
	// reported to it, by the agent that got or reported them. ownTargetProbes
	// has those at the local target.
	probes          map[netip.Addr]probeTimes
	ownTargetProbes probeTimes
	// lastProbes has the last probe that this agent has sent to each agent.
	lastProbes map[netip.Addr]sentProbe
	// onlySelfAsked says that only the local target has been probed so far.
	onlySelfAsked bool
	// batched says that the search waits for the lists of the flows that targets
	// hold.
	batched bool
	// selfDenied says that the local target does not hold the flow.
	selfDenied bool
	// doubted says that this agent has told another one, last at doubtedAt, that
	// the local target may hold the flow.
	doubted   bool
	doubtedAt time.Duration
}

// handleUnknown handles a packet of a flow whose owner this agent does not
// know.
func (m *Machine) handleUnknown(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if p.Reset {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "unknown_flow"})
		return
	}
	s := m.searches[p.Key]
	if s != nil && !s.done {
		// The search is running. The caller will send the packet again.
		if msg.Kind == relay.Redirect && p.Ack == s.ack {
			s.deniedServices, s.cleared = msg.DeniedServices, s.cleared || msg.Hops >= clearedHops
		}
		return
	}
	if s != nil && s.noOwner && s.ack == p.Ack {
		s.origin, s.deniedServices = msg.Origin, msg.DeniedServices
		m.resetSearched(now, p, s, out)
		return
	}
	if s == nil {
		s = &search{}
		m.searches[p.Key] = s
	}
	s.deniedServices = msg.DeniedServices
	s.noteRedirect(msg)
	if !msg.Home.IsValid() && m.mayHold(now, p.Key) {
		switch {
		case s.probeCount(now) < probeBudget:
			m.probeSelf(now, p, msg, s, out)
			return
		case s.onlySelfAsked:
			return
		}
	}
	m.searchAll(now, p, msg, s, out)
}

// searchAll asks all agents of the service for a flow, by itself or together with
// others.
func (m *Machine) searchAll(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	if m.batchable(now, p.Key) {
		m.batch(now, p, msg, s, out)
		return
	}
	m.beginRound(now, p, msg, s, out)
}

// begin resets what the search knows of its last round, and of the agents' answers
// if they were about another flow.
func (s *search) begin(now time.Duration, p *flow.Packet, msg *relay.Message) {
	s.roundStart, s.raw, s.origin, s.done = now, slices.Clone(p.Raw), msg.Origin, false
	s.asked, s.probing, s.maybeOwners = map[netip.Addr]searchScope{}, map[netip.Addr]bool{}, s.maybeOwners[:0]
	if s.denied == nil || s.ack != p.Ack {
		s.denied, s.deniedRosters, s.unresolved, s.retries = map[netip.Addr]bool{}, map[string]uint64{}, map[netip.Addr]string{}, 0
	}
	s.remote, s.found, s.allAnswered, s.noOwner, s.ack, s.declinedSurveys = false, false, false, false, p.Ack, 0
}

// beginRound asks the other agents of the service in the local data centre.
func (m *Machine) beginRound(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	s.begin(now, p, msg)
	s.incomplete, s.peersKnow, s.behindPeer = m.incompleteReason(now), m.latestPeerProgress(now), false
	local, _ := m.searchable(now)
	m.sendSearches(now, local, p, msg, s, out)
	if m.mayHold(now, p.Key) {
		s.maybeOwners = append(s.maybeOwners, m.Self)
	}
	out.Event(plane.Event{Kind: plane.EventSearched, Flow: p.Key, PacketSeq: p.Seq, Value: int64(len(s.asked))})
	m.advanceSearch(now, p.Key, s, out)
}

func (m *Machine) sendSearches(now time.Duration, agents []netip.Addr, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	for _, a := range agents {
		m.sendSearch(now, a, p, msg, s, out)
	}
}

// sendSearch asks an agent whether it owns the flow, unless it has already
// denied that. The search does not wait for an agent that counts as gone.
func (m *Machine) sendSearch(now time.Duration, a netip.Addr, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	if s.denied[a] {
		return
	}
	send, wait := m.ask(now, a)
	if wait {
		s.asked[a] = searchScope{}
	}
	if !send {
		return
	}
	m.forward(a, relay.Search, p, msg, out)
}

// mayHoldUnknownFlows reports whether the target may hold flows that the agent
// does not know. That ends after the idle timeout: a flow may be discarded if
// neither end has sent anything for that time since the start of the agent.
func (m *Machine) mayHoldUnknownFlows(now time.Duration) bool {
	idle := m.idleTimeout()
	return now < m.unknownFlowsUntil && (idle == 0 || now < m.unknownFlowsSince+idle+idleMargin)
}

// handleSearch answers a search of another agent.
func (m *Machine) handleSearch(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	answer := relay.Message{Kind: relay.NotOwner, Service: m.serviceTag, Flow: p.Key, Load: m.Load(), Origin: msg.Origin,
		Probes: probesOnWire(m.ownTargetProbes(now, p.Key))}
	f := m.flows[p.Key]
	switch {
	case f != nil && f.matches(p):
		m.deliver(now, f, p, out)
		m.reportOwner(f, msg.Origin, p.Key, out)
		if msg.Home != from {
			m.reportOwner(f, msg.Home, p.Key, out)
		}
		answer.Kind = relay.Owner
	case m.mayHold(now, p.Key):
		m.recordDoubt(now, p.Key)
		answer.Kind = relay.MaybeOwner
	}
	out.Send(from, answer)
}

// mayHold reports whether the target may hold a flow that the agent does not
// know. Packets of a flow for which it was so reached only agents that search, so
// it stays so until the target was probed, beyond the idle timeout.
func (m *Machine) mayHold(now time.Duration, key flow.Key) bool {
	s := m.searches[key]
	if s == nil {
		return m.mayHoldUnknownFlows(now)
	}
	return !s.selfDenied && (m.mayHoldUnknownFlows(now) || s.doubted && now-s.doubtedAt <= doubtTTL)
}

// recordDoubt records that this agent tells another one that the target may hold
// a flow.
func (m *Machine) recordDoubt(now time.Duration, key flow.Key) {
	s := m.searchResult(now, key)
	s.doubted, s.doubtedAt = true, now
}

// searchResult returns the search for a flow, or a new one in which no round has
// begun. It records what is known of the flow without a search.
func (m *Machine) searchResult(now time.Duration, key flow.Key) *search {
	s := m.searches[key]
	if s == nil {
		s = &search{roundStart: now, done: true}
		m.searches[key] = s
	}
	return s
}

func (m *Machine) resetUnowned(now time.Duration, s *search, out *plane.Out) {
	s.noOwner = true
	if p, err := m.Codec.FromCaller(s.raw); err == nil {
		m.resetSearched(now, &p, s, out)
	}
}

// resetSearched resets a flow for which a search found no owner, unless another
// service may hold it.
func (m *Machine) resetSearched(now time.Duration, p *flow.Packet, s *search, out *plane.Out) {
	if m.sendToNextService(p, s, out) {
		return
	}
	if m.View.MayHaveForgottenServices(p.Key.Service()) {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "services_forgotten"})
		return
	}
	m.reset(p, "no_target_holds_flow", out)
	out.Events[len(out.Events)-1].Search = m.searchBasis(now, s)
}

// searchBasis returns what the agent knows at the end of a search, for the log.
func (m *Machine) searchBasis(now time.Duration, s *search) *plane.SearchBasis {
	b := &plane.SearchBasis{Service: m.Service, SinceStart: now - m.startedAt}
	known, surveyed := map[netip.Addr]bool{m.Self: true}, m.currentSurveys(s)
	for _, t := range m.View.Targets(m.Service) {
		known[t.Agent()] = true
		if s.hasDenied(t, surveyed) {
			b.Denied++
		}
	}
	b.Listed = len(known) - 1
	for _, t := range slices.Concat(m.View.HiddenTargets(m.Service), m.View.RemovedTargets(m.Service)) {
		if !known[t.Agent()] && !s.hasDenied(t, surveyed) {
			b.NotAsked++
		}
		known[t.Agent()] = true
	}
	return b
}

// hasDenied reports whether the agent of a target has denied the flow, by itself
// or through a survey of one of the data centres in surveyed.
func (s *search) hasDenied(t *fleet.Target, surveyed map[string]bool) bool {
	_, unresolved := s.unresolved[t.Agent()]
	return s.denied[t.Agent()] || surveyed[t.DataCentre] && !unresolved
}

// advanceSearch continues with the other data centres once all agents of the
// local one have answered. Once the others have answered too, it acts on the
// result.
func (m *Machine) advanceSearch(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	if s.done || len(s.asked) > 0 {
		return
	}
	if !s.remote {
		m.searchRemote(now, key, s, out)
		if len(s.asked) > 0 {
			return
		}
	}
	s.done = true
	if len(s.maybeOwners) == 0 {
		m.conclude(now, key, s, out)
		return
	}
	// All agents have answered, so only these can own the flow.
	s.allAnswered = m.unsureReason(now, s) == ""
	m.probeMaybeOwners(now, key, s, out)
}
