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

// Guards against flows that break or slow down when their balancer is killed.
func TestBalancerKilled(t *testing.T) {
	f := startUnderLoad(t, nil)
	killed := time.Now()
	f.signal("balancer-1", syscall.SIGKILL)
	time.Sleep(200 * time.Millisecond)
	assert.NilError(t, f.Plan.RemoveVM("balancer-1"))
	f.requireSteadyLatency(f.requireClean(), killed)
}

// requireSteadyLatency requires that the 99th percentile of the latency in the
// 5 s after a fault is less than 3 times that before the fault.
func (f *fixture) requireSteadyLatency(outcome system.LoadOutcome, faultAt time.Time) {
	f.Helper()
	before := load.P99Between(outcome.Results.Requests, f.loadStart, faultAt)
	after := load.P99Between(outcome.Results.Requests, faultAt, faultAt.Add(5*time.Second))
	f.Logf("p99 latency: %.1f ms before the fault, %.1f ms in the 5 s after it", before, after)
	assert.Assert(f, after < 3*before, "p99 latency: %.1f ms before the fault, %.1f ms after it", before, after)
}

// Guards against a paused balancer that breaks flows, and against one that
// suspects every agent of a failure after it resumes.
func TestBalancerPaused(t *testing.T) {
	f := startUnderLoad(t, nil)
	paused := time.Now()
	f.pause("balancer-2", 1500*time.Millisecond)
	f.requireSteadyLatency(f.requireClean(), paused)
}

// Guards against a balancer that exits on SIGTERM while the VM list lags and the
// fabric still sends it datagrams, and against one that never exits.
func TestBalancerStopped(t *testing.T) {
	f := startUnderLoad(t, nil)
	f.signal("balancer-1", syscall.SIGTERM)
	assert.ErrorContains(t, f.AwaitExit("balancer-1", 2*time.Second), "has not ended")
	assert.NilError(t, f.Plan.SetVMState("balancer-1", config.VMLeaving))
	assert.NilError(t, f.AwaitExit("balancer-1", 10*time.Second))
	f.requireClean()
}

// Guards against a new balancer that forwards datagrams before it has a
// configuration.
func TestBalancerAdded(t *testing.T) {
	f := startUnderLoad(t, nil)
	assert.NilError(t, f.StartBalancer(4))
	assert.NilError(t, f.Plan.AddBalancer(4))
	assert.NilError(t, f.AwaitVersion(1, 10*time.Second))
	f.requireClean()
}

// Guards against flows that break when a third of their datagrams are lost
// because the link to one balancer is cut.
func TestLinkToBalancerCut(t *testing.T) {
	f := startUnderLoad(t, nil)
	cut := f.Plan.Path(layout.CutFile)
	assert.NilError(t, os.WriteFile(cut, []byte(`["balancer-3"]`), 0o600))
	time.Sleep(1500 * time.Millisecond)
	assert.NilError(t, os.WriteFile(cut, []byte(`[]`), 0o600))
	f.requireClean()
}
