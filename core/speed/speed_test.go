package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// target draws the times of requests at a target.
type target struct {
	random *rand.Rand
	factor float64
}

// work has the mean work on two routes, in seconds.
var work = [2]float64{0.030, 0.039}

func (t *target) took(route int) time.Duration {
	const deviation, longShare, longFactor = 0.5, 0.03, 7
	s := work[route] * t.factor * math.Exp(deviation*t.random.NormFloat64()-deviation*deviation/2)
	if t.random.Float64() < longShare {
		s *= longFactor
	}
	return time.Duration(s * float64(time.Second))
}

func newTarget(seed uint64, factor float64) *target {
	return &target{rand.New(rand.NewPCG(seed, 3)), factor}
}

const seeds = 200

// deviation returns the mean and the deviation of the logarithm of the estimate
// over many targets, each after the number of requests. The second half of the
// targets gets requests of one route nearly only.
func deviation(requests int) (mean, dev float64) {
	var logs []float64
	for seed := range uint64(seeds) {
		t := newTarget(seed, 1)
		var e Estimator[int]
		share := 0.5
		if seed >= seeds/2 {
			share = 0.9
		}
		for range requests {
			route := 0
			if t.random.Float64() < share {
				route = 1
			}
			e.Observe(route, t.took(route))
		}
		logs = append(logs, math.Log(e.ServiceTime(41*time.Millisecond).Seconds()))
	}
	for _, l := range logs {
		mean += l / seeds
	}
	for _, l := range logs {
		dev += (l - mean) * (l - mean) / seeds
	}
	return mean, math.Sqrt(dev)
}

// Guards against an estimate that follows single requests or the routes of the
// requests: targets of equal speed then look unequal. A moving average with a
// weight of 0.05 has a deviation of 0.19.
func TestEqualTargetsLookEqual(t *testing.T) {
	for _, c := range []struct {
		requests int
		most     float64
	}{{5, 0.12}, {30, 0.1}, {300, 0.07}} {
		_, dev := deviation(c.requests)
		assert.Assert(t, dev < c.most, "deviation %.3f after %d requests", dev, c.requests)
	}
}

// Guards against a report that does not mean the same as that of earlier releases,
// which send the mean time. The work has a mean of 0.041 s.
func TestEstimateIsTheMeanTime(t *testing.T) {
	mean, _ := deviation(300)
	assert.Assert(t, math.Abs(mean-math.Log(0.041)) < 0.06, "%.3f s", math.Exp(mean))
}

// Guards against two targets of different speed that look alike because the fast
// one gets the requests with more work.
func TestSpeedApartFromRoutes(t *testing.T) {
	right := 0
	for seed := range uint64(seeds) {
		fast, slow := newTarget(seed, 0.8), newTarget(seed+seeds, 1)
		var f, s Estimator[int]
		for i := range 150 {
			// The fast target gets 9 requests of the longer route in 10.
			f.Observe(min(i%10, 1), fast.took(min(i%10, 1)))
			s.Observe(1-min(i%10, 1), slow.took(1-min(i%10, 1)))
		}
		if f.ServiceTime(0) < s.ServiceTime(0) {
			right++
		}
	}
	assert.Assert(t, right > seeds*9/10, "the fast target looked faster in %d of %d", right, seeds)
}

// Guards against a target that becomes four times slower and gets the flows of a
// fast one for long.
func TestChangeOfSpeed(t *testing.T) {
	late := 0
	for seed := range uint64(seeds) {
		target := newTarget(seed, 1)
		var e Estimator[int]
		for range 300 {
			e.Observe(0, target.took(0))
		}
		before := e.ServiceTime(0)
		target.factor = 4
		for range 15 {
			e.Observe(0, target.took(0))
		}
		if e.ServiceTime(0) < 2*before {
			late++
		}
	}
	assert.Assert(t, late < seeds/20, "%d of %d not noticed", late, seeds)
}

// Guards against a target that looks fast or slow after one request, and against
// an estimate before the first one.
func TestFewRequests(t *testing.T) {
	var e Estimator[int]
	assert.Equal(t, e.ServiceTime(40*time.Millisecond), time.Duration(0))
	e.Observe(0, 4*time.Millisecond)
	assert.Assert(t, e.ServiceTime(40*time.Millisecond) > 30*time.Millisecond)
	e.Observe(1, 0)
	e.Reset()
	assert.Equal(t, e.ServiceTime(40*time.Millisecond), time.Duration(0))
}

// Guards against a map that grows with the routes.
func TestRoutesAreBounded(t *testing.T) {
	var e Estimator[int]
	for route := range 2 * maxRoutes {
		e.Observe(route, time.Millisecond)
	}
	assert.Equal(t, len(e.routes), maxRoutes)
}
