package admission

import "trefoilweir.example/core/verdict"

func (m *Machine) done(ev Done) {
	r := m.requests[ev.ID]
	if r == nil || r.stage != local {
		return
	}
	if ev.Verdict == verdict.Ran && !r.slotless {
		m.meter.served(m.now - r.began)
	}
	m.attemptEnded(r, ev.Verdict, ev.Shed)
}

func (m *Machine) peerResult(ev PeerResult) {
	r := m.requests[ev.ID]
	if r == nil || r.stage != away || r.peer.ID != ev.Peer {
		return
	}
	if ev.Verdict == verdict.Ran && !r.slotless {
		r.peer.answered(m.now - r.began)
	}
	if ev.Verdict != verdict.Ran {
		r.peer.avoid(m.now + silenceTime)
	}
	m.attemptEnded(r, ev.Verdict, ev.Shed)
}

// attemptEnded answers the request or, if the verdict allows another attempt,
// lets it wait for one.
func (m *Machine) attemptEnded(r *request, v verdict.Verdict, shed bool) {
	m.leave(r)
	r.last = v
	r.mayHaveRun = r.mayHaveRun || v == verdict.MayHaveRun
	r.hold, r.tried, r.nextAsk = false, nil, m.now
	m.enqueue(r)
	if !m.mayAttemptAgain(r, shed) {
		m.end(r, "")
		return
	}
	m.place(r)
}

func (m *Machine) mayAttemptAgain(r *request, shed bool) bool {
	if r.last == verdict.Ran || r.granted || !m.localAllowed(r) && !m.peersAllowed(r) {
		return false
	}
	if m.now >= r.deadline {
		return false
	}
	if r.last == verdict.MayHaveRun && !r.repeatable {
		return false
	}
	isRetry := r.last == verdict.MayHaveRun || shed
	return !isRetry || m.budget.take(m.now, m.limits.RetryBudgetPercent)
}

func (m *Machine) cancel(id RequestID) {
	r := m.requests[id]
	if r == nil {
		return
	}
	// An attempt that was aborted may have run.
	if r.stage == local || r.stage == away {
		r.last, r.mayHaveRun = verdict.MayHaveRun, true
	}
	m.end(r, ReasonCancelled)
}
