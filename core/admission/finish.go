package admission

import "trefoilweir.example/core/verdict"

func (m *Machine) runDone(ev Done) {
	r := m.requests[ev.ID]
	if r == nil || r.stage != local {
		return
	}
	if ev.Verdict == verdict.Ran && !r.slotless {
		m.meter.addServiceTime(m.now - r.attemptStart)
	}
	m.attemptEnded(r, ev.Verdict, ev.Shed)
}

func (m *Machine) peerResult(ev PeerResult) {
	r := m.requests[ev.ID]
	if r == nil || r.stage != handedOver || r.peer.ID != ev.Peer {
		return
	}
	if ev.Verdict == verdict.Ran && !r.slotless {
		r.peer.addServiceTime(m.now - r.attemptStart)
	}
	if ev.Verdict != verdict.Ran {
		r.peer.avoid(m.now + failureBackoff)
	}
	m.attemptEnded(r, ev.Verdict, ev.Shed)
}

// attemptEnded returns the request to the queue if the verdict allows another
// attempt. Otherwise it ends the request.
func (m *Machine) attemptEnded(r *request, v verdict.Verdict, shed bool) {
	m.release(r)
	r.lastVerdict = v
	r.mayHaveRun = r.mayHaveRun || v == verdict.MayHaveRun
	r.hold, r.triedPeers, r.nextReserve = false, nil, m.now
	m.enqueue(r)
	if !m.mayAttemptAgain(r, shed) {
		m.end(r, "")
		return
	}
	m.schedule(r)
}

func (m *Machine) mayAttemptAgain(r *request, shed bool) bool {
	if r.lastVerdict == verdict.Ran || r.fromPeer || !m.localAllowed(r) && !m.peersAllowed(r) {
		return false
	}
	if m.now >= r.deadline {
		return false
	}
	if r.lastVerdict == verdict.MayHaveRun && !r.repeatable {
		return false
	}
	isRetry := r.lastVerdict == verdict.MayHaveRun || shed
	return !isRetry || m.budget.take(m.now, m.limits.RetryBudgetPercent)
}

func (m *Machine) cancel(id RequestID) {
	r := m.requests[id]
	if r == nil {
		return
	}
	// An aborted attempt may have run.
	if r.stage == local || r.stage == handedOver {
		r.lastVerdict, r.mayHaveRun = verdict.MayHaveRun, true
	}
	m.end(r, ReasonCancelled)
}
