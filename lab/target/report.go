package target

import (
	"sync"
	"time"
)

// report is the answer of the load endpoint.
type report struct {
	Busy    int `json:"busy"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

type timedReport struct {
	at time.Time
	report
}

// reports delays load reports by a fixed age.
type reports struct {
	mu   sync.Mutex
	age  time.Duration
	kept []timedReport
}

func newReports(age time.Duration) *reports { return &reports{age: age} }

// exchange stores the newest report and returns the newest one that has
// reached the age, or the oldest one that is there.
func (r *reports) exchange(now time.Time, newest report) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kept = append(r.kept, timedReport{now, newest})
	for len(r.kept) > 1 && now.Sub(r.kept[1].at) >= r.age {
		r.kept = r.kept[1:]
	}
	return r.kept[0].report
}
