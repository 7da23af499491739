package fleet

import (
	"net/netip"
	"time"
)

// maxStateAge bounds the age of a state that a peer may tell.
const maxStateAge = time.Hour

// ColdUntil returns until when the newest listed target on a VM is warming up, and
// whether one is listed. The entry says how long the target still was at the time
// when it was written. The view knows the latest time at which that may have been:
// when the first process learned the state. So the result is never too early, and
// too late by at most the time that the platform took to tell the change, or after a
// listing by the time between two writes. A delta tells the age of the state, so a
// view that gets it later has the same result.
func (v *View) ColdUntil(vm netip.Addr) (until time.Duration, listed bool) {
	e := v.index.entryAt(vm)
	if e == nil {
		return 0, false
	}
	return e.writtenAt + time.Duration(e.target.WarmupMS)*time.Millisecond, true
}

// WarmupLimit returns how many new flows a target of a service may get in a second
// while it is warming up, or 0 if there is no limit.
func (v *View) WarmupLimit(service string) float64 { return v.warmupLimits[service] }

// warmupLimits returns the services that have a limit.
func (c *Config) warmupLimits() map[string]float64 {
	limits := map[string]float64{}
	for _, s := range c.Services {
		if s.WarmupPerSecond > 0 {
			limits[s.Name] = s.WarmupPerSecond
		}
	}
	return limits
}
