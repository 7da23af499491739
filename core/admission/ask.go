package admission

import (
	"math"
	"slices"
	"time"
)

const (
	// askTimeout is how long an answer to a Reserve is awaited. It covers a
	// round trip within a region several times.
	askTimeout = 20 * time.Millisecond
	// askAgain is the pause before a waiting request asks another round.
	askAgain = 100 * time.Millisecond
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
		// r itself is already in the queue.
		limit = m.ownScore(m.occupied()-1) * (1 - m.tuning.margin)
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

func (m *Machine) bestPeer(r *request, limit float64) *peer {
	var best *peer
	var bestScore float64
	ties := 0
	for _, p := range m.peers.list {
		if !p.usable(m.now, r.slotless) || slices.Contains(r.tried, p.ID) {
			continue
		}
		s := m.peerScore(p)
		if limit > 0 && s >= limit || best != nil && s > bestScore {
			continue
		}
		if best != nil && s == bestScore {
			ties++
			if m.rng.IntN(ties+1) != 0 {
				continue
			}
		} else {
			ties = 0
		}
		best, bestScore = p, s
	}
	return best
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
	r.asks, r.hold = nil, false
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
	if len(r.asks) == 0 && !m.preferPeer(r) {
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
	p.use(g)
	m.emit(HandOver{ID: r.id, Peer: p.ID, Grant: g})
}
