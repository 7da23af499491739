package admission

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// failureBackoff is the time for which a peer receives no Reserve after it
	// left one unanswered or failed a request.
	failureBackoff = 500 * time.Millisecond
	// contradictionBackoff is the time for which a peer receives no Reserve
	// after it denied one although its reported load shows room. It is short
	// because such a peer may still be the fastest: with 500 ms, a peer that
	// misreports its load receives too few requests.
	contradictionBackoff = 50 * time.Millisecond
	// offerInterval is the least interval between offers to a peer that has
	// no denied Reserve. Without it, a peer whose waiting requests cannot be
	// handed over releases the grant and receives the next offer at once.
	offerInterval = 10 * time.Millisecond
	// maxUtilization is the limit to which a reported utilization is cut.
	maxUtilization = 16
	// maxRecentOffers is the number of offers of a peer that are kept to
	// detect repeated ones.
	maxRecentOffers = 16
)

// peer is the state that this agent keeps of a peer.
type peer struct {
	Peer
	load         Load
	loadTime     time.Duration
	loadKnown    bool
	serviceTimes ewma
	avoidUntil   time.Duration
	grantsInUse  []GrantID
	recentOffers [maxRecentOffers]GrantID
	offerCount   int
	// nextOffer is the earliest time of an offer that follows no Reserve.
	nextOffer time.Duration
}

// peerSet holds the peers in order of ID.
type peerSet struct {
	list []*peer
	byID map[PeerID]*peer
}

func (s *peerSet) set(peers []Peer) {
	old := s.byID
	s.list, s.byID = nil, map[PeerID]*peer{}
	for _, c := range peers {
		p := old[c.ID]
		if p == nil {
			p = &peer{}
		}
		c.Slots, c.Speed = max(c.Slots, 1), cmp.Or(c.Speed, 1)
		p.Peer = c
		if s.byID[c.ID] == nil {
			s.list = append(s.list, p)
		}
		s.byID[c.ID] = p
	}
	slices.SortFunc(s.list, func(a, b *peer) int { return strings.Compare(string(a.ID), string(b.ID)) })
}

// resetLoads drops what is known of the peers, except the hand-overs in
// progress.
func (s *peerSet) resetLoads() {
	for _, p := range s.list {
		p.load, p.loadTime, p.loadKnown, p.avoidUntil, p.serviceTimes = Load{}, 0, false, 0, ewma{}
	}
}

func (p *peer) updateLoad(now time.Duration, l Load) {
	l.Slots = min(max(l.Slots, 1), p.Slots)
	l.Busy, l.Waiting = max(l.Busy, 0), max(l.Waiting, 0)
	l.Utilization = min(max(l.Utilization, 0), maxUtilization)
	p.load, p.loadTime, p.loadKnown = l, now, true
}

func (p *peer) avoid(until time.Duration) { p.avoidUntil = max(p.avoidUntil, until) }

func (p *peer) addServiceTime(d time.Duration) { p.serviceTimes.add(d) }

func (p *peer) addGrant(g GrantID) { p.grantsInUse = append(p.grantsInUse, g) }

func (p *peer) removeGrant(g GrantID) {
	p.grantsInUse = slices.DeleteFunc(p.grantsInUse, func(x GrantID) bool { return x == g })
}

// newOffer records an offer and reports whether it is not a repeated one.
func (p *peer) newOffer(g GrantID) bool {
	if g == 0 || slices.Contains(p.recentOffers[:], g) {
		return false
	}
	p.recentOffers[p.offerCount%maxRecentOffers] = g
	p.offerCount++
	return true
}

// usable reports whether a Reserve may be sent to the peer.
func (p *peer) usable(now time.Duration, slotless bool) bool {
	if p.Draining || now < p.avoidUntil {
		return false
	}
	return !p.loadKnown || !p.load.Draining && !(slotless && p.load.Full)
}

func (p *peer) slots() int {
	if p.loadKnown {
		return p.load.Slots
	}
	return p.Slots
}
