package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveTimeout is how long an answer to a Reserve is awaited. It covers a
	// round trip within a region several times.
	reserveTimeout = 20 * time.Millisecond
	// reserveInterval is the pause before the oldest waiting request asks another
	// round.
	reserveInterval = 20 * time.Millisecond
	// freshLoadAge is the age up to which a peer's own word that it has no room
	// spares the question.
	freshLoadAge = 20 * time.Millisecond
	// contradictionRatio is how far below the limit the score claimed with a denial must be
	// to count as a contradiction. Estimates of speed differ by less.
	contradictionRatio = 0.6
	// deniedReserveLifetime is how long a denied Reserve is remembered for an Offer.
	deniedReserveLifetime = 250 * time.Millisecond
	// maxDeniedReserves bounds the memory for denied Reserves.
	maxDeniedReserves = 64
)

// pendingReserve is a Reserve without an answer yet.
type pendingReserve struct {
	peer    *peer
	token   uint64
	expires time.Duration
	// scoreLimit is what the peer has to undercut. Zero means any.
	scoreLimit float64
}

// deniedReserve is a Reserve that was denied and may be met by an Offer.
type deniedReserve struct {
	peer       *peer
	scoreLimit float64
	expires    time.Duration
}

// tryBetterPeer asks peers for a place if one of them seems better than the
// local target, and reports whether it did.
func (m *Machine) tryBetterPeer(r *request) bool {
	if !m.peersAllowed(r) {
		return false
	}
	limit := 0.0
	if m.localAllowed(r) && !r.slotless {
		limit = m.peerScoreLimit()
	}
	return m.tryReserve(r, limit)
}

// tryReserve sends Reserve to the best peer that was not yet tried and whose score is
// below the limit. Zero means no limit. Peers are asked one after the other:
// a place that is granted and not used stays idle for a round trip.
func (m *Machine) tryReserve(r *request, limit float64) bool {
	if !m.peersAllowed(r) || len(r.triedPeers) >= m.limits.HandOverPeers {
		return false
	}
	p := m.bestPeer(r, limit)
	if p == nil {
		return false
	}
	m.sendReserve(r, p, limit)
	return true
}

// bestPeer returns the peer to ask next: one that seems to have room rather
// than one that does not, and of those the one of lowest score.
func (m *Machine) bestPeer(r *request, limit float64) *peer {
	var best candidate
	ties := 1
	for _, p := range m.peers.list {
		c, ok := m.candidate(r, p, limit)
		if !ok {
			continue
		}
		switch order := c.compare(best); {
		case best.peer == nil || order < 0:
			best, ties = c, 1
		case order == 0:
			if ties++; m.rng.IntN(ties) == 0 {
				best = c
			}
		}
	}
	return best.peer
}

type candidate struct {
	peer  *peer
	room  bool
	score float64
}

func (m *Machine) candidate(r *request, p *peer, limit float64) (candidate, bool) {
	if !p.usable(m.now, r.slotless) || slices.Contains(r.triedPeers, p.ID) {
		return candidate{}, false
	}
	score := m.peerScore(p)
	room := m.peerOccupied(p) < float64(m.params.peerRequestLimit(p.slots()))
	if !room && m.now-p.loadTime < freshLoadAge {
		return candidate{}, false
	}
	return candidate{p, room, score}, limit == 0 || score < limit
}

func (c candidate) compare(o candidate) int {
	if c.room != o.room {
		if c.room {
			return -1
		}
		return 1
	}
	return cmp.Compare(c.score, o.score)
}

func (m *Machine) sendReserve(r *request, p *peer, limit float64) {
	m.nextToken++
	r.triedPeers = append(r.triedPeers, p.ID)
	m.pendingByToken[m.nextToken] = r
	if limit > 0 {
		limit = max(limit-m.handOverScore(), math.SmallestNonzeroFloat64)
	}
	r.pending = &pendingReserve{p, m.nextToken, m.now + reserveTimeout, limit}
	m.send(p, Message{Kind: Reserve, Token: m.nextToken, Slotless: r.slotless, ScoreLimit: limit})
}

// takePending removes the ask that a message of a peer answers.
func (m *Machine) takePending(p *peer, token uint64) *request {
	r := m.pendingByToken[token]
	if r == nil || r.pending.peer != p {
		return nil
	}
	delete(m.pendingByToken, token)
	r.pending = nil
	return r
}

// withdraw ends the ask of a request.
func (m *Machine) withdraw(r *request) {
	if a := r.pending; a != nil {
		m.takePending(a.peer, a.token)
		m.send(a.peer, Message{Kind: Release, Token: a.token})
	}
	r.hold = false
}

// withdrawRemoved drops an ask to a peer that is no longer configured.
func (m *Machine) withdrawRemoved(r *request) {
	if r.pending != nil && m.peers.byID[r.pending.peer.ID] != r.pending.peer {
		m.takePending(r.pending.peer, r.pending.token)
		r.hold = false
	}
}

// reserveFailed goes on to the next peer, or leaves the request to the queue.
func (m *Machine) reserveFailed(r *request) {
	if !m.tryBetterPeer(r) {
		m.scheduleWithoutPeer(r)
	}
}

func (m *Machine) expirePending(r *request) {
	if r.pending.expires > m.now {
		return
	}
	hold := r.hold
	r.pending.peer.avoid(m.now + failureBackoff)
	m.withdraw(r)
	r.hold = hold
	m.reserveFailed(r)
}

// useGrant uses a place, unless the local target has become better meanwhile.
func (m *Machine) useGrant(r *request, p *peer, g GrantID) {
	localNow := m.localAllowed(r) && !r.slotless && m.freeSlots() > 0
	switch {
	case !m.peersAllowed(r) || m.now >= r.deadline,
		localNow && m.localScore(m.localOccupied()-1) <= m.scoreAfterGrant(p):
		m.send(p, Message{Kind: Release, Grant: g})
		m.scheduleWithoutPeer(r)
	default:
		m.handOver(r, p, g)
	}
}

// scoreAfterGrant rates a peer whose figures already count the granted place.
func (m *Machine) scoreAfterGrant(p *peer) float64 {
	l := p.load
	return m.params.score(float64(l.Busy+l.Waiting-1), l.Utilization, l.Slots, m.peerSpeed(p)) + m.handOverScore()
}

// contradictsLoad says whether a peer denies a place although, by the load it
// reports with the denial, it would clearly have had one.
func (m *Machine) contradictsLoad(p *peer, a *pendingReserve) bool {
	l := p.load
	if l.Draining || l.Busy+l.Waiting >= l.Slots {
		return false
	}
	claimed := m.params.score(float64(l.Busy+l.Waiting), l.Utilization, l.Slots, m.peerSpeed(p))
	return a.scoreLimit == 0 || claimed < a.scoreLimit*contradictionRatio
}

func (m *Machine) handOver(r *request, p *peer, g GrantID) {
	m.dequeue(r)
	r.stage, r.attemptStart, r.peer, r.grant = handedOver, m.now, p, g
	r.handOvers++
	p.addGrant(g)
	m.emit(HandOver{ID: r.id, Peer: p.ID, Grant: g})
}
