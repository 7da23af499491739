package packetplane

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
)

// leastSuspension is the difference of the clocks from which a process counts
// as suspended. They are read one after the other.
const leastSuspension = 200 * time.Millisecond

// suspensions finds the times in which the VM was suspended. The steady clock
// does not count them, so that the view seems fresh afterwards.
type suspensions struct {
	// boot is the time since the start of the VM, suspensions included.
	boot func() (time.Duration, error)
	// offset is the last difference between it and the steady clock.
	offset time.Duration
	known  bool
}

// bootTime reads the clock that counts suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(t.Nano()), nil
}

// since returns how long the VM was suspended since the last call. now is the
// steady time.
func (s *suspensions) since(now time.Duration) (time.Duration, error) {
	boot, err := s.boot()
	if err != nil {
		return 0, err
	}
	gap := boot - now - s.offset
	first := !s.known
	s.offset, s.known = boot-now, true
	if first || gap < leastSuspension {
		return 0, nil
	}
	return gap, nil
}
