package ownership

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// After a loss of all VMs an agent gets packets of thousands of flows that no
// target holds. A search takes a datagram to each agent for each flow. If all
// agents know every flow of their targets, and their targets hold few because they
// have just started, one list from each agent answers for all flows whose packets
// arrived before the agent was asked. A flow can open meanwhile, but its caller
// sends the packets that are searched for only after that.

const (
	// minBatchedFlows is the number of unknown flows in batchWindow from which on
	// lists are asked for. Fewer flows are searched for one by one, at once.
	minBatchedFlows = 8
	batchWindow     = 50 * time.Millisecond
	// listInterval is the time between two rounds of questions for lists.
	listInterval = 10 * time.Millisecond
	// listTimeout is how long a round waits. The search of its flows then goes on
	// with the agents that have not answered, and no round begins for listPause.
	// An agent that has not answered after listRetry is asked again, because a lost
	// datagram would delay all flows of the round.
	listTimeout = remoteSearchTimeout
	listRetry   = 25 * time.Millisecond
	listPause   = 200 * time.Millisecond
	// maxBatchedFlows bounds the flows that wait for lists.
	maxBatchedFlows = 8192
)

// heldLists collects the lists of flows that the targets of the service hold.
type heldLists struct {
	// unknownFlows counts the packets of unknown flows since windowStart.
	unknownFlows int
	windowStart  time.Duration
	// waiting holds the flows for the next round.
	waiting []flow.Key
	// rounds are those that have not ended, oldest first. lastNumber is the number
	// of the last round, which began at lastStart.
	rounds     []*listRound
	lastNumber uint32
	lastStart  time.Duration
	// pausedUntil is until when no round begins.
	pausedUntil time.Duration
}

// listRound is a question to all agents of the service for their lists.
type listRound struct {
	number    uint32
	startedAt time.Duration
	// flows are those whose packets arrived before the round began.
	flows []flow.Key
	// asked holds the agents that have not answered, retried says that they were
	// asked again. denied holds those that have answered, held the tags of the
	// flows that they listed.
	asked   map[netip.Addr]bool
	retried bool
	denied  map[netip.Addr]bool
	held    map[uint32]bool
	// incomplete and peersKnow are as in a search.
	incomplete string
	peersKnow  fleet.Progress
}

// batchable reports whether to ask for lists in place of a search for a flow.
func (m *Machine) batchable(now time.Duration, key flow.Key) bool {
	l := &m.lists
	if now-l.windowStart > batchWindow {
		l.windowStart, l.unknownFlows = now, 0
	}
	l.unknownFlows++
	if l.unknownFlows < minBatchedFlows || now < l.pausedUntil || len(l.waiting) >= maxBatchedFlows || m.mayHold(now, key) || m.incompleteReason(now) != "" {
		return false
	}
	local, remote := m.searchable(now)
	for _, agents := range append(slices.Collect(maps.Values(remote)), local) {
		for _, a := range agents {
			// An agent that was not heard lately tells in its list whether its
			// target is fresh. One that was heard has told.
			if p := m.peer(a); !p.isFresh(now) && p.everHeard && now-p.lastHeard <= heartbeatTimeout {
				return false
			}
		}
	}
	return true
}

// batch makes a flow wait for the next round of questions for lists.
func (m *Machine) batch(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	s.begin(now, p, msg)
	s.batched = true
	m.lists.waiting = append(m.lists.waiting, p.Key)
	m.checkLists(now, out)
}

// checkLists ends rounds that take too long, and begins the next one.
func (m *Machine) checkLists(now time.Duration, out *plane.Out) {
	l := &m.lists
	for _, r := range slices.Clone(l.rounds) {
		switch {
		case now-r.startedAt >= listTimeout:
			l.pausedUntil = now + listPause
			m.endLists(now, r, out)
		case now-r.startedAt >= listRetry && !r.retried:
			r.retried = true
			for _, a := range slices.SortedFunc(maps.Keys(r.asked), netip.Addr.Compare) {
				m.askForList(now, a, r, out)
			}
		}
	}
	switch {
	case len(l.waiting) == 0:
	case now < l.pausedUntil:
		flows := l.waiting
		l.waiting = nil
		for _, key := range flows {
			m.searchAlone(now, key, nil, out)
		}
	case now-l.lastStart >= listInterval:
		m.askForLists(now, out)
	}
}

func (m *Machine) askForLists(now time.Duration, out *plane.Out) {
	l := &m.lists
	l.lastNumber++
	l.lastStart = now
	r := &listRound{
		number: l.lastNumber, startedAt: now, flows: l.waiting, asked: map[netip.Addr]bool{}, denied: map[netip.Addr]bool{}, held: map[uint32]bool{},
		incomplete: m.incompleteReason(now), peersKnow: m.latestPeerProgress(now),
	}
	l.rounds, l.waiting = append(l.rounds, r), nil
	local, remote := m.searchable(now)
	for _, dataCentre := range slices.Sorted(maps.Keys(remote)) {
		local = append(local, remote[dataCentre]...)
	}
	for _, a := range local {
		m.askForList(now, a, r, out)
	}
	out.Event(plane.Event{Kind: plane.EventListsAsked, Value: int64(len(r.flows))})
	if len(r.asked) == 0 {
		m.endLists(now, r, out)
	}
}

