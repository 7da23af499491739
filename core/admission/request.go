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
	// away requests were handed over.
	away
	// ended requests have been answered or refused.
	ended
)

type request struct {
	id         RequestID
	stage      stage
	slotless   bool
	repeatable bool
	// granted says that the request came from a peer, with a grant.
	granted  bool
	deadline time.Duration
	began    time.Duration
	runs     int
	handOver int
	// last is the verdict of the latest attempt; mayHaveRun remembers that
	// any attempt may have run.
	last       verdict.Verdict
	mayHaveRun bool
	// hold keeps the request from starting locally while it asks.
	hold bool
	// overflowed says that the request asked without a limit because the
	// queue had no room.
	overflowed bool
	ask        *ask
	tried      []PeerID
	nextAsk    time.Duration
	peer       *peer
	grant      GrantID
}

func (r *request) attempted() bool { return r.runs+r.handOver > 0 }

// localAllowed says whether the rules let the request start here.
func (m *Machine) localAllowed(r *request) bool { return !m.draining && r.runs == 0 }

// peersAllowed says whether the rules let the request be handed over.
func (m *Machine) peersAllowed(r *request) bool {
	if !m.limits.HandOver || r.granted || len(m.peers.list) == 0 {
		return false
	}
	return r.handOver == 0 || r.handOver == 1 && r.last == verdict.NotRun
}

func (m *Machine) enqueue(r *request) {
	r.stage = waiting
	m.waiting = append(m.waiting, r)
}

func (m *Machine) dequeue(r *request) {
	m.withdraw(r)
	m.waiting = slices.DeleteFunc(m.waiting, func(o *request) bool { return o == r })
}

// snapshot allows the queue to change during iteration.
func (m *Machine) snapshot() []*request { return slices.Clone(m.waiting) }

func (m *Machine) run(r *request) {
	m.dequeue(r)
	r.stage, r.began = local, m.now
	r.runs++
	if r.slotless {
		m.connections++
	} else {
		m.running++
	}
	m.emit(Run{ID: r.id})
}

// leave frees what the attempt in progress holds.
func (m *Machine) leave(r *request) {
	switch r.stage {
	case waiting:
		m.dequeue(r)
	case local:
		if r.slotless {
			m.connections--
		} else {
			m.running--
		}
	case away:
		r.peer.release(r.grant)
		r.peer = nil
	}
}

// end answers a request that was attempted, and refuses any other.
func (m *Machine) end(r *request, why Reason) {
	m.leave(r)
	r.stage = ended
	delete(m.requests, r.id)
	if !r.attempted() {
		m.emit(Refuse{ID: r.id, Reason: why, RetryAfter: m.retryAfter(why)})
		return
	}
	v := r.last
	// A later NotRun must not hide that an earlier attempt may have run.
	if v == verdict.NotRun && r.mayHaveRun {
		v = verdict.MayHaveRun
	}
	m.emit(Answer{ID: r.id, Verdict: v})
}

// retryAfter estimates when a refused request has a chance: after the present
// queue, and not before a second, the unit of the header.
func (m *Machine) retryAfter(why Reason) time.Duration {
	if why == ReasonCancelled || why == ReasonGrantExpired {
		return 0
	}
	return max(time.Second, m.waitFor(len(m.waiting)).Round(time.Second))
}
