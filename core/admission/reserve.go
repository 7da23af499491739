package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveTimeout is the time after which a Reserve counts as unanswered.
	// It is several round trips within a region.
	reserveTimeout = 20 * time.Millisecond
	// reserveInterval is the interval between rounds of Reserves for the
	// oldest waiting request.
	reserveInterval = 20 * time.Millisecond
	// freshLoadAge is the age below which a load that shows no room is taken
	// as current, so that no Reserve is sent to the peer.
	freshLoadAge = 20 * time.Millisecond
	// contradictionRatio is the fraction of the score limit below which a
	// peer's score, computed from the load in its Deny, contradicts the Deny.
	// Speed estimates differ by less.
	contradictionRatio = 0.6
	// deniedReserveLifetime is how long a denied Reserve can lead to an Offer.
	deniedReserveLifetime = 250 * time.Millisecond
	// maxDeniedReserves limits the denied Reserves that are kept.
	maxDeniedReserves = 64
)

// pendingReserve is a Reserve that has not been answered.
type pendingReserve struct {
	peer    *peer
	token   uint64
	expires time.Duration
	// scoreLimit is the limit for the score of the peer. Zero means no limit.
	scoreLimit float64
}

// deniedReserve is a Reserve of a peer that was denied. An Offer may follow.
type deniedReserve struct {
	peer       *peer
	scoreLimit float64
	expires    time.Duration
}

// tryBetterPeer sends a Reserve if a peer seems better than the local target,
// and reports whether it did.
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

// tryReserve sends a Reserve to the best peer that has not been tried and whose
// score is below the limit, and reports whether it did. Zero means no limit.
// Peers are tried one at a time, because a slot that is granted and not used
// stays idle for a round trip.
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

// bestPeer returns the peer for the next Reserve. Peers that seem to have room
// are preferred to those that do not, and then lower scores to higher ones.
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

// takePending removes the pending Reserve with the token that was sent to the
// peer, and returns its request. It returns nil if there is none.
func (m *Machine) takePending(p *peer, token uint64) *request {
	r := m.pendingByToken[token]
	if r == nil || r.pending.peer != p {
		return nil
	}
	delete(m.pendingByToken, token)
	r.pending = nil
	return r
}

// withdraw cancels the pending Reserve of a request, if it has one.
func (m *Machine) withdraw(r *request) {
	if p := r.pending; p != nil {
		m.takePending(p.peer, p.token)
		m.send(p.peer, Message{Kind: Release, Token: p.token})
	}
	r.hold = false
}

// withdrawRemoved drops a pending Reserve to a peer that is no longer
// configured.
func (m *Machine) withdrawRemoved(r *request) {
	if r.pending != nil && m.peers.byID[r.pending.peer.ID] != r.pending.peer {
		m.takePending(r.pending.peer, r.pending.token)
		r.hold = false
	}
}

// reserveFailed tries the next peer. If there is none, the request is scheduled
// without a peer.
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

// useGrant hands the request over under a grant, unless this is no longer
// allowed or the local target has become better since the Reserve.
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

// scoreAfterGrant returns the score of a peer whose load already includes the
// grant.
func (m *Machine) scoreAfterGrant(p *peer) float64 {
	l := p.load
	return m.params.score(float64(l.Busy+l.Waiting-1), l.Utilization, l.Slots, m.peerSpeed(p)) + m.handOverScore()
}

// contradictsLoad reports whether a peer denied a Reserve although the load in
// its Deny shows that it had a free slot and a score clearly below the limit.
func (m *Machine) contradictsLoad(p *peer, pending *pendingReserve) bool {
	l := p.load
	if l.Draining || l.Busy+l.Waiting >= l.Slots {
		return false
	}
	claimed := m.params.score(float64(l.Busy+l.Waiting), l.Utilization, l.Slots, m.peerSpeed(p))
	return pending.scoreLimit == 0 || claimed < pending.scoreLimit*contradictionRatio
}

func (m *Machine) handOver(r *request, p *peer, g GrantID) {
	m.dequeue(r)
	r.stage, r.attemptStart, r.peer, r.grant = handedOver, m.now, p, g
	r.handOvers++
	p.addGrant(g)
	m.emit(HandOver{ID: r.id, Peer: p.ID, Grant: g})
}
