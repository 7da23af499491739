// Package spread chooses the target for a new flow from the loads of the
// candidates. It handles two load patterns. For short flows with one request
// each, the current queue of a target decides. For long flows with pauses, the
// mean load of the target's open flows decides.
//
// The loads are up to some 100 ms old, longer than a request takes, and all homes
// know the same ones. A target therefore offers each free slot to one agent: to
// one at which flows wait, or to the home of a recent flow. See
// docs/design/placement.md.
package spread

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	// Offered says that the target has offered a free slot to this agent alone.
	Offered bool
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
	// staleness is the time in which the flows of other homes count: the interval
	// between two loads of a target. With 25 ms the busiest of 45 uneven targets had
	// 1.42 times the mean at half load in the model, with 100 ms 1.34 times.
	staleness = 100 * time.Millisecond
	// maxOthers bounds the flows of other homes that are assumed, and so the time
	// that a choice takes.
	maxOthers = 200
	// handOverChoices is the number of random targets that are compared for a flow
	// that is handed over.
	handOverChoices = 4
)

// Choose returns the index of the candidate that gets a flow, or -1 if there are
// no candidates. All homes know the same loads, so the flow is placed at a random
// position among those that the other homes are assumed to place meanwhile, each
// at the lowest cost after those before it. An offered slot that costs no more
// goes first, because nobody else was offered it.
//
// rate is the number of flows that this home places in a second. As many homes as
// there are candidates are assumed to place as many each. random is any number that
// differs from flow to flow.
func Choose(candidates []Candidate, rate float64, random uint64) int {
	if len(candidates) == 0 {
		return -1
	}
	others := min(rate*float64(len(candidates))*staleness.Seconds(), maxOthers)
	fallback := meanServiceTime(candidates)
	source := rand.New(rand.NewPCG(random, 0))
	position := int(source.Float64() * (others + 1))
	best, bestCost := fill(candidates, fallback, position, source)
	offered := lowest(candidates, fallback, func(c *Candidate) bool { return c.Offered })
	if offered >= 0 && candidates[offered].cost(fallback) <= bestCost*(1+costTolerance) {
		return offered
	}
	return best
}

// Rate counts the flows that a home places in a second, as a decaying average.
// Its zero value is ready to use.
type Rate struct {
	value float64
	at    time.Duration
}

// rateWindow is the time constant of a Rate.
const rateWindow = 2 * time.Second

// Add records a flow.
func (r *Rate) Add(now time.Duration) {
	r.value, r.at = r.PerSecond(now)+1/rateWindow.Seconds(), now
}

// PerSecond returns the rate at the time now.
func (r *Rate) PerSecond(now time.Duration) float64 {
	return r.value * math.Exp(-float64(now-r.at)/float64(rateWindow))
}

// fill places flows one after the other, each at the lowest cost. It returns the
// candidate and the cost of the flow at the position.
func fill(candidates []Candidate, fallback time.Duration, position int, source *rand.Rand) (best int, bestCost float64) {
	filled := slices.Clone(candidates)
	costs := make([]float64, len(filled))
	for i := range filled {
		costs[i] = filled[i].cost(fallback) * (1 + costTolerance*source.Float64())
	}
	for n := 0; ; n++ {
		best = 0
		for i := range costs {
			if costs[i] < costs[best] {
				best = i
			}
		}
		if n == position {
			return best, costs[best]
		}
		filled[best].Busy++
		filled[best].Expected++
		costs[best] = filled[best].cost(fallback) * (1 + costTolerance*source.Float64())
	}
}

// ChooseHandOver returns the index of the candidate to which the agent of a full
// target hands over a flow, or -1 if the flow is to wait. own is the load of the
// full target. A candidate must seem to have a free slot and serve the flow
// sooner.
func ChooseHandOver(own Candidate, candidates []Candidate, random uint64) int {
	fallback := meanServiceTime(candidates)
	sooner := func(c *Candidate) bool { return c.cost(fallback) < own.cost(fallback) }
	if i := lowest(candidates, fallback, func(c *Candidate) bool { return c.Offered }); i >= 0 && sooner(&candidates[i]) {
		return i
	}
	i := draw(candidates, fallback, handOverChoices, random, func(c *Candidate) bool { return c.Busy < float64(c.Slots) })
	if i < 0 || !sooner(&candidates[i]) {
		return -1
	}
	return i
}

// ServesSooner reports whether the free slot of other serves a flow sooner than
// own, where it would wait.
func ServesSooner(own, other Candidate) bool {
	fallback := meanServiceTime([]Candidate{own, other})
	return other.cost(fallback) < own.cost(fallback)
}

// lowest returns the index of the candidate with the lowest cost of those for
// which usable returns true, or -1.
func lowest(candidates []Candidate, fallback time.Duration, usable func(*Candidate) bool) int {
	best, bestCost := -1, math.Inf(1)
	for i := range candidates {
		if !usable(&candidates[i]) {
			continue
		}
		if cost := candidates[i].cost(fallback); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// draw draws up to n different candidates at random, in proportion to their
// capacity, of those for which usable returns true. It returns the index of the
// one with the lowest cost, or -1 if there is none.
func draw(candidates []Candidate, fallback time.Duration, n int, random uint64, usable func(*Candidate) bool) int {
	weights, sum := make([]float64, len(candidates)), 0.0
	for i := range candidates {
		if usable(&candidates[i]) {
			weights[i] = candidates[i].capacity(fallback)
			sum += weights[i]
		}
	}
	source := rand.New(rand.NewPCG(random, 0))
	best, bestCost := -1, math.Inf(1)
	for range n {
		i := pick(weights, source.Float64()*sum)
		if i < 0 {
			break
		}
		if cost := candidates[i].cost(fallback); cost < bestCost {
			best, bestCost = i, cost
		}
		sum -= weights[i]
		weights[i] = 0
	}
	return best
}

// pick returns the index at which the sum of the weights exceeds x, or -1 if all
// weights are 0.
func pick(weights []float64, x float64) int {
	last := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if x -= w; x < 0 {
			break
		}
	}
	return last
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

// serviceTime returns the mean time of a request at the candidate now, in
// milliseconds.
func (c *Candidate) serviceTime(fallback time.Duration) float64 {
	service := c.ServiceTime
	if service == 0 {
		service = fallback
	}
	ms := float64(service) / float64(time.Millisecond)
	if c.Warming {
		ms *= warmingFactor
	}
	return ms
}

// capacity returns the number of requests that the candidate serves in a
// millisecond.
func (c *Candidate) capacity(fallback time.Duration) float64 {
	return float64(max(c.Slots, 1)) / c.serviceTime(fallback)
}

// cost returns the expected time of a request of the flow, in milliseconds.
// fallback is used if the service time of the candidate is not known.
func (c *Candidate) cost(fallback time.Duration) float64 {
	ms := c.serviceTime(fallback)
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
