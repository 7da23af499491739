package admission

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// silenceTime is how long a peer is not asked after it left a Reserve
	// unanswered or failed a request.
	silenceTime = 500 * time.Millisecond
	// doubtTime is how long a peer is not asked after it denied a place that
	// its own figures promised. It is short because such a peer may still be
	// the fastest: at 500 ms, a misreporting one was used too little.
	doubtTime = 50 * time.Millisecond
	// offerPause spaces unasked offers to a peer. Without it, a peer whose
	// waiting request may not move declines and is offered again at once.
	offerPause = 10 * time.Millisecond
	// maxUtilization bounds a reported utilization.
	maxUtilization = 16
	// seenOffers is how many offers of a peer are remembered, so that a
	// repeated one is recognized.
	seenOffers = 16
)

// peer is another agent and what is known of it.
type peer struct {
	Peer
	load      Load
	at        time.Duration
	known     bool
	answers   average
	avoided   time.Duration
	inUse     []GrantID
	offers    [seenOffers]GrantID
	offerNext int
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

// forget drops the views, but not the hand-overs in progress.
func (s *peerSet) forget() {
	for _, p := range s.list {
		p.load, p.at, p.known, p.avoided, p.answers = Load{}, 0, false, 0, average{}
	}
}

func (p *peer) heard(now time.Duration, l Load) {
	l.Slots = min(max(l.Slots, 1), p.Slots)
	l.Busy, l.Waiting = max(l.Busy, 0), max(l.Waiting, 0)
	l.Utilization = min(max(l.Utilization, 0), maxUtilization)
	p.load, p.at, p.known = l, now, true
}

func (p *peer) avoid(until time.Duration) { p.avoided = max(p.avoided, until) }

func (p *peer) answered(d time.Duration) { p.answers.add(d) }

func (p *peer) use(g GrantID) { p.inUse = append(p.inUse, g) }

func (p *peer) release(g GrantID) {
	p.inUse = slices.DeleteFunc(p.inUse, func(x GrantID) bool { return x == g })
}

// newOffer reports whether the offer is seen for the first time.
func (p *peer) newOffer(g GrantID) bool {
	if g == 0 || slices.Contains(p.offers[:], g) {
		return false
	}
	p.offers[p.offerNext%seenOffers] = g
	p.offerNext++
	return true
}

// usable says whether the peer can be asked at all.
func (p *peer) usable(now time.Duration, slotless bool) bool {
	if p.Draining || now < p.avoided {
		return false
	}
	return !p.known || !p.load.Draining && !(slotless && p.load.Full)
}

func (p *peer) slots() int {
	if p.known {
		return p.load.Slots
	}
	return p.Slots
}
