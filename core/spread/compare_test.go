package spread

import (
	"flag"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	table     = flag.Bool("table", false, "log the comparison of all policies")
	firstSeed = flag.Uint64("first-seed", 11, "first seed of the comparison")
	seedCount = flag.Uint64("seeds", 4, "number of seeds of the comparison")
)

// testSeeds are the seeds of the tests. The parameters were chosen with seeds 1
// to 4.
var testSeeds = []uint64{21}

// Guards against homes that send all flows to the target that looks best, and
// against flows that wait while other targets have free slots. The central queue
// knows everything, serves each flow at once and puts none behind a later request
// of a long flow, so its wait is no bound that can be reached: the time to the
// answer is compared.
func TestUnevenTargets(t *testing.T) {
	for _, c := range []struct{ load, queued, waitRatio float64 }{{0.5, 0.05, 0.3}, {0.85, 0.5, 0.4}} {
		s := unevenService
		s.load = c.load
		central, before, now := runSeeds(s, stickyPolicy, testSeeds), runSeeds(s, lowestPolicy, testSeeds), runSeeds(s, currentPolicy, testSeeds)
		assert.Assert(t, now.waited < c.queued, "%.3f of the flows queued at %.2f", now.waited, c.load)
		assert.Assert(t, now.imbalance < 1.4, "busiest target %.2f times the mean at %.2f", now.imbalance, c.load)
		assert.Assert(t, now.response99 < 1.3*central.response99, "answers after %.0f ms, %.0f ms with a central queue at %.2f", now.response99, central.response99, c.load)
		assert.Assert(t, now.wait99 < c.waitRatio*before.wait99, "waits of %.0f ms, %.0f ms with the lowest cost at %.2f", now.wait99, before.wait99, c.load)
	}
}

// Guards against a choice that is made for uneven targets and is worse for equal
// ones of a small deployment.
func TestEqualTargets(t *testing.T) {
	for _, s := range []scenario{evenService(3, 3, 1), evenService(3, 7, 3), evenService(10, 3, 3)} {
		for _, s.load = range []float64{0.3, 0.7} {
			before, now := runSeeds(s, lowestPolicy, testSeeds), runSeeds(s, currentPolicy, testSeeds)
			assert.Assert(t, now.meanResponse < 1.01*before.meanResponse, "%s at %.2f: %.1f ms in place of %.1f", s.name, s.load, now.meanResponse, before.meanResponse)
			assert.Assert(t, now.wait99 < 1.01*before.wait99+1, "%s at %.2f: %.1f ms in place of %.1f", s.name, s.load, now.wait99, before.wait99)
		}
	}
}

// smallUneven is a small deployment with targets of uneven speed.
var smallUneven = scenario{name: "small", targets: 6, slots: 7, lowSpeed: 0.6, highSpeed: 1.6, homes: 6, dataCentres: 3, longShare: 0.4}

// Guards against a spread over slow targets while the fast ones have free slots.
func TestFastTargetsAtLowLoad(t *testing.T) {
	for _, s := range []scenario{smallUneven, unevenService} {
		for _, s.load = range []float64{0.05, 0.1} {
			before, now := runSeeds(s, lowestPolicy, testSeeds), runSeeds(s, currentPolicy, testSeeds)
			assert.Assert(t, now.meanResponse < 1.01*before.meanResponse, "%s at %.2f: %.1f ms in place of %.1f", s.name, s.load, now.meanResponse, before.meanResponse)
		}
	}
}

// TestComparison logs the figures of docs/design/placement.md if -table is set.
func TestComparison(t *testing.T) {
	if !*table {
		t.Skip("-table is not set")
	}
	var seeds []uint64
	for i := range *seedCount {
		seeds = append(seeds, *firstSeed+i)
	}
	for _, s := range []scenario{unevenService, smallUneven, evenService(45, 2, 3), evenService(3, 3, 1), evenService(3, 7, 3), evenService(10, 3, 3), evenService(5, 5, 2)} {
		for _, s.load = range []float64{0.1, 0.3, 0.5, 0.7, 0.85, 0.9} {
			for _, p := range []policy{centralPolicy, stickyPolicy, lowestPolicy, randomPolicy, twoPolicy, fillPolicy, handPolicy, offersPolicy, currentPolicy} {
				if s.targets == unevenService.targets || p.name == lowestPolicy.name || p.name == currentPolicy.name {
					logResult(t, s, p, runSeeds(s, p, seeds))
				}
			}
		}
	}
}
