package admission

import (
	"slices"
	"time"

	"trefoilweir.example/core/verdict"
)

type stage uint8

const (
	// waiting requests have no attempt in progress.
	waiting stage = iota
	// local requests run on the target.
	local
	// handedOver requests are at a peer.
	handedOver
	// ended requests have been answered or refused.
	ended
)

type request struct {
	id         RequestID
	stage      stage
	slotless   bool
	repeatable bool
	// fromPeer reports whether the request came from a peer under a grant.
	fromPeer     bool
	deadline     time.Duration
	attemptStart time.Duration
	runs         int
	handOvers    int
	// lastVerdict is the verdict of the latest attempt. mayHaveRun reports
	// whether the verdict of any attempt was MayHaveRun.
	lastVerdict verdict.Verdict
	mayHaveRun  bool
	// hold keeps the request from starting locally while a Reserve is pending.
	hold bool
	// triedOnOverflow reports whether the request sent a Reserve without a
	// score limit because the queue was full.
	triedOnOverflow bool
	pending         *pendingReserve
	triedPeers      []PeerID
	nextReserve     time.Duration
	peer            *peer
	grant           GrantID
}

func (r *request) attempted() bool { return r.runs+r.handOvers > 0 }

// localAllowed reports whether the request may start here.
func (m *Machine) localAllowed(r *request) bool { return !m.draining && r.runs == 0 }

// peersAllowed reports whether the request may be handed over.
func (m *Machine) peersAllowed(r *request) bool {
	if !m.limits.HandOver || r.fromPeer || len(m.peers.list) == 0 {
		return false
	}
	return r.handOvers == 0 || r.handOvers == 1 && r.lastVerdict == verdict.NotRun
}

func (m *Machine) enqueue(r *request) {
	r.stage = waiting
	m.waiting = append(m.waiting, r)
}

func (m *Machine) dequeue(r *request) {
	m.withdraw(r)
	m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
}

// waitingSnapshot returns a copy of the queue, so that the queue may change
// during iteration.
func (m *Machine) waitingSnapshot() []*request { return slices.Clone(m.waiting) }

func (m *Machine) run(r *request) {
	m.dequeue(r)
	r.stage, r.attemptStart = local, m.now
	r.runs++
	if r.slotless {
		m.connections++
	} else {
		m.running++
	}
	m.emit(Run{ID: r.id})
}

// release removes the request from the queue, or releases what its attempt in
// progress holds.
func (m *Machine) release(r *request) {
	switch r.stage {
	case waiting:
		m.dequeue(r)
	case local:
		if r.slotless {
			m.connections--
		} else {
			m.running--
		}
	case handedOver:
		r.peer.removeGrant(r.grant)
		r.peer = nil
	}
}

// end answers a request that was attempted and refuses any other.
func (m *Machine) end(r *request, reason Reason) {
	m.release(r)
	r.stage = ended
	delete(m.requests, r.id)
	if !r.attempted() {
		m.emit(Refuse{ID: r.id, Reason: reason, RetryAfter: m.retryAfter(reason)})
		return
	}
	v := r.lastVerdict
	// A later NotRun must not hide that an earlier attempt may have run.
	if v == verdict.NotRun && r.mayHaveRun {
		v = verdict.MayHaveRun
	}
	m.emit(Answer{ID: r.id, Verdict: v})
}

// retryAfter returns the time after which a retry of a refused request may
// succeed. It is the estimated wait behind the present queue, but at least a
// second, which is the unit of the header.
func (m *Machine) retryAfter(reason Reason) time.Duration {
	if reason == ReasonCancelled || reason == ReasonGrantExpired {
		return 0
	}
	return max(time.Second, m.estimateWait(len(m.waiting)).Round(time.Second))
}
