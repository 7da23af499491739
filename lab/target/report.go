package target

import (
	"sync"
	"time"
)

// loadReport is the response body of LoadPath.
type loadReport struct {
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

type timedReport struct {
	at time.Time
	loadReport
}

// delayedReports delays load reports by a fixed duration.
type delayedReports struct {
	mu      sync.Mutex
	delay   time.Duration
	history []timedReport
}

func newDelayedReports(delay time.Duration) *delayedReports { return &delayedReports{delay: delay} }

// push stores the newest report and returns the newest one that is at least
// delay old. If there is none, it returns the oldest one.
func (r *delayedReports) push(now time.Time, newest loadReport) loadReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history = append(r.history, timedReport{now, newest})
	for len(r.history) > 1 && now.Sub(r.history[1].at) >= r.delay {
		r.history = r.history[1:]
	}
	return r.history[0].loadReport
}
