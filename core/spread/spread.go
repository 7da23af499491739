// Package spread chooses the target for a new flow from the loads of the
// candidates. It handles two load patterns. For short flows with one request
// each, the current queue of a target decides. For long flows with pauses, the
// mean load of the target's open flows decides.
package spread

import (
	"math"
	"net/netip"
	"time"
)

// Candidate is a target that may get the flow.
type Candidate struct {
	Agent netip.Addr
	// Slots is the number of requests that the target serves concurrently.
	Slots int
	// Busy is the number of requests in progress or about to arrive.
	Busy float64
	// Expected is the mean load of the target's open flows, in slots.
	Expected float64
	// ServiceTime is the mean service time of a request, without waiting, or 0
	// if it is not known yet.
	ServiceTime time.Duration
	// Warming says that the target is still warming up and is slow.
	Warming bool
	// Distance is the cost of the target's distance, added to the expected time
	// of a request.
	Distance time.Duration
}

const (
	// defaultServiceTime is used if no candidate's service time is known.
	defaultServiceTime = 30 * time.Millisecond
	// warmingFactor multiplies the service time of a target that is warming up.
	warmingFactor = 1.6
	// maxUtilisation bounds the utilisation in the formula of the mean wait,
	// which has a pole at 1. Above it only the queue counts.
	maxUtilisation = 0.9
	// costTolerance is the relative difference up to which costs count as equal.
	costTolerance = 0.02
)

// Choose returns the index of the candidate with the lowest expected time, or
// -1 if there are no candidates. tie selects among candidates of equal cost. It
// is any number that differs from flow to flow.
func Choose(candidates []Candidate, tie uint64) int {
	fallback := meanServiceTime(candidates)
	best, bestCost, ties := -1, math.Inf(1), uint64(0)
	for i := range candidates {
		cost := candidates[i].cost(fallback)
		switch {
		case cost < bestCost*(1-costTolerance):
			best, bestCost, ties = i, cost, 1
		case cost <= bestCost*(1+costTolerance):
			ties++
			if tie%ties == 0 {
				best = i
			}
			bestCost = min(cost, bestCost)
		}
	}
	return best
}

func meanServiceTime(candidates []Candidate) time.Duration {
	sum, n := time.Duration(0), 0
	for i := range candidates {
		if s := candidates[i].ServiceTime; s > 0 {
			sum += s
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / time.Duration(n)
}

// cost returns the expected time of a request of the flow, in milliseconds.
// fallback is used if the service time of the candidate is not known.
func (c *Candidate) cost(fallback time.Duration) float64 {
	service := c.ServiceTime
	if service == 0 {
		service = fallback
	}
	ms := float64(service) / float64(time.Millisecond)
	if c.Warming {
		ms *= warmingFactor
	}
	slots := float64(max(c.Slots, 1))
	load := max(c.Busy, c.Expected) + 1
	queued := max(0, load-slots) / slots
	return ms*(1+queued+meanWait(load/slots, slots)) + float64(c.Distance)/float64(time.Millisecond)
}

// meanWait returns the mean wait in a queue with several slots, as a multiple of
// the service time, by Sakasegawa's approximation.
func meanWait(utilisation, slots float64) float64 {
	u := min(utilisation, maxUtilisation)
	return math.Pow(u, math.Sqrt(2*(slots+1))) / (slots * (1 - u))
}