// askForList asks an agent for its list. The round does not wait for an agent that
// counts as gone.
func (m *Machine) askForList(now time.Duration, a netip.Addr, r *listRound, out *plane.Out) {
	send, wait := m.ask(now, a)
	if wait {
		r.asked[a] = true
	}
	if send {
		out.Send(a, relay.Message{Kind: relay.HeldQuery, Service: m.serviceTag, Round: r.number})
	}
}

// handleHeldQuery answers with the flows that the target holds, if the agent knows
// all of them and they fit into an answer.
func (m *Machine) handleHeldQuery(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	answer := relay.Message{Kind: relay.HeldList, Service: m.serviceTag, Round: msg.Round, Load: m.Load()}
	unlisted := m.unlistedAgents(now, m.listedAgents())
	if answer.Load.Flags&relay.FlagFresh != 0 && len(m.flows) <= relay.MaxHeld && len(unlisted) <= relay.MaxUnlisted {
		answer.HeldComplete, answer.Unlisted = true, unlisted
		for key := range m.flows {
			answer.Held = append(answer.Held, relay.HeldTag(key))
		}
		slices.Sort(answer.Held)
	}
	out.Send(from, answer)
}

// handleHeldList records a list. An incomplete one ends the round, because the
// flows must be searched for one by one.
func (m *Machine) handleHeldList(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	m.peer(from).heard(now, msg.Load)
	i := slices.IndexFunc(m.lists.rounds, func(r *listRound) bool { return r.number == msg.Round && r.asked[from] })
	if i < 0 {
		return
	}
	r := m.lists.rounds[i]
	if !msg.HeldComplete {
		m.lists.pausedUntil = now + listPause
		m.endLists(now, r, out)
		return
	}
	delete(r.asked, from)
	r.denied[from] = true
	for _, a := range msg.Unlisted {
		if a != m.Self && !r.asked[a] && !r.denied[a] {
			m.askForList(now, a, r, out)
		}
	}
	for _, tag := range msg.Held {
		r.held[tag] = true
	}
	if len(r.asked) == 0 {
		m.endLists(now, r, out)
	}
}

// endLists concludes the searches of a round. A flow that is in a list, and all
// flows if an agent has not answered, are searched for one by one.
func (m *Machine) endLists(now time.Duration, r *listRound, out *plane.Out) {
	m.lists.rounds = slices.DeleteFunc(m.lists.rounds, func(o *listRound) bool { return o == r })
	concluded := 0
	for _, key := range r.flows {
		if len(r.asked) > 0 || r.held[relay.HeldTag(key)] || m.flows[key] != nil || m.mayHold(now, key) {
			m.searchAlone(now, key, r, out)
			continue
		}
		if s := m.endBatched(key); s != nil {
			m.concludeByLists(now, key, s, r, out)
			concluded++
		}
	}
	out.Event(plane.Event{Kind: plane.EventListsEnded, Value: int64(concluded)})
}

// endBatched returns the search for a flow that has waited for lists, or nil if
// there is nothing left to search for.
func (m *Machine) endBatched(key flow.Key) *search {
	s := m.searches[key]
	if s == nil || !s.batched {
		return nil
	}
	s.batched, s.done = false, true
	if s.found {
		return nil
	}
	return s
}

// searchAlone searches for a flow that has waited for lists, if it has become
// known, or asks the agents that have not denied it in the round r.
func (m *Machine) searchAlone(now time.Duration, key flow.Key, r *listRound, out *plane.Out) {
	s := m.endBatched(key)
	if s == nil {
		return
	}
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	msg := &relay.Message{Origin: s.origin, Home: m.Self, DeniedServices: s.deniedServices}
	if f := m.flows[key]; f != nil && f.matches(&p) {
		m.handlePacket(now, &p, msg, out)
		return
	}
	if r != nil && !r.held[relay.HeldTag(key)] {
		maps.Copy(s.denied, r.denied)
	}
	m.beginRound(now, &p, msg, s, out)
}

// concludeByLists ends the search for a flow that no list names, under the same
// conditions as a search for this flow alone. The flows of a round share what the
// agents denied as long as that does not change.
func (m *Machine) concludeByLists(now time.Duration, key flow.Key, s *search, r *listRound, out *plane.Out) {
	own := s.denied
	s.denied, s.incomplete, s.peersKnow = r.denied, r.incomplete, r.peersKnow
	m.conclude(now, key, s, out)
	if !s.noOwner {
		maps.Copy(own, r.denied)
		s.denied = own
	}
}
