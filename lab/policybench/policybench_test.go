package policybench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testSpec(policy string) Spec {
	return Spec{Policy: policy, Case: CasePlain, Targets: 3, Slots: 3, SpeedRatio: 4, Load: 0.9, Seed: 1, MinRequests: 5000}
}

// Guards against results that differ between runs with the same spec and seed.
func TestRunIsReproducible(t *testing.T) {
	for _, p := range Policies {
		assert.DeepEqual(t, Run(testSpec(p)), Run(testSpec(p)))
	}
}

// Guards against requests that end twice or never, in every case.
func TestEveryRequestEndsOnce(t *testing.T) {
	for _, p := range Policies {
		for _, c := range Cases {
			spec := testSpec(p)
			spec.Case, spec.Load = c, 1.2
			r := Run(spec)
			assert.Equal(t, r.Finished+r.Refused, r.Requests, "policy %s, case %s", p, c)
		}
	}
}

// Guards against retries beyond the retry budget: 10% of the requests of the
// last 10 s, with a floor of 1/s per agent.
func TestRetriesStayWithinBudget(t *testing.T) {
	for _, p := range []string{"local", "balance", "latency"} {
		for _, c := range Cases {
			for _, load := range []float64{0.7, 1.2} {
				spec := testSpec(p)
				spec.Case, spec.Load = c, load
				r := Run(spec)
				limit := 0.1*float64(r.Requests) + float64(spec.Targets)*(r.SimSeconds+10)
				assert.Assert(t, float64(r.Retries) <= limit, "policy %s, case %s: %d retries exceed the budget", p, c, r.Retries)
			}
		}
	}
}

// Guards against a wrong mean service time. An M/M/c system at low load has no
// queue, so its latency is the exponentially distributed service time.
func TestLatencyOfAnIdleSystem(t *testing.T) {
	spec := testSpec("central-fastest")
	spec.SpeedRatio, spec.Load, spec.MinRequests = 1, 0.1, 50000
	r := Run(spec)
	assert.Assert(t, r.P50 > 67 && r.P50 < 72, "p50 is %v ms, want 100 ms times ln 2", r.P50)
	assert.Assert(t, r.P99 > 440 && r.P99 < 485, "p99 is %v ms, want 100 ms times ln 100", r.P99)
}

// Guards against busy time that is counted in the wrong window.
func TestWindowImbalance(t *testing.T) {
	s := &sim{spec: Spec{Targets: 3, Slots: 1, SpeedRatio: 1}, duration: 10 * time.Second}
	m := newMetrics(s)
	m.addBusyTime(0, 500*time.Millisecond, 2*time.Second)
	m.addBusyTime(1, time.Second, 1500*time.Millisecond)
	v, counted := m.windowImbalance(1)
	assert.Equal(t, v, 2.0)
	assert.Assert(t, counted)
}
