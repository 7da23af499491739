package admission

import "slices"

// assignFreeSlots starts waiting requests in free slots. If none is waiting, it
// offers the free slots to peers.
func (m *Machine) assignFreeSlots() {
	m.startWaiting()
	if len(m.waiting) == 0 {
		m.offerFreeSlots()
	}
}

func (m *Machine) startWaiting() {
	if m.draining {
		return
	}
	for _, r := range m.waitingSnapshot() {
		if m.now >= r.deadline {
			m.end(r, ReasonDeadline)
			continue
		}
		if m.freeSlots() <= 0 && !r.fromPeer {
			return
		}
		if m.running < m.slots() && !r.slotless && !r.hold && m.localAllowed(r) {
			m.run(r)
		}
	}
}

// offerFreeSlots offers free slots to the peers whose Reserves were denied, and
// then one to a peer that probably has requests waiting.
func (m *Machine) offerFreeSlots() {
	if m.draining || !m.limits.HandOver || m.freeSlots() <= 0 {
		return
	}
	m.denied = slices.DeleteFunc(m.denied, func(d deniedReserve) bool {
		return d.expires <= m.now || m.peers.byID[d.peer.ID] != d.peer
	})
	for m.freeSlots() > 0 && len(m.denied) > 0 && m.scoresBelow(m.denied[0].scoreLimit) {
		d := m.denied[0]
		m.denied = m.denied[1:]
		m.offer(d.peer)
	}
	if p := m.peerWithLongestQueue(); m.freeSlots() > 0 && p != nil {
		p.nextOffer = m.now + offerInterval
		m.offer(p)
	}
}

// scoresBelow reports whether the score of the local target is below score.
// Zero means no limit.
func (m *Machine) scoresBelow(score float64) bool {
	return score == 0 || m.localScore(m.localOccupied()) < score
}

func (m *Machine) offer(p *peer) {
	m.send(p, Message{Kind: Offer, Grant: m.issued.issue(m.now, p.ID, 0, false)})
}

// peerWithLongestQueue returns the peer with the longest estimated queue per
// slot among those that may receive an offer. It returns nil if there is none.
func (m *Machine) peerWithLongestQueue() *peer {
	var best *peer
	most := 0.0 // A peer without an estimated queue receives no offer.
	for _, p := range m.peers.list {
		if !p.loadKnown || m.now < p.nextOffer {
			continue
		}
		queue := (m.peerOccupied(p) - float64(p.load.Slots)) / float64(p.load.Slots)
		if queue > most && m.scoresBelow(m.peerScore(p)) {
			best, most = p, queue
		}
	}
	return best
}

// tick ends requests past their deadline, expires unanswered Reserves, sends
// new ones for waiting requests, and sends Reports.
func (m *Machine) tick() {
	m.lastTick = m.now
	for _, r := range m.waitingSnapshot() {
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
		m.end(r, m.expiryReason())
	case !m.localAllowed(r) && !m.peersAllowed(r):
		m.end(r, ReasonDraining)
	case r.pending != nil:
		m.expirePending(r)
	case r.slotless:
		m.schedule(r)
	case m.now >= r.nextReserve && (m.draining || r == m.oldestMovable()):
		m.startReserveRound(r)
	}
}

func (m *Machine) expiryReason() Reason {
	if m.draining {
		return ReasonDraining
	}
	return ReasonDeadline
}

func (m *Machine) startReserveRound(r *request) {
	r.triedPeers, r.nextReserve = nil, m.now+reserveInterval
	m.tryBetterPeer(r)
}
