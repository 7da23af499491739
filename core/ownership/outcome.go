package ownership

import (
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

const (
	// failuresInRow is how many flows in a row a target fails before new ones
	// go elsewhere. A target that fails at once looks idle and fast, so that
	// it would attract all flows.
	failuresInRow = 3
	// successesInRow is how many flows in a row it has to answer to get new
	// ones again.
	successesInRow = 2
	// retryFailing is how often a failing target gets a new flow as a probe.
	retryFailing = 300 * time.Millisecond
)

// outcomes judge the target by what it does with its flows.
type outcomes struct {
	failed, answered int
	failing          bool
	// retryAt is when the next probe may go to a failing target.
	retryAt time.Duration
}

// failed notes that the target reset a flow instead of answering, or answered
// unusually soon and short.
func (m *Machine) failed(now time.Duration, key flow.Key, out *plane.Out) {
	o := &m.outcomes
	o.answered = 0
	if o.failed++; o.failed >= failuresInRow && !o.failing {
		o.failing = true
		out.Event(plane.Event{Kind: plane.EventTargetFails, Flow: key, Value: int64(o.failed)})
	}
	if o.failing {
		o.retryAt = now + retryFailing
	}
}

// answeredRequest notes that the target answered a request.
func (m *Machine) answeredRequest(key flow.Key, out *plane.Out) {
	o := &m.outcomes
	o.failed = 0
	if o.answered++; o.failing && o.answered >= successesInRow {
		o.failing = false
		out.Event(plane.Event{Kind: plane.EventTargetAnswers, Flow: key})
	}
}

// mayProbe reports whether a flow may be given to a failing target to see
// whether it still fails. One that must not be repeated would be lost.
func (m *Machine) mayProbe(now time.Duration, key flow.Key) bool {
	r, ok := m.View.Route(key.Service())
	return now >= m.outcomes.retryAt && ok && r.Kind != fleet.NotIdempotent
}
