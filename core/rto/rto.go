// Package rto estimates how long to wait for an answer before a request is sent
// to another process. As in RFC 6298, the timeout is the mean time of the
// answers plus four times their deviation, and it doubles after each timeout.
// A process that is short of CPU thus waits longer instead of sending more
// requests.
package rto

import "time"

const (
	meanWeight        = 1.0 / 8
	deviationWeight   = 1.0 / 4
	timeoutDeviations = 4
	upperDeviations   = 2
	backoffFactor     = 2
)

// Estimator estimates the timeout for one kind of request. Its zero value is not
// usable.
type Estimator struct {
	lowest, highest time.Duration
	mean, deviation float64
	multiplier      float64
	observed        bool
}

// New returns an Estimator whose timeouts are between lowest and highest. Until
// the first answer, the timeout is lowest.
func New(lowest, highest time.Duration) *Estimator {
	return &Estimator{lowest: lowest, highest: highest, multiplier: 1}
}

// Observe records the time that an answer took, and resets the backoff.
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

// Mean returns the mean time of the answers, or 0 if there were none.
func (e *Estimator) Mean() time.Duration { return time.Duration(e.mean) }

// UpperEstimate returns the time within which nearly all answers arrive, or 0 if
// there were none: the mean plus twice the deviation.
func (e *Estimator) UpperEstimate() time.Duration {
	return time.Duration(e.mean + upperDeviations*e.deviation)
}

// TimedOut records that an answer did not arrive in time. It doubles the
// timeout up to the highest one.
func (e *Estimator) TimedOut() {
	if e.Timeout() < e.highest {
		e.multiplier *= backoffFactor
	}
}

// Timeout returns how long to wait for an answer.
func (e *Estimator) Timeout() time.Duration {
	t := time.Duration(e.mean + timeoutDeviations*e.deviation)
	return min(time.Duration(float64(max(t, e.lowest))*e.multiplier), e.highest)
}
