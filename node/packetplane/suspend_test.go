package packetplane

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

// Guards against a process that resumes after a suspension and refuses flows
// because of a view that it takes for fresh.
func TestSuspensionAgesTheView(t *testing.T) {
	var boot time.Duration
	s := suspensionDetector{bootClock: func() (time.Duration, error) { return boot, nil }}
	view := fleettest.View(0, fleettest.Ready(2)...)
	var last time.Duration
	for _, step := range []struct{ now, boot, gap time.Duration }{
		{time.Second, 100 * time.Second, 0},
		{2 * time.Second, 101*time.Second + minSuspension/2, 0},
		{2100 * time.Millisecond, 106 * time.Second, 4*time.Second + 900*time.Millisecond - minSuspension/2},
		{3 * time.Second, 106*time.Second + 900*time.Millisecond, 0},
	} {
		boot = step.boot
		gap, err := s.sinceLastCall(step.now)
		assert.NilError(t, err)
		assert.Equal(t, gap, step.gap)
		view.RecordSuspension(gap)
		last = step.now
	}
	assert.Equal(t, view.Age(last), last+4800*time.Millisecond)
	fresh := fleet.New()
	fresh.RecordSuspension(time.Second)
	assert.Assert(t, fresh.Age(0) > time.Hour)
}

// Guards against a clock that cannot be read and is taken for one that does not
// advance.
func TestUnreadableClock(t *testing.T) {
	s := suspensionDetector{bootClock: func() (time.Duration, error) { return 0, errors.New("not available") }}
	_, err := s.sinceLastCall(time.Second)
	assert.ErrorContains(t, err, "not available")
}

// Guards against clocks that drift apart on a VM that was never suspended.
func TestBootTimeMatchesMonotonicTime(t *testing.T) {
	start := time.Now()
	s := suspensionDetector{bootClock: bootTime}
	for range 5 {
		gap, err := s.sinceLastCall(time.Since(start))
		assert.NilError(t, err)
		assert.Equal(t, gap, time.Duration(0))
	}
}
