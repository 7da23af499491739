package admission

import "slices"

// message handles a message of a configured peer; any other is ignored.
func (m *Machine) message(from PeerID, msg Message) {
	p := m.peers.byID[from]
	if p == nil {
		return
	}
	p.heard(m.now, msg.Load)
	m.learn(msg.PeerLoads)
	switch msg.Kind {
	case Reserve:
		m.onReserve(p, msg)
	case Grant:
		m.onGrant(p, msg)
	case Deny:
		m.onDeny(p, msg)
	case Offer:
		m.onOffer(p, msg)
	case Release:
		m.given.release(p.ID, msg.Token, msg.Grant)
	}
}

func (m *Machine) onReserve(p *peer, msg Message) {
	if g, ok := m.given.reserved(p.ID, msg.Token); ok {
		m.send(p, Message{Kind: Grant, Token: msg.Token, Grant: g})
		return
	}
	if !m.hasPlace(msg) {
		m.remember(p, msg)
		m.send(p, Message{Kind: Deny, Token: msg.Token})
		return
	}
	g := m.given.issue(m.now, p.ID, msg.Token, msg.Slotless)
	m.send(p, Message{Kind: Grant, Token: msg.Token, Grant: g})
}

// hasPlace says whether the peer's request is better off here.
func (m *Machine) hasPlace(msg Message) bool {
	if m.draining || !m.limits.HandOver {
		return false
	}
	if msg.Slotless {
		return !m.full()
	}
	if msg.ScoreLimit == 0 {
		// The sender has nowhere else to run it.
		return m.occupied() < m.slots()*(1+m.limits.QueuePerSlot)
	}
	return m.better(msg.ScoreLimit) && m.occupied() < m.tuning.bound(m.slots())
}

func (m *Machine) remember(p *peer, msg Message) {
	if m.draining || msg.Slotless || len(m.wanted) >= maxWants {
		return
	}
	m.wanted = append(m.wanted, want{p, msg.ScoreLimit, m.now + wantLifetime})
}

func (m *Machine) onGrant(p *peer, msg Message) {
	if slices.Contains(p.inUse, msg.Grant) {
		return
	}
	r := m.takeAsk(p, msg.Token)
	if r == nil {
		m.send(p, Message{Kind: Release, Grant: msg.Grant})
		return
	}
	m.granted(r, p, msg.Grant)
}

func (m *Machine) onDeny(p *peer, msg Message) {
	open := m.tokens[msg.Token]
	if open == nil || open.ask.peer != p {
		return
	}
	a := open.ask
	r := m.takeAsk(p, msg.Token)
	if !r.slotless && m.contradicts(p, a) {
		p.avoid(m.now + doubtTime)
	}
	m.askFailed(r)
}

// onOffer sends the oldest waiting request that may go, if the peer is better
// for it.
func (m *Machine) onOffer(p *peer, msg Message) {
	if !p.newOffer(msg.Grant) {
		return
	}
	if r := m.oldestMovable(); r != nil && (!m.localAllowed(r) || m.grantedScore(p) < m.ownLimit()) {
		m.handOver(r, p, msg.Grant)
		return
	}
	m.send(p, Message{Kind: Release, Grant: msg.Grant})
}

func (m *Machine) oldestMovable() *request {
	for _, r := range m.waiting {
		if m.peersAllowed(r) && !r.slotless && !r.hold && m.now < r.deadline {
			return r
		}
	}
	return nil
}
