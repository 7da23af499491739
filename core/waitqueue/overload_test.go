package waitqueue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// overload simulates a target that gets more flows than it can serve for some
// time, as after the loss of all VMs.
type overload struct {
	slots     int
	objective time.Duration
	// load is the arrival rate as a multiple of the target's capacity.
	load float64
	// margin is the number of deviations that are added to the mean answer
	// time.
	margin float64
}

const (
	meanServiceTime  = 40 * time.Millisecond
	overloadDuration = 3 * time.Second
	// networkDelay is the time from admission to the start of the request, and
	// from the answer to its arrival at the caller.
	networkDelay = 10 * time.Millisecond
	// objective is the objective of all flows.
	objective = 200 * time.Millisecond
)

// meanInTime returns the fraction of the capacity that was spent on answers in
// time, as a mean over several seeds.
func (o overload) meanInTime() float64 {
	const seeds = 10
	sum := 0.0
	for seed := range uint64(seeds) {
		sum += o.simulate(seed)
	}
	return sum / seeds
}

// simulate returns the fraction of the capacity that was spent on answers in
// time, for one seed.
func (o overload) simulate(seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 1))
	capacity := float64(o.slots) / meanServiceTime.Seconds()
	const sigma = 0.5
	serviceTime := func() time.Duration {
		return time.Duration(float64(meanServiceTime) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
	}
	const deviation = 0.4
	answerTime := meanServiceTime + networkDelay + time.Duration(o.margin*deviation*float64(meanServiceTime))
	q := New[int, struct{}](256)
	free := make([]time.Duration, o.slots)
	inTime, next := 0, time.Duration(0)
	for n := 0; ; n++ {
		next += time.Duration(random.ExpFloat64() / (o.load * capacity) * float64(time.Second))
		for q.Len() > 0 {
			slot := slices.Index(free, slices.Min(free))
			now := free[slot]
			if now > next {
				break
			}
			it, _ := q.Pop(now, answerTime)
			now = max(now, it.Since)
			free[slot] = now + serviceTime()
			if free[slot]+networkDelay-it.Since <= it.Objective {
				inTime++
			}
		}
		if next > overloadDuration {
			break
		}
		q.Push(Item[int, struct{}]{Key: n, Since: next, Objective: o.objective, Timeout: 1350 * time.Millisecond}, next, answerTime)
	}
	return float64(inTime) / (capacity * overloadDuration.Seconds())
}

// Guards against an overloaded target that spends its capacity on answers that
// arrive slightly late. If flows are served in the order of arrival, each flow
// is served at the limit of its objective. Without a margin for the spread of
// the answer times, 0.70 (7 slots) and 0.78 (2 slots) of the capacity went into
// answers in time.
func TestOverloadServesInTime(t *testing.T) {
	const least = 0.92
	for _, slots := range []int{2, 7} {
		for _, ratio := range []float64{1.5, 2.5} {
			part := overload{slots, objective, ratio, 2}.meanInTime()
			assert.Assert(t, part >= least, "%d slots at %.1f of the capacity: %.3f in time", slots, ratio, part)
		}
	}
}

// Guards against a margin that makes flows late that could be served in time,
// while the target is hardly overloaded.
func TestMarginWithoutOverload(t *testing.T) {
	for _, slots := range []int{2, 7} {
		for _, ratio := range []float64{0.9, 1.1} {
			o := overload{slots, objective, ratio, 2}
			without := o
			without.margin = 0
			assert.Assert(t, o.meanInTime() >= without.meanInTime(), "%d slots at %.1f of the capacity", slots, ratio)
		}
	}
}
