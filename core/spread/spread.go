// Package spread chooses the target for a new flow from the loads of the
// candidates. It answers two patterns: short flows that carry one request
// each, for which the queue at this moment decides, and long flows with
// pauses, for which the mean load of the open flows decides.
package spread

import (
	"math"
	"net/netip"
	"time"
)

// Candidate is a target that may take the flow.
type Candidate struct {
	Agent netip.Addr
	// Slots is the number of requests that it runs at a time.
	Slots int
	// Busy is the number of requests in progress or about to arrive.
	Busy float64
	// Expected is the load of its open flows on average, in slots.
	Expected float64
	// ServiceTime is the mean time of a request that does not wait, 0 if it
	// is not known yet.
	ServiceTime time.Duration
	// Warming says that the target started a short while ago and is slow.
	Warming bool
	// Distance is the price of serving the flow from there, as time.
	Distance time.Duration
}

const (
	// defaultServiceTime stands for one that no candidate knows.
	defaultServiceTime = 30 * time.Millisecond
	// warmingFactor is by how much a target is slower after its start.
	warmingFactor = 1.6
	// maxUtilisation bounds the utilisation in the formula of the mean wait,
	// which has a pole at 1. Above it only the queue counts.
	maxUtilisation = 0.9
	// costTolerance is the relative difference below which costs count as the same.
	costTolerance = 0.02
)

// Choose returns the index of the candidate with the lowest expected time, or
// -1 if there is none. tie decides between candidates that are as good; it is
// any number that differs from flow to flow.
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

// cost is the expected time of a request of the flow in milliseconds.
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

// meanWait is the mean wait in a queue with several slots as a multiple of the
// service time, by Sakasegawa's approximation.
func meanWait(utilisation, slots float64) float64 {
	u := min(utilisation, maxUtilisation)
	return math.Pow(u, math.Sqrt(2*(slots+1))) / (slots * (1 - u))
}
