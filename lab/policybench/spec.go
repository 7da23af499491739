// Package policybench measures admission policies at the level of their
// decisions. One event loop drives all policies with the same arrivals; no
// process, socket or real time is involved, so it says nothing about the cost
// of a decision or the effects of a real network.
package policybench

import (
	"fmt"
	"time"
)

// Case is a disturbance of one target, always target 1.
type Case string

// The cases.
const (
	// CasePlain has no disturbance.
	CasePlain Case = "plain"
	// CaseMisreport has the agent report no load in its messages.
	CaseMisreport Case = "misreport"
	// CaseSlow halves the speed from the middle of the run on.
	CaseSlow Case = "slow"
	// CaseCold starts at a quarter of the speed, which rises over coldTime.
	CaseCold Case = "cold"
	// CaseShed has the target shed a third of the requests it is given.
	CaseShed Case = "shed"
)

// Cases lists all cases.
var Cases = []Case{CasePlain, CaseMisreport, CaseSlow, CaseCold, CaseShed}

const (
	disturbed  = 1
	coldTime   = 20 * time.Second
	coldFactor = 0.25
	shedShare  = 1.0 / 3
	shedTime   = time.Millisecond
	// flowsPerTarget is the number of open connections of a target.
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
	// Load is the offered load over the capacity.
	Load float64
	Seed uint64
	// MinRequests is the least number of requests of the run.
	MinRequests int
	// MinTime is the least simulated time of the run.
	MinTime time.Duration
	// MeanWork is the mean time a request takes at speed 1. Default 100 ms.
	MeanWork time.Duration
	// Delay is the one-way delay between agents. Default 1 ms.
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

// capacity is the work that all targets do per unit of time.
func (s Spec) capacity() float64 {
	sum := 0.0
	for i := range s.Targets {
		sum += s.speed(i) * float64(s.Slots)
	}
	return sum
}

// rate is the number of arrivals per second.
func (s Spec) rate() float64 { return s.Load * s.capacity() / s.MeanWork.Seconds() }

func (s Spec) total() int {
	return max(s.MinRequests, int(s.MinTime.Seconds()*s.rate()))
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
	// Refused counts requests answered as not run.
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
