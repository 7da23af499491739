package faults_test

import (
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/lab/load"
	"trefoilweir.example/lab/system"
)

// Guards against flows that depend on one balancer.
func TestBalancerKilled(t *testing.T) {
	f := startUnderLoad(t, nil)
	killed := time.Now()
	f.signal("balancer-1", syscall.SIGKILL)
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, f.Plan.RemoveVM("balancer-1"))
	f.requireSteadyLatency(f.requireClean(), killed)
}

// requireSteadyLatency requires that the 99th percentile of the latency in the 5 s after a
// fault is under 3 times that before.
func (f *fixture) requireSteadyLatency(outcome system.LoadOutcome, fault time.Time) {
	f.Helper()
	before := load.P99Between(outcome.Results.Requests, f.loadStart, fault)
	after := load.P99Between(outcome.Results.Requests, fault, fault.Add(5*time.Second))
	f.Logf("p99 before %.1f ms, in the next 5 s %.1f ms", before, after)
	assert.Assert(f, after < 3*before, "%.1f ms before, %.1f ms after", before, after)
}

// Guards against a paused balancer that breaks flows, and against one that
// suspects every agent when it resumes.
func TestBalancerPaused(t *testing.T) {
	f := startUnderLoad(t, nil)
	paused := time.Now()
	f.pause("balancer-2", 1500*time.Millisecond)
	f.requireSteadyLatency(f.requireClean(), paused)
}

// Guards against a planned stop that ends while the fabric still sends, because
// the VM list lags, and against one that never ends.
func TestBalancerStopped(t *testing.T) {
	f := startUnderLoad(t, nil)
	f.signal("balancer-1", syscall.SIGTERM)
	assert.ErrorContains(t, f.AwaitExit("balancer-1", 2*time.Second), "has not ended")
	assert.NilError(t, f.Plan.SetVM("balancer-1", config.VMLeaving))
	assert.NilError(t, f.AwaitExit("balancer-1", 10*time.Second))
	f.requireClean()
}

// Guards against a new balancer that forwards before it has a configuration.
func TestBalancerAdded(t *testing.T) {
	f := startUnderLoad(t, nil)
	assert.NilError(t, f.StartBalancer(4))
	assert.NilError(t, f.Plan.AddBalancer(4))
	assert.NilError(t, f.AwaitVersion(1, 10*time.Second))
	f.requireClean()
}

// Guards against flows that do not survive the loss of a third of their
// datagrams while the link to one balancer is cut.
func TestLinkToBalancerCut(t *testing.T) {
	f := startUnderLoad(t, nil)
	cut := f.Plan.File(layout.CutFile)
	assert.NilError(t, os.WriteFile(cut, []byte(`["balancer-3"]`), 0o600))
	time.Sleep(1500 * time.Millisecond)
	assert.NilError(t, os.WriteFile(cut, []byte(`[]`), 0o600))
	f.requireClean()
}
