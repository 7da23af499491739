package admission

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// failureBackoff is how long a peer is not asked after it left a Reserve
	// unanswered or failed a request.
	failureBackoff = 500 * time.Millisecond
	// contradictionBackoff is how long a peer is not asked after it denied a place that
	// its own figures promised. It is short because such a peer may still be
	// the fastest: at 500 ms, a misreporting one was used too little.
	contradictionBackoff = 50 * time.Millisecond
	// offerInterval spaces unasked offers to a peer. Without it, a peer whose
	// waiting request may not move declines and is offered again at once.
	offerInterval = 10 * time.Millisecond
	// maxUtilization bounds a reported utilization.
	maxUtilization = 16
	// maxRecentOffers is how many offers of a peer are remembered, so that a
	// repeated one is recognized.
	maxRecentOffers = 16
)

// peer is another agent and what is known of it.
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
	// nextOffer is when the peer may be offered a place it has not asked for.
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

// resetLoads drops the views, but not the hand-overs in progress.
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

// newOffer reports whether the offer is seen for the first time.
func (p *peer) newOffer(g GrantID) bool {
	if g == 0 || slices.Contains(p.recentOffers[:], g) {
		return false
	}
	p.recentOffers[p.offerCount%maxRecentOffers] = g
	p.offerCount++
	return true
}

// usable says whether the peer can be asked at all.
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
