package rto

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// Guards against timeouts that are too short for a process that is short of CPU,
// and against timeouts that stay long after it has recovered.
func TestTimeout(t *testing.T) {
	e := New(40*ms, 250*ms)
	assert.Equal(t, e.Timeout(), 40*ms)
	for range 50 {
		e.Observe(2 * ms)
	}
	assert.Equal(t, e.Timeout(), 40*ms)
	e.TimedOut()
	assert.Equal(t, e.Timeout(), 80*ms)
	for range 5 {
		e.TimedOut()
	}
	assert.Equal(t, e.Timeout(), 250*ms)
	e.Observe(90 * ms)
	assert.Assert(t, e.Timeout() > 90*ms)
	for range 100 {
		e.Observe(3 * ms)
	}
	assert.Equal(t, e.Timeout(), 40*ms)
}
