package spread

import (
	"fmt"
	"math"
	"testing"
	"time"

	"trefoilweir.example/core/speed"
)

// movingMean is the estimator before the estimate apart from routes: a moving
// average over all requests.
type movingMean struct{ mean float64 }

func (e *movingMean) observe(_ float64, _ int, took float64) {
	const weight = 0.05
	if e.mean == 0 {
		e.mean = took
	}
	e.mean += weight * (took - e.mean)
}

func (e *movingMean) serviceTime(*model, *modelTarget) float64 { return e.mean }

// exactSpeed knows the speed of its target.
type exactSpeed struct{}

func (exactSpeed) observe(float64, int, float64)                {}
func (exactSpeed) serviceTime(_ *model, t *modelTarget) float64 { return meanWork() / t.speed }

// byRoute is the estimate of package speed.
type byRoute struct{ speed.Estimator[int] }

func (e *byRoute) observe(_ float64, route int, took float64) {
	e.Observe(route, time.Duration(took*float64(time.Second)))
}

func (e *byRoute) serviceTime(_ *model, t *modelTarget) float64 {
	return e.ServiceTime(meanServiceTimeOrZero(t)).Seconds()
}

func meanServiceTimeOrZero(t *modelTarget) time.Duration {
	sum, n := time.Duration(0), 0
	for i := range t.view {
		if s := t.view[i].ServiceTime; s > 0 && i != t.index {
			sum += s
			n++
		}
	}
	return sum / time.Duration(max(n, 1))
}

func newByRoute() estimator { return &byRoute{} }

func newMovingMean() estimator { return &movingMean{} }
func newExactSpeed() estimator { return exactSpeed{} }

// chooseLowest is the choice before this package compared few random
// candidates: the lowest expected time of all.
func chooseLowest(m *model, home *modelTarget) int {
	return index(lowestCost(m.candidates(home, -1), m.random.Uint64()))
}

func lowestCost(candidates []Candidate, tie uint64) Candidate {
	const costTolerance = 0.02
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
	return candidates[best]
}

func chooseRandom(m *model, _ *modelTarget) int { return m.random.IntN(m.targets) }

// chooseTwo takes the better of two random targets by queue.
func chooseTwo(m *model, home *modelTarget) int {
	list := m.candidates(home, -1)
	a, b := list[m.random.IntN(len(list))], list[m.random.IntN(len(list))]
	if b.Busy < a.Busy {
		a = b
	}
	return index(a)
}

func choose(m *model, home *modelTarget) int {
	list := m.candidates(home, -1)
	home.rate.Add(seconds(m.now))
	to := list[Choose(list, home.rate.PerSecond(seconds(m.now)), m.random.Uint64())]
	home.offers.Take(to.Agent)
	return index(to)
}

func handOver(m *model, at *modelTarget) int {
	list := m.candidates(at, at.index)
	i := ChooseHandOver(m.candidate(at), list, m.random.Uint64())
	if i < 0 {
		return -1
	}
	at.offers.Take(list[i].Agent)
	return index(list[i])
}

var unevenService = scenario{name: "uneven", targets: 45, slots: 2, lowSpeed: 0.55, highSpeed: 1.2, homes: 20, dataCentres: 3, longShare: 0.4}

// evenService returns a service whose targets are equally fast.
func evenService(targets, slots, dataCentres int) scenario {
	return scenario{name: fmt.Sprintf("%dx%d/%d", targets, slots, dataCentres), targets: targets, slots: slots, lowSpeed: 1, highSpeed: 1, homes: targets, dataCentres: dataCentres, longShare: 0.4}
}

// The policies that are compared.
var (
	centralPolicy = policy{name: "central", central: true, estimator: newExactSpeed}
	stickyPolicy  = policy{name: "central, sticky", central: true, sticky: true, estimator: newExactSpeed}
	lowestPolicy  = policy{name: "lowest cost", choose: chooseLowest, estimator: newMovingMean}
	randomPolicy  = policy{name: "random", choose: chooseRandom, estimator: newMovingMean}
	twoPolicy     = policy{name: "two choices", choose: chooseTwo, estimator: newMovingMean}
	fillPolicy    = policy{name: "fill", choose: choose, estimator: newByRoute}
	offersPolicy  = policy{name: "offers", choose: choose, offers: true, estimator: newByRoute}
	handPolicy    = policy{name: "fill, hand over", choose: choose, handOver: handOver, estimator: newByRoute}
	currentPolicy = policy{name: "current", choose: choose, offers: true, handOver: handOver, estimator: newByRoute}
)

// logResult logs one line of the comparison.
func logResult(t *testing.T, s scenario, p policy, r result) {
	t.Helper()
	t.Logf("%-7s %.2f %-16s queued %5.1f%% handed %5.1f%% wait mean %6.1f p99 %7.1f response mean %6.1f p99 %7.1f later p99 %6.1f busiest %.2f flows %.2f offers/s %.1f",
		s.name, s.load, p.name, 100*r.waited, 100*r.handed, r.meanWait, r.wait99, r.meanResponse, r.response99, r.laterWait99, r.imbalance, r.flowImbalance, r.offers)
}
