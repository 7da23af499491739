package admission

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// askTimeout is how long an answer to a Reserve is awaited. It covers a
	// round trip within a region several times.
	askTimeout = 20 * time.Millisecond
	// askAgain is the pause before the oldest waiting request asks another
	// round.
	askAgain = 20 * time.Millisecond
	// freshView is the age up to which a peer's own word that it has no room
	// spares the question.
	freshView = 20 * time.Millisecond
	// wantLifetime is how long a denied Reserve is remembered for an Offer.
	wantLifetime = 250 * time.Millisecond
	// maxWants bounds the memory for denied Reserves.
	maxWants = 64
)

// ask is a Reserve without an answer yet.
type ask struct {
	peer    *peer
	token   uint64
	expires time.Duration
}

// heldGrant is a place at a peer that a request may use.
type heldGrant struct {
	peer  *peer
	grant GrantID
}

// want is a Reserve that was denied and may be met by an Offer.
type want struct {
	peer    *peer
	score   float64
	expires time.Duration
}

// preferPeer asks peers for a place if one of them seems better than the
// local target, and reports whether it did.
func (m *Machine) preferPeer(r *request) bool {
	if !m.peersAllowed(r) {
		return false
	}
	limit := 0.0
	if m.localAllowed(r) && !r.slotless {
		limit = m.ownLimit()
	}
	return m.ask(r, limit)
}

// ask sends Reserve to the best peers that were not yet tried and whose score
// is below the limit. Zero means no limit.
func (m *Machine) ask(r *request, limit float64) bool {
	if !m.peersAllowed(r) {
		return false
	}
	for len(r.asks) < m.tuning.parallel && len(r.tried) < m.limits.HandOverPeers {
		p := m.bestPeer(r, limit)
		if p == nil {
			break
		}
		m.reserve(r, p, limit)
	}
	return len(r.asks) > 0
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
	if !p.usable(m.now, r.slotless) || slices.Contains(r.tried, p.ID) {
		return candidate{}, false
	}
	score := m.peerScore(p)
	room := m.peerOccupied(p) < float64(m.tuning.bound(p.slots()))
	if !room && m.now-p.at < freshView {
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

func (m *Machine) reserve(r *request, p *peer, limit float64) {
	m.nextToken++
	r.asks = append(r.asks, ask{p, m.nextToken, m.now + askTimeout})
	r.tried = append(r.tried, p.ID)
	m.tokens[m.nextToken] = r
	if limit > 0 {
		limit = max(limit-m.hopScore(), math.SmallestNonzeroFloat64)
	}
	m.send(p, Message{Kind: Reserve, Token: m.nextToken, Slotless: r.slotless, Score: limit})
}

// takeAsk removes the ask that a message of a peer answers.
func (m *Machine) takeAsk(p *peer, token uint64) *request {
	r := m.tokens[token]
	if r == nil {
		return nil
	}
	i := slices.IndexFunc(r.asks, func(a ask) bool { return a.token == token && a.peer == p })
	if i < 0 {
		return nil
	}
	r.asks = slices.Delete(r.asks, i, i+1)
	delete(m.tokens, token)
	return r
}

// withdraw ends the asks of a request.
func (m *Machine) withdraw(r *request) {
	for _, a := range r.asks {
		delete(m.tokens, a.token)
		m.send(a.peer, Message{Kind: Release, Token: a.token})
	}
	m.releaseHeld(r)
	r.asks, r.hold = nil, false
}

func (m *Machine) releaseHeld(r *request) {
	for _, h := range r.held {
		h.peer.release(h.grant)
		m.send(h.peer, Message{Kind: Release, Grant: h.grant})
	}
	r.held = nil
}

// useBest hands the request over to the best of the peers that granted a
// place, unless the local target has become better.
func (m *Machine) useBest(r *request) {
	if !m.peersAllowed(r) || m.now >= r.deadline {
		m.releaseHeld(r)
		m.placeWithoutPeer(r)
		return
	}
	var best heldGrant
	bestScore := math.Inf(1)
	for _, h := range r.held {
		if s := m.grantedScore(h.peer); s < bestScore {
			best, bestScore = h, s
		}
	}
	if m.localAllowed(r) && !r.slotless && m.free() > 0 && m.ownScore(m.occupied()-1) <= bestScore {
		m.releaseHeld(r)
		m.placeWithoutPeer(r)
		return
	}
	r.held = slices.DeleteFunc(r.held, func(h heldGrant) bool { return h == best })
	m.handOver(r, best.peer, best.grant)
}

// grantedScore rates a peer whose figures already count the granted place.
func (m *Machine) grantedScore(p *peer) float64 {
	l := p.load
	return m.tuning.score(float64(l.Busy+l.Waiting-1), l.Utilization, l.Slots, m.peerSpeed(p)) + m.hopScore()
}

// withdrawRemoved drops asks to peers that are no longer configured.
func (m *Machine) withdrawRemoved(r *request) {
	r.asks = slices.DeleteFunc(r.asks, func(a ask) bool {
		gone := m.peers.byID[a.peer.ID] != a.peer
		if gone {
			delete(m.tokens, a.token)
		}
		return gone
	})
	r.hold = r.hold && len(r.asks) > 0
}

// askFailed goes on to the next peer, or leaves the request to the queue.
func (m *Machine) askFailed(r *request) {
	switch {
	case len(r.asks) > 0:
	case len(r.held) > 0:
		m.useBest(r)
	case !m.preferPeer(r):
		m.placeWithoutPeer(r)
	}
}

func (m *Machine) expireAsks(r *request) {
	for _, a := range slices.Clone(r.asks) {
		if a.expires > m.now {
			continue
		}
		a.peer.distrust(m.now)
		m.takeAsk(a.peer, a.token)
		m.send(a.peer, Message{Kind: Release, Token: a.token})
		if len(r.asks) == 0 {
			m.askFailed(r)
			return
		}
	}
}

func (m *Machine) handOver(r *request, p *peer, g GrantID) {
	m.dequeue(r)
	r.stage, r.began, r.peer, r.grant = away, m.now, p, g
	r.handOver++
	if !slices.Contains(p.inUse, g) {
		p.use(g)
	}
	m.emit(HandOver{ID: r.id, Peer: p.ID, Grant: g})
}
