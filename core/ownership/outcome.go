package ownership

import (
	"math"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

const (
	// failuresInRow is how many flows in a row a target fails before new flows
	// go to other targets. A target that fails at once looks idle and fast, so
	// without this limit it would attract all flows.
	failuresInRow = 3
	// successesInRow is how many flows in a row a failing target must answer to
	// get all new flows again. A target that fails half of its flows often
	// answers two in a row.
	successesInRow = 4
	// failingRetryInterval is the interval at which a failing target gets a new
	// flow as a test.
	failingRetryInterval = 300 * time.Millisecond
	// healthyFailureShare and failingFailureShare are the shares of failed
	// flows of a healthy and of a failing target. The test decides between
	// these two.
	healthyFailureShare = 0.01
	failingFailureShare = 0.3
)

// The test is Page's cumulative sum (CUSUM). It adds up the log-likelihood ratio
// of each outcome between a failing and a healthy target, so it also finds a
// target that fails only a part of its flows. The sum is never below zero.
var (
	failureWeight    = math.Log(failingFailureShare / healthyFailureShare)
	successWeight    = math.Log((1 - failingFailureShare) / (1 - healthyFailureShare))
	failingThreshold = (failuresInRow - 0.5) * failureWeight
)

// outcomes decides from the results of the flows whether the target is failing.
type outcomes struct {
	score         float64
	answeredInRow int
	failing       bool
	// retryAt is when a failing target may get the next test flow.
	retryAt time.Duration
}

// fail counts a failure and reports whether the target becomes failing by it.
func (o *outcomes) fail() bool {
	o.answeredInRow = 0
	o.score = min(o.score+failureWeight, failuresInRow*failureWeight)
	if o.failing || o.score < failingThreshold {
		return false
	}
	o.failing = true
	return true
}

// succeed counts an answer and reports whether the target becomes healthy again
// by it.
func (o *outcomes) succeed() bool {
	o.score = max(0, o.score+successWeight)
	if o.answeredInRow++; !o.failing || o.answeredInRow < successesInRow {
		return false
	}
	o.failing, o.score = false, 0
	return true
}

// recordFailure records that the target reset a flow instead of answering, or
// that its answer looks like an error.
func (m *Machine) recordFailure(now time.Duration, key flow.Key, out *plane.Out) {
	o := &m.outcomes
	if o.fail() {
		out.Event(plane.Event{Kind: plane.EventTargetFails, Flow: key, Value: int64(o.score * 100)})
	}
	if o.failing {
		o.retryAt = now + failingRetryInterval
	}
}

// recordSuccess records that the target answered a request.
func (m *Machine) recordSuccess(key flow.Key, out *plane.Out) {
	if m.outcomes.succeed() {
		out.Event(plane.Event{Kind: plane.EventTargetAnswers, Flow: key})
	}
}

// mayTestTarget reports whether a flow may go to a failing target to test
// whether it still fails. A request that must not be repeated would be lost if
// it does.
func (m *Machine) mayTestTarget(now time.Duration, key flow.Key) bool {
	r, ok := m.View.Route(key.Service())
	return now >= m.outcomes.retryAt && ok && r.Kind != fleet.NotIdempotent
}
