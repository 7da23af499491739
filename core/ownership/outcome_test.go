package ownership

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// requestsUntilFailing feeds random outcomes with the given share of failures
// into the test until the target counts as failing. It returns the number of
// outcomes, at most limit.
func requestsUntilFailing(random *rand.Rand, share float64, limit int) int {
	var o outcomes
	for n := range limit {
		if random.Float64() >= share {
			o.succeed()
		} else if o.fail() {
			return n + 1
		}
	}
	return limit
}

// Guards against a target that fails a part of its requests at once while its
// health check passes. With three failures in a row as the rule, a target that
// failed half of its requests was found late or not at all, and looked idle
// until then.
func TestPartlyFailingTargetIsFound(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 1))
	const runs = 400
	for _, c := range []struct {
		share float64
		mean  float64
	}{{1, failuresInRow}, {0.7, 6}, {0.5, 10}, {0.3, 30}, {0.2, 80}, {0.1, 1000}} {
		sum := 0
		for range runs {
			sum += requestsUntilFailing(random, c.share, 5000)
		}
		assert.Assert(t, float64(sum)/runs <= c.mean, "failure share %v: found failing after %v requests on average", c.share, float64(sum)/runs)
	}
}

// Guards against healthy targets that count as failing because of rare errors.
func TestFewFalseAlarms(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 2))
	for share, most := range map[float64]int{0.001: 0, 0.01: 20} {
		alarms := 0
		for range 100 {
			if requestsUntilFailing(random, share, 10_000) < 10_000 {
				alarms++
			}
		}
		assert.Assert(t, alarms <= most, "failure share %v: %d false alarms in 100 runs of 10,000 requests", share, alarms)
	}
}

// Guards against a target that fails half of its requests and gets all new
// flows again because it answered two in a row by chance.
func TestPartlyFailingTargetStaysFailing(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 3))
	back := 0
	const probes, runs = 10, 1000
	for range runs {
		o := outcomes{failing: true}
		for range probes {
			if random.Float64() < 0.5 {
				o.fail()
			} else if o.succeed() {
				back++
				break
			}
		}
	}
	assert.Assert(t, back < runs/3, "%d of %d targets counted as healthy again within %d test flows", back, runs, probes)
}
