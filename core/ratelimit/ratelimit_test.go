package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against more events in some sliding second than the limit allows, for any
// times and changes of the limit, also across a restart of the limiter.
func TestNoSecondExceedsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.SampledFrom([]float64{0.4, 1, 2.5, 7, 40}).Draw(t, "limit")
		now, l := time.Duration(0), New(0)
		var given []time.Duration
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 30).Draw(t, "restart") == 0 {
				l = New(now)
			}
			if l.Allows(now, limit) {
				l.Record(now)
				given = append(given, now)
			}
		}
		length, most := time.Second, int(limit)
		if limit < 1 {
			length, most = time.Duration(float64(time.Second)/limit), 1
		}
		for i, from := range given {
			n := 0
			for _, at := range given[i:] {
				if at-from <= length {
					n++
				}
			}
			assert.Assert(t, n <= most, "%d events in the second from %v, want at most %d", n, from, most)
		}
	})
}

// Guards against a limiter that allows less than the limit, or nothing, after the
// first second, and against one that holds back events without a limit.
func TestLimitIsReached(t *testing.T) {
	l := New(0)
	assert.Assert(t, l.Allows(0, 0) && !l.Allows(0, 5) && !l.Allows(time.Second, 5))
	given := 0
	for now := time.Duration(0); now < 11*time.Second; now += 10 * time.Millisecond {
		if l.Allows(now, 5) {
			l.Record(now)
			given++
		}
	}
	assert.Assert(t, given >= 45, "%d events", given)
	l = New(0)
	l.NothingBefore()
	assert.Assert(t, l.Allows(0, 5))
}

// Guards against memory that grows with the events, and against a limit above what
// is kept that is not kept to.
func TestKeptEventsAreBounded(t *testing.T) {
	l := New(0)
	for range 10 * maxKept {
		l.Record(2 * time.Second)
	}
	assert.Assert(t, len(l.times) <= 2*maxKept)
	assert.Assert(t, !l.Allows(2*time.Second, 1e9))
}
