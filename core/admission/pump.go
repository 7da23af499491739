package admission

import "slices"

// pump starts waiting requests in free slots and offers the rest to peers.
func (m *Machine) pump() {
	m.startWaiting()
	if len(m.waiting) == 0 {
		m.offerFree()
	}
}

func (m *Machine) startWaiting() {
	if m.draining {
		return
	}
	for _, r := range m.snapshot() {
		if m.now >= r.deadline {
			m.end(r, ReasonDeadline)
			continue
		}
		if m.free() <= 0 && !r.granted {
			return
		}
		if m.running < m.slots() && !r.slotless && !r.hold && m.localAllowed(r) {
			m.run(r)
		}
	}
}

// offerFree gives free slots to peers whose requests were denied before, and
// then to a peer that probably has requests waiting.
func (m *Machine) offerFree() {
	if m.draining || !m.limits.HandOver || m.free() <= 0 {
		return
	}
	m.wanted = slices.DeleteFunc(m.wanted, func(w want) bool {
		return w.expires <= m.now || m.peers.byID[w.peer.ID] != w.peer
	})
	for m.free() > 0 && len(m.wanted) > 0 && m.better(m.wanted[0].score) {
		w := m.wanted[0]
		m.wanted = m.wanted[1:]
		m.offer(w.peer)
	}
	if p := m.likelyWaiting(); m.free() > 0 && p != nil {
		p.nextOffer = m.now + offerPause
		m.offer(p)
	}
}

// better says whether the local target undercuts a score. Zero means any.
func (m *Machine) better(score float64) bool {
	return score == 0 || m.ownScore(m.occupied()) < score
}

func (m *Machine) offer(p *peer) {
	m.send(p, Message{Kind: Offer, Grant: m.given.issue(m.now, p.ID, 0, false)})
}

// likelyWaiting returns the peer with the longest estimated queue per slot.
func (m *Machine) likelyWaiting() *peer {
	var best *peer
	most := 0.0 // A peer without an estimated queue is not offered anything.
	for _, p := range m.peers.list {
		if !p.known || m.now < p.nextOffer {
			continue
		}
		queue := (m.peerOccupied(p) - float64(p.load.Slots)) / float64(p.load.Slots)
		if queue > most && m.better(m.peerScore(p)) {
			best, most = p, queue
		}
	}
	return best
}

// tick ends waits that have lasted too long, asks again and reports.
func (m *Machine) tick() {
	m.lastTick = m.now
	for _, r := range m.snapshot() {
		m.tickRequest(r)
	}
	if m.now >= m.nextReport {
		m.nextReport = m.now + ReportInterval
		for _, p := range m.peers.list {
			m.send(p, Message{Kind: Report})
		}
	}
}

func (m *Machine) tickRequest(r *request) {
	switch {
	case m.now >= r.deadline:
		m.end(r, m.waitReason())
	case !m.localAllowed(r) && !m.peersAllowed(r):
		m.end(r, ReasonDraining)
	case r.ask != nil:
		m.expireAsk(r)
	case r.slotless:
		m.place(r)
	case m.now >= r.nextAsk && (m.draining || r == m.oldestMovable()):
		m.askRound(r)
	}
}

func (m *Machine) waitReason() Reason {
	if m.draining {
		return ReasonDraining
	}
	return ReasonDeadline
}

func (m *Machine) askRound(r *request) {
	r.tried, r.nextAsk = nil, m.now+askAgain
	m.preferPeer(r)
}
