// Package rto estimates how long to wait for an answer before the question
// goes to somebody else, in the manner of RFC 6298: the mean of the answers'
// times and four times their deviation, doubled after each time-out. A process
// that is short of CPU then waits longer instead of asking everybody.
package rto

import "time"

const (
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	timeoutDeviations = 4
	upperDeviations   = 2
	backoffFactor     = 2
)

// Estimator is the estimate for one kind of question. The zero value is not
// usable.
type Estimator struct {
	lowest, highest time.Duration
	mean, deviation float64
	multiplier      float64
	observed        bool
}

// New returns an Estimator whose time-outs are within two bounds. Without
// answers it gives the lower one.
func New(lowest, highest time.Duration) *Estimator {
	return &Estimator{lowest: lowest, highest: highest, multiplier: 1}
}

// Observe notes the time of an answer.
func (e *Estimator) Observe(took time.Duration) {
	e.multiplier = 1
	t := float64(took)
	if !e.observed {
		e.mean, e.deviation, e.observed = t, t/2, true
		return
	}
	diff := t - e.mean
	e.deviation += deviationWeight * (max(diff, -diff) - e.deviation)
	e.mean += meanWeight * diff
}

// Mean returns the mean time of an answer, 0 without answers.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// UpperEstimate returns the time in which nearly all answers come, 0 without answers.
func (e *Estimator) UpperEstimate() time.Duration {
	return time.Duration(e.mean + upperDeviations*e.deviation)
}

// TimedOut notes that an answer did not come in time.
func (e *Estimator) TimedOut() {
	if e.Timeout() < e.highest {
		e.multiplier *= backoffFactor
	}
}

// Timeout returns how long to wait.
func (e *Estimator) Timeout() time.Duration {
	t := time.Duration(e.mean + timeoutDeviations*e.deviation)
	return min(time.Duration(float64(max(t, e.lowest))*e.multiplier), e.highest)
}
