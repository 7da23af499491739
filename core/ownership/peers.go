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

// peer is another agent of the service.
type peer struct {
	load      relay.Load
	lastHeard time.Duration
	everHeard bool
	// progress is the progress of the peer's view in its last heartbeat.
	progress fleet.Progress
	// unanswered says that the peer has not answered a question. The first one
	// was sent at askedAt, the last one at lastAsked, and the last one that the
	// peer had the time to answer at ignoredAt.
	unanswered                    bool
	askedAt, lastAsked, ignoredAt time.Duration
	suspectUntil                  time.Duration
	// unreported counts the flows that this agent placed there and that the
	// peer has not reported yet.
	unreported int
	// handedOver counts the flows that this agent has handed over there since the
	// peer's last load.
	handedOver int
}

func (m *Machine) peer(a netip.Addr) *peer {
	p := m.peers[a]
	if p == nil {
		p = &peer{}
		m.peers[a] = p
	}
	return p
}

// heard records a datagram of the peer.
func (p *peer) heard(now time.Duration, load relay.Load) {
	p.load, p.lastHeard, p.everHeard, p.unanswered, p.handedOver = load, now, true, false, 0
}

// isFresh reports whether the peer has told lately that it knows every flow of its
// target.
func (p *peer) isFresh(now time.Duration) bool {
	return p.everHeard && now-p.lastHeard <= heartbeatTimeout && p.load.Flags&relay.FlagFresh != 0
}

// asked records a question to the peer. A question long after the last one
// begins a new series, because one lost question says nothing.
func (p *peer) asked(now time.Duration) {
	if !p.unanswered || now-p.lastAsked > maxQuestionGap {
		p.unanswered, p.askedAt, p.ignoredAt = true, now, now
	}
	if now-p.lastAsked >= maxAnswerTime && p.lastAsked > p.ignoredAt {
		p.ignoredAt = p.lastAsked
	}
	p.lastAsked = now
}

// silentFor returns the time between the first and the last question of a series
// that the peer has left unanswered. A question that it may still answer does not
// count.
func (p *peer) silentFor(now time.Duration) time.Duration {
	switch {
	case !p.unanswered || now-p.lastAsked > maxQuestionGap:
		return 0
	case now-p.lastAsked >= maxAnswerTime:
		return p.lastAsked - p.askedAt
	}
	return p.ignoredAt - p.askedAt
}

// acceptsFlows reports whether an agent and its target take new flows, as far
// as the agent has reported.
func (m *Machine) acceptsFlows(a netip.Addr) bool {
	if a == m.Self {
		return !m.leaving
	}
	return m.peer(a).load.Flags&(relay.FlagLeaving|relay.FlagDraining) == 0
}

// healthy reports whether an agent and its target were recently heard and may
// get a flow.
func (m *Machine) healthy(now time.Duration, key flow.Key, a netip.Addr) bool {
	if a == m.Self {
		return !m.leaving && (!m.silent || now >= m.retryAt) && (!m.outcomes.failing || m.mayTestTarget(now, key))
	}
	return m.peer(a).unusableReason(now) == ""
}

// unusableReason returns why a peer gets no new flows, or an empty string if it
// gets them.
func (p *peer) unusableReason(now time.Duration) string {
	switch {
	case p.load.Flags&relay.FlagLeaving != 0:
		return "leaving"
	case p.load.Flags&relay.FlagDraining != 0:
		return "draining"
	case p.load.Flags&relay.FlagSilent != 0:
		return "silent"
	case p.load.Flags&relay.FlagFailing != 0:
		return "failing"
	case now < p.suspectUntil:
		return "suspected"
	case !p.everHeard:
		return "never_heard"
	case now-p.lastHeard > heartbeatTimeout:
		return "not_heard"
	}
	return ""
}

// Peers returns what the agent knows about its peers, for operators.
func (m *Machine) Peers(now time.Duration) []plane.Peer {
	peers := make([]plane.Peer, 0, len(m.peers))
	for a, p := range m.peers {
		reason := p.unusableReason(now)
		peer := plane.Peer{Address: a, SinceHeard: now - p.lastHeard, Usable: reason == "", Reason: reason, Load: p.load}
		if !p.everHeard {
			peer.SinceHeard = -1
		}
		peers = append(peers, peer)
	}
	slices.SortFunc(peers, func(a, b plane.Peer) int { return a.Address.Compare(b.Address) })
	return peers
}
