package packetplane

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// minSuspension is the difference of the clocks from which a process counts
// as suspended. They are read one after the other.
const minSuspension = 200 * time.Millisecond

// suspensionDetector finds the times in which the VM was suspended. The steady clock
// does not count them, so that the view seems fresh afterwards.
type suspensionDetector struct {
	// bootClock is the time since the start of the VM, suspensions included.
	bootClock func() (time.Duration, error)
	// offset is the last difference between it and the steady clock.
	offset      time.Duration
	offsetKnown bool
}

// bootTime reads the clock that counts suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(t.Nano()), nil
}

// sinceLastCall returns for how long the VM was suspended since the last call.
// now is the monotonic time.
func (s *suspensionDetector) sinceLastCall(now time.Duration) (time.Duration, error) {
	boot, err := s.bootClock()
	if err != nil {
		return 0, err
	}
	gap := boot - now - s.offset
	first := !s.offsetKnown
	s.offset, s.offsetKnown = boot-now, true
	if first || gap < minSuspension {
		return 0, nil
	}
	return gap, nil
}
