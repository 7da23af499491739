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
	// doubt is how far below the limit the score claimed with a denial must be
	// to count as a contradiction. Estimates of speed differ by less.
	doubt = 0.6
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
	// score is what the peer has to undercut. Zero means any.
	score float64
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

// ask sends Reserve to the best peer that was not yet tried and whose score is
// below the limit. Zero means no limit. Peers are asked one after the other:
// a place that is granted and not used stays idle for a round trip.
func (m *Machine) ask(r *request, limit float64) bool {
	if !m.peersAllowed(r) || len(r.tried) >= m.limits.HandOverPeers {
		return false
	}
	p := m.bestPeer(r, limit)
	if p == nil {
		return false
	}
	m.reserve(r, p, limit)
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
	r.tried = append(r.tried, p.ID)
	m.tokens[m.nextToken] = r
	if limit > 0 {
		limit = max(limit-m.hopScore(), math.SmallestNonzeroFloat64)
	}
	r.ask = &ask{p, m.nextToken, m.now + askTimeout, limit}
	m.send(p, Message{Kind: Reserve, Token: m.nextToken, Slotless: r.slotless, ScoreLimit: limit})
}

// takeAsk removes the ask that a message of a peer answers.
func (m *Machine) takeAsk(p *peer, token uint64) *request {
	r := m.tokens[token]
	if r == nil || r.ask.peer != p {
		return nil
	}
	delete(m.tokens, token)
	r.ask = nil
	return r
}

// withdraw ends the ask of a request.
func (m *Machine) withdraw(r *request) {
	if a := r.ask; a != nil {
		m.takeAsk(a.peer, a.token)
		m.send(a.peer, Message{Kind: Release, Token: a.token})
	}
	r.hold = false
}

// withdrawRemoved drops an ask to a peer that is no longer configured.
func (m *Machine) withdrawRemoved(r *request) {
	if r.ask != nil && m.peers.byID[r.ask.peer.ID] != r.ask.peer {
		m.takeAsk(r.ask.peer, r.ask.token)
		r.hold = false
	}
}

// askFailed goes on to the next peer, or leaves the request to the queue.
func (m *Machine) askFailed(r *request) {
	if !m.preferPeer(r) {
		m.placeWithoutPeer(r)
	}
}

func (m *Machine) expireAsk(r *request) {
	if r.ask.expires > m.now {
		return
	}
	hold := r.hold
	r.ask.peer.avoid(m.now + silenceTime)
	m.withdraw(r)
	r.hold = hold
	m.askFailed(r)
}

// granted uses a place, unless the local target has become better meanwhile.
func (m *Machine) granted(r *request, p *peer, g GrantID) {
	localNow := m.localAllowed(r) && !r.slotless && m.free() > 0
	switch {
	case !m.peersAllowed(r) || m.now >= r.deadline,
		localNow && m.ownScore(m.occupied()-1) <= m.grantedScore(p):
		m.send(p, Message{Kind: Release, Grant: g})
		m.placeWithoutPeer(r)
	default:
		m.handOver(r, p, g)
	}
}

// grantedScore rates a peer whose figures already count the granted place.
func (m *Machine) grantedScore(p *peer) float64 {
	l := p.load
	return m.tuning.score(float64(l.Busy+l.Waiting-1), l.Utilization, l.Slots, m.peerSpeed(p)) + m.hopScore()
}

// contradicts says whether a peer denies a place although, by the load it
// reports with the denial, it would clearly have had one.
func (m *Machine) contradicts(p *peer, a *ask) bool {
	l := p.load
	if l.Draining || l.Busy+l.Waiting >= l.Slots {
		return false
	}
	claimed := m.tuning.score(float64(l.Busy+l.Waiting), l.Utilization, l.Slots, m.peerSpeed(p))
	return a.score == 0 || claimed < a.score*doubt
}

func (m *Machine) handOver(r *request, p *peer, g GrantID) {
	m.dequeue(r)
	r.stage, r.began, r.peer, r.grant = away, m.now, p, g
	r.handOver++
	p.use(g)
	m.emit(HandOver{ID: r.id, Peer: p.ID, Grant: g})
}
