package ownership

import (
	"math"
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
	// ones again. One that fails half of its flows answers two in a row often.
	successesInRow = 4
	// failingRetryInterval is how often a failing target gets a new flow as a probe.
	failingRetryInterval = 300 * time.Millisecond
	// healthyFailureShare and failingShare are the shares of failures between which
	// the test of a target decides.
	healthyFailureShare = 0.01
	failingFailureShare = 0.3
)

// The test adds up how much more likely each outcome is with a failing target
// than with a healthy one (a cumulative sum, after Page), so that a target which
// fails only a part of its flows is found too. Below zero it starts anew.
var (
	failureWeight    = math.Log(failingFailureShare / healthyFailureShare)
	successWeight    = math.Log((1 - failingFailureShare) / (1 - healthyFailureShare))
	failingThreshold = (failuresInRow - 0.5) * failureWeight
)

// outcomes judge the target by what it does with its flows.
type outcomes struct {
	score         float64
	answeredInRow int
	failing       bool
	// retryAt is when the next probe may go to a failing target.
	retryAt time.Duration
}

// fail counts a failure and reports whether it is the one that decides.
func (o *outcomes) fail() bool {
	o.answeredInRow = 0
	o.score = min(o.score+failureWeight, failuresInRow*failureWeight)
	if o.failing || o.score < failingThreshold {
		return false
	}
	o.failing = true
	return true
}

// succeed counts an answer and reports whether the target counts as healthy
// again by it.
func (o *outcomes) succeed() bool {
	o.score = max(0, o.score+successWeight)
	if o.answeredInRow++; !o.failing || o.answeredInRow < successesInRow {
		return false
	}
	o.failing, o.score = false, 0
	return true
}

// recordFailure notes that the target reset a flow instead of answering, or answered
// unusually soon and short.
func (m *Machine) recordFailure(now time.Duration, key flow.Key, out *plane.Out) {
	o := &m.outcomes
	if o.fail() {
		out.Event(plane.Event{Kind: plane.EventTargetFails, Flow: key, Value: int64(o.score * 100)})
	}
	if o.failing {
		o.retryAt = now + failingRetryInterval
	}
}

// recordSuccess notes that the target answered a request.
func (m *Machine) recordSuccess(key flow.Key, out *plane.Out) {
	if m.outcomes.succeed() {
		out.Event(plane.Event{Kind: plane.EventTargetAnswers, Flow: key})
	}
}

// mayTestTarget reports whether a flow may be given to a failing target to see
// whether it still fails. One that must not be repeated would be lost.
func (m *Machine) mayTestTarget(now time.Duration, key flow.Key) bool {
	r, ok := m.View.Route(key.Service())
	return now >= m.outcomes.retryAt && ok && r.Kind != fleet.NotIdempotent
}
