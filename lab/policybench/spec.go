// Package policybench compares admission policies in a discrete-event
// simulation. All policies get the same arrivals. It uses no processes, sockets
// or real time, so it does not measure the cost of a decision or the effects of
// a real network.
package policybench

import (
	"fmt"
	"time"
)

// Case is the disturbance in a run. It affects one target, always target 1.
type Case string

// The cases.
const (
	// CasePlain has no disturbance.
	CasePlain Case = "plain"
	// CaseMisreport makes the target's agent report no load in its messages.
	CaseMisreport Case = "misreport"
	// CaseSlow halves the speed from the middle of the run.
	CaseSlow Case = "slow"
	// CaseCold starts the target at a quarter of its speed. The speed rises to
	// its full value over coldStartTime.
	CaseCold Case = "cold"
	// CaseShed makes the target shed a third of the requests that it receives.
	CaseShed Case = "shed"
)

// Cases lists all cases.
var Cases = []Case{CasePlain, CaseMisreport, CaseSlow, CaseCold, CaseShed}

const (
	disturbedTarget = 1
	coldStartTime   = 20 * time.Second
	coldSpeedFactor = 0.25
	shedFraction    = 1.0 / 3
	shedTime        = time.Millisecond
	// flowsPerTarget is the number of open flows per target.
	flowsPerTarget = 2000
	// requestsPerFlow is the mean number of requests of a flow.
	requestsPerFlow = 8
	queuePerSlot    = 4
)

// Spec describes one run.
type Spec struct {
	Policy  string
	Case    Case
	Targets int
	Slots   int
	// SpeedRatio is the speed of the odd targets; the even ones have speed 1.
	SpeedRatio float64
	// Load is the offered load as a fraction of the capacity.
	Load float64
	Seed uint64
	// MinRequests is the minimum number of requests of the run.
	MinRequests int
	// MinTime is the minimum simulated time of the run.
	MinTime time.Duration
	// MeanWork is the mean service time of a request at speed 1. Default 100 ms.
	MeanWork time.Duration
	// Delay is the one-way network delay between agents. Default 1 ms.
	Delay time.Duration
	// Deadline is the time by which a request must start. Default 2 s.
	Deadline time.Duration
}

func (s Spec) withDefaults() Spec {
	s.MinRequests = max(s.MinRequests, 1)
	if s.MeanWork == 0 {
		s.MeanWork = 100 * time.Millisecond
	}
	if s.Delay == 0 {
		s.Delay = time.Millisecond
	}
	if s.Deadline == 0 {
		s.Deadline = 2 * time.Second
	}
	return s
}

func (s Spec) speed(target int) float64 {
	if target%2 == 1 {
		return s.SpeedRatio
	}
	return 1
}

// capacity is the work that all targets can do per unit of time.
func (s Spec) capacity() float64 {
	sum := 0.0
	for i := range s.Targets {
		sum += s.speed(i) * float64(s.Slots)
	}
	return sum
}

// arrivalRate is the number of arrivals per second.
func (s Spec) arrivalRate() float64 { return s.Load * s.capacity() / s.MeanWork.Seconds() }

func (s Spec) requestCount() int {
	return max(s.MinRequests, int(s.MinTime.Seconds()*s.arrivalRate()))
}

// Result is one line of output.
type Result struct {
	Policy     string  `json:"policy"`
	Case       Case    `json:"case"`
	Size       string  `json:"size"`
	SpeedRatio float64 `json:"ratio"`
	Load       float64 `json:"load"`
	Seed       uint64  `json:"seed"`
	Requests   int     `json:"requests"`
	Finished   int     `json:"finished"`
	Imbalance  float64 `json:"imbalance"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	// Refused counts requests that ended without being run.
	Refused int `json:"refused"`
	// HandedOver counts requests sent to a peer.
	HandedOver int `json:"handed_over"`
	Retries    int `json:"retries"`
	// Goodput is the number of requests per second that finished within
	// their deadline.
	Goodput float64 `json:"goodput"`
	// Messages is the number of messages between agents per request.
	Messages   float64 `json:"messages_per_request"`
	SimSeconds float64 `json:"seconds"`
}

func (s Spec) size() string { return fmt.Sprintf("%dx%d", s.Targets, s.Slots) }
