// Package faults_test runs complete systems of real processes under load and
// injects faults. It judges a run by the load report and the logs of the targets.
package faults_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/lab/load"
	"trefoilweir.example/lab/system"
)

// settleTime is the time under load before the first fault.
const settleTime = 2 * time.Second

var bin string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "trefoilweir-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir, "trefoilweir.example/node/cmd/trefoilweir", "trefoilweir.example/lab/cmd/trefoilweir-lab")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	bin = dir
	return m.Run()
}

type fixture struct {
	*testing.T
	*system.System
	booking   layout.Service
	options   load.Options
	loadDone  <-chan system.LoadOutcome
	loadStart time.Time
}

// startUnderLoad starts a system of two services, starts the load and waits for
// settleTime. change adjusts the options of the load and may be nil.
func startUnderLoad(t *testing.T, change func(*load.Options)) *fixture {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	plan := layout.Plan{
		Dir: t.TempDir(), NetPrefix: system.RandomNet(), Balancers: 3, SpareBalancers: 1, Bias: config.BiasBalance, LingerMS: 1000,
		DataCentres: []string{"hr-north-a", "hr-north-b", "hr-north-c"},
		Services: []layout.Service{
			{Name: "booking", ID: 1, Targets: 4, SpareTargets: 1, Slots: 7, Speeds: []float64{1, 4, 2}},
			{Name: "gallery", ID: 2, Targets: 2, Slots: 7, Speeds: []float64{1, 4}},
		},
	}
	f := &fixture{T: t, System: system.New(plan, bin), booking: plan.Services[0], options: load.Defaults()}
	t.Cleanup(func() {
		f.Stop()
		if t.Failed() {
			f.keepLogs()
		}
	})
	assert.NilError(t, f.Start())
	f.options.Requests, f.options.Rate, f.options.Tickers = 800, 100, 3
	f.options.Timeout, f.options.IdleTimeout = 6*time.Second, 3*time.Second
	if change != nil {
		change(&f.options)
	}
	f.loadDone = f.StartLoad(t.Context(), f.options)
	f.loadStart = time.Now()
	time.Sleep(settleTime)
	return f
}

// keepLogs copies the system's directory to a directory per test under the one
// that the environment variable FAULT_LOGS names.
func (f *fixture) keepLogs() {
	if dir := os.Getenv("FAULT_LOGS"); dir != "" {
		to := filepath.Join(dir, f.Name())
		_ = os.RemoveAll(to)
		_ = os.CopyFS(to, os.DirFS(f.Plan.Dir))
	}
}

func (f *fixture) signal(name string, signal syscall.Signal) {
	f.Helper()
	assert.NilError(f, f.Signal(name, signal))
}

// pause suspends a process for a time.
func (f *fixture) pause(name string, length time.Duration) {
	f.Helper()
	f.signal(name, syscall.SIGSTOP)
	time.Sleep(length)
	f.signal(name, syscall.SIGCONT)
}

// waitForLoad waits for the end of the load and returns its outcome.
func (f *fixture) waitForLoad() system.LoadOutcome {
	f.Helper()
	outcome := <-f.loadDone
	assert.NilError(f, outcome.Err)
	f.Logf("%+v", outcome.Report)
	f.logRetries(outcome)
	return outcome
}

// logRetries logs all attempts of the first requests with more than one attempt.
func (f *fixture) logRetries(outcome system.LoadOutcome) {
	const maxShown = 20
	shown := 0
	for _, result := range outcome.Results.Requests {
		if len(result.Attempts) < 2 || shown == maxShown {
			continue
		}
		shown++
		for _, a := range result.Attempts {
			f.Logf("%s at %s: attempt %s, sent %t, verdict %s, %s", result.ID, result.Planned, a.ID, a.Sent, a.Verdict, a.Err)
		}
	}
}

// requireClean waits for the end of the load and requires that every request
// finished once and no flow broke.
func (f *fixture) requireClean() system.LoadOutcome {
	f.Helper()
	outcome := f.waitForLoad()
	assert.NilError(f, outcome.Report.Check(0, 0), "%v", outcome.Results.BrokenFlows)
	return outcome
}

// requireOnlyAffects requires that requests without an answer started only at one
// target, and that none ran twice or after a refusal.
func (f *fixture) requireOnlyAffects(outcome system.LoadOutcome, target string) {
	f.Helper()
	r := outcome.Report
	assert.Equal(f, r.Doubled+r.RanAfterNotRun+r.Misrouted+r.WrongAnswer+r.LateWork+r.RefusedNotRun, 0)
	assert.Equal(f, r.Finished+r.UnknownOutcome, r.Requests)
	for _, result := range outcome.Results.Requests {
		if result.Outcome == load.Finished {
			continue
		}
		for _, start := range outcome.Evidence.Starts(result.ID) {
			assert.Equal(f, start.Target, target, "%s", result.ID)
		}
	}
}
