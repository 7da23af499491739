package packetplane

import (
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"
	"trefoilweir.example/node/telemetry"
)

// minSuspension is the smallest change of the difference between the clocks that
// counts as a suspension. The clocks are read one after the other.
const minSuspension = 200 * time.Millisecond

// suspensionDetector detects suspensions of the VM. The monotonic clock does not
// count them, so the view would seem fresh after one.
type suspensionDetector struct {
	// bootClock returns the time since the start of the VM, including
	// suspensions.
	bootClock func() (time.Duration, error)
	// offset is the last difference between the boot clock and the monotonic
	// clock.
	offset      time.Duration
	offsetKnown bool
}

// bootTime reads the clock that includes suspensions.
func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, trace.Wrap(err)
	}
	return time.Duration(t.Nano()), nil
}

// sinceBoot returns the time from the start of the VM to now, or 0 if the clock
// does not tell it.
func (p *Process) sinceBoot() time.Duration {
	if !p.Settings.BootClock {
		return 0
	}
	boot, err := p.suspensions.bootClock()
	if err != nil {
		p.Log.Warn("cannot read the boot clock; the start of the VM is not known", telemetry.Error(err))
		return 0
	}
	return boot
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
