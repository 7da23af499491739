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
		if m.free() <= 0 && !r.granted {
			return
		}
		if m.running < m.slots() && !r.slotless && !r.hold && m.localAllowed(r) {
			m.run(r)
		}
	}
}

// offerFree gives free slots to peers whose requests were denied before.
func (m *Machine) offerFree() {
	m.wanted = slices.DeleteFunc(m.wanted, func(w want) bool { return w.expires <= m.now })
	for m.free() > 0 && len(m.wanted) > 0 && !m.draining && m.limits.HandOver {
		w := m.wanted[0]
		if m.peers.byID[w.peer.ID] != w.peer {
			m.wanted = m.wanted[1:]
			continue
		}
		if w.score > 0 && m.ownScore(m.occupied()) >= w.score {
			return
		}
		m.wanted = m.wanted[1:]
		g := m.given.issue(m.now, w.peer.ID, 0, false)
		m.send(w.peer, Message{Kind: Offer, Grant: g})
	}
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
	case len(r.asks) > 0:
		m.expireAsks(r)
	case m.now >= r.nextAsk:
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
