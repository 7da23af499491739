package ownership

import (
	"slices"
	"time"
)

// probeTimes has the times of the probes of one flow in probeWindow, oldest
// first.
type probeTimes []time.Duration

// add records a probe.
func (t *probeTimes) add(now time.Duration) {
	*t = append(slices.DeleteFunc(*t, func(at time.Duration) bool { return now-at > probeWindow }), now)
}

// count returns the number of probes in the window that ends now.
func (t probeTimes) count(now time.Duration) (n int) {
	for _, at := range t {
		if now-at <= probeWindow {
			n++
		}
	}
	return n
}
