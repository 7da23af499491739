// Package ratelimit bounds how many events happen in any sliding second. It has no
// clock: the current time is a parameter, and it must not go back.
package ratelimit

import (
	"slices"
	"time"
)

const (
	// window is the time in which the events are counted. It is longer than a second
	// by the time by which the delivery of two events may differ.
	window = time.Second + 50*time.Millisecond
	// maxKept bounds the events that are kept, and so the greatest limit.
	maxKept = 4096
)

// Limiter counts the events of the last second. It is not safe for concurrent use.
type Limiter struct {
	// times has the times of the latest events, in order.
	times     []time.Duration
	startedAt time.Duration
	// assumeEarlier says that there may have been events before startedAt.
	assumeEarlier bool
}

// New returns a Limiter that starts at the time now. It assumes that the limit of
// the second before was used up, because a process that restarts does not know the
// events of its last run.
func New(now time.Duration) *Limiter { return &Limiter{startedAt: now, assumeEarlier: true} }

// NothingBefore records that there were no events before the start.
func (l *Limiter) NothingBefore() { l.assumeEarlier = false }

// Allows reports whether another event at the time now keeps the limit in every
// second. A limit that is not a whole number is rounded down; below 1 it allows one
// event in the time that it states. A limit of 0 allows all events.
func (l *Limiter) Allows(now time.Duration, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	count, length := int(min(perSecond, maxKept)), window
	if count == 0 {
		count, length = 1, time.Duration(min(float64(window)/perSecond, float64(24*time.Hour)))
	}
	if l.assumeEarlier && now-l.startedAt <= length {
		return false
	}
	return len(l.times) < count || now-l.times[len(l.times)-count] > length
}

// Record records an event at the time now, whether or not it was allowed.
func (l *Limiter) Record(now time.Duration) {
	if len(l.times) >= 2*maxKept {
		l.times = slices.Delete(l.times, 0, len(l.times)-maxKept)
	}
	l.times = append(l.times, now)
}
