package admission

import "slices"

// peerMessage handles a message from a configured peer. It ignores any other.
func (m *Machine) peerMessage(from PeerID, msg Message) {
	p := m.peers.byID[from]
	if p == nil {
		return
	}
	p.updateLoad(m.now, msg.Load)
	m.mergePeerLoads(msg.PeerLoads)
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
		m.issued.release(p.ID, msg.Token, msg.Grant)
	}
}

func (m *Machine) onReserve(p *peer, msg Message) {
	if g, ok := m.issued.grantFor(p.ID, msg.Token); ok {
		m.send(p, Message{Kind: Grant, Token: msg.Token, Grant: g})
		return
	}
	if !m.acceptsReserve(msg) {
		m.rememberDenied(p, msg)
		m.send(p, Message{Kind: Deny, Token: msg.Token})
		return
	}
	g := m.issued.issue(m.now, p.ID, msg.Token, msg.Slotless)
	m.send(p, Message{Kind: Grant, Token: msg.Token, Grant: g})
}

// acceptsReserve reports whether this agent grants a Reserve.
func (m *Machine) acceptsReserve(msg Message) bool {
	if m.draining || !m.limits.HandOver {
		return false
	}
	if msg.Slotless {
		return !m.atConnectionLimit()
	}
	if msg.ScoreLimit == 0 {
		// Without a limit, the sender cannot run the request itself.
		return m.localOccupied() < m.slots()*(1+m.limits.QueuePerSlot)
	}
	return m.scoresBelow(msg.ScoreLimit) && m.localOccupied() < m.params.peerRequestLimit(m.slots())
}

func (m *Machine) rememberDenied(p *peer, msg Message) {
	if m.draining || msg.Slotless || len(m.denied) >= maxDeniedReserves {
		return
	}
	m.denied = append(m.denied, deniedReserve{p, msg.ScoreLimit, m.now + deniedReserveLifetime})
}

func (m *Machine) onGrant(p *peer, msg Message) {
	if slices.Contains(p.grantsInUse, msg.Grant) {
		return
	}
	r := m.takePending(p, msg.Token)
	if r == nil {
		m.send(p, Message{Kind: Release, Grant: msg.Grant})
		return
	}
	m.useGrant(r, p, msg.Grant)
}

func (m *Machine) onDeny(p *peer, msg Message) {
	waiter := m.pendingByToken[msg.Token]
	if waiter == nil || waiter.pending.peer != p {
		return
	}
	pending := waiter.pending
	r := m.takePending(p, msg.Token)
	if !r.slotless && m.contradictsLoad(p, pending) {
		p.avoid(m.now + contradictionBackoff)
	}
	m.reserveFailed(r)
}

// onOffer hands over the oldest waiting request that may be handed over, if it
// cannot run here or the peer has the better score. Otherwise it releases the
// grant.
func (m *Machine) onOffer(p *peer, msg Message) {
	if !p.newOffer(msg.Grant) {
		return
	}
	if r := m.oldestMovable(); r != nil && (!m.localAllowed(r) || m.scoreAfterGrant(p) < m.peerScoreLimit()) {
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
