// Package soak runs real processes of the packet plane under load while random
// faults come in series and overlap, and checks the promises from what callers
// and targets see. One seed gives one plan of faults.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"syscall"
	"time"

	"trefoilweir.example/lab/kvstore"
	"trefoilweir.example/lab/rig"
)

// Options of a run.
type Options struct {
	Dir, Program string
	// SecondOctet is the second octet of the run's addresses.
	SecondOctet int
	Seed        uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// TargetFactor multiplies the number of targets, CallerFactor the number of callers.
	TargetFactor, CallerFactor int
}

const (
	// settleTime is the time under load before the first fault and after the last.
	settleTime = 2 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 700 * time.Millisecond
	// maxFaultDuration is how long a fault lasts at maxFaultDuration.
	maxFaultDuration = 2500 * time.Millisecond
	// minFinishedShare is the share of requests that are served after the last fault.
	minFinishedShare = 0.9
	// recoveryWindow is the time over which recovery is measured.
	recoveryWindow = 2 * time.Second
)

// run is one run in progress.
type run struct {
	*rig.System
	Options
	random   *rand.Rand
	faultLog []string
	begin    time.Time
}

// Result of a run.
type Result struct {
	rig.Report
	// Faults says which fault was injected when.
	Faults []string
	// AfterFaults is the report of the time after the last fault.
	AfterFaults rig.Report
}

// Failed reports whether a promise was broken, or the system did not recover.
func (r *Result) Failed() bool {
	return r.Report.Failed() || float64(r.AfterFaults.Finished) < minFinishedShare*float64(r.AfterFaults.Requests)
}

// Run plays one seed.
func Run(o Options) (*Result, error) {
	options := rig.DemoOptions(filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed)), o.Program, o.SecondOctet, o.Seed)
	for i := range options.Services {
		options.Services[i].TargetsPerZone *= o.TargetFactor
	}
	options.UseSeedNodes = o.Seed%2 == 0
	load := rig.DemoLoad()
	load.CallersPerZone, load.LongFlowsPerZone = load.CallersPerZone*o.CallerFactor, load.LongFlowsPerZone*o.CallerFactor
	r := &run{System: rig.New(options), Options: o, random: rand.New(rand.NewPCG(o.Seed, 7))}
	defer r.Stop()
	if err := r.Start(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan rig.Report, 1)
	failed := make(chan error, 1)
	go func() {
		report, err := r.System.RunLoad(ctx, load)
		if err != nil {
			failed <- err
		}
		done <- report
	}()
	r.begin = time.Now()
	time.Sleep(settleTime)
	r.injectFaults()
	time.Sleep(maxFaultDuration + settleTime)
	before := r.Snapshot()
	time.Sleep(recoveryWindow)
	afterFaults := r.Snapshot().CountsSince(before)
	cancel()
	result := &Result{Report: <-done, Faults: r.faultLog, AfterFaults: afterFaults}
	select {
	case err := <-failed:
		return nil, err
	default:
		return result, nil
	}
}

// fault is one kind of fault. It returns what it did.
type fault func(*run) string

var faults = []fault{
	signalBalancer(syscall.SIGKILL), signalBalancer(syscall.SIGTERM), signalAgent(syscall.SIGKILL), signalAgent(syscall.SIGTERM),
	pauseBalancer, pauseAgent, reloadBalancer, replaceBalancer, replaceTarget, crashTarget, disturbLink, storeFault, compactStore, republishRoutes, changeRoutes,
}

// injectFaults injects faults until the run's length is over.
func (r *run) injectFaults() {
	for end := time.Now().Add(r.FaultDuration); time.Now().Before(end); {
		what := faults[r.random.IntN(len(faults))](r)
		r.faultLog = append(r.faultLog, fmt.Sprintf("%6.2f s %s", time.Since(r.begin).Seconds(), what))
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
	}
}

func (r *run) faultDuration() time.Duration {
	return time.Duration(r.random.Int64N(int64(maxFaultDuration)))
}

func (r *run) randomBalancer() *rig.VM {
	all := r.Balancers()
	return all[r.random.IntN(len(all))]
}

func (r *run) randomAgent() *rig.VM {
	all := r.Agents()
	return all[r.random.IntN(len(all))]
}

func signalBalancer(s syscall.Signal) fault {
	return func(r *run) string {
		m := r.randomBalancer()
		r.Signal(m, s)
		return fmt.Sprintf("%s gets %s", m.Name, s)
	}
}

func signalAgent(s syscall.Signal) fault {
	return func(r *run) string {
		m := r.randomAgent()
		r.Signal(m, s)
		return fmt.Sprintf("%s gets %s", m.Name, s)
	}
}

func pauseBalancer(r *run) string { return r.pause(r.randomBalancer()) }

func pauseAgent(r *run) string { return r.pause(r.randomAgent()) }

func (r *run) pause(m *rig.VM) string {
	d := r.faultDuration()
	r.Signal(m, syscall.SIGSTOP)
	time.AfterFunc(d, func() { r.Signal(m, syscall.SIGCONT) })
	return fmt.Sprintf("%s is paused for %s", m.Name, d)
}

func reloadBalancer(r *run) string {
	m := r.randomBalancer()
	r.Signal(m, syscall.SIGHUP)
	return m.Name + " reloads"
}

func replaceBalancer(r *run) string {
	old := r.randomBalancer()
	zone := r.random.IntN(len(r.Zones))
	m, err := r.AddBalancer(zone, false)
	if err != nil {
		return "no balancer added: " + err.Error()
	}
	r.RemoveBalancer(old)
	return fmt.Sprintf("%s is added, %s stops", m.Name, old.Name)
}

func replaceTarget(r *run) string {
	old := r.randomAgent()
	service := r.serviceOf(old)
	m, err := r.AddTarget(service, r.random.IntN(len(r.Zones)), r.random.IntN(len(service.Speeds)), false)
	if err != nil {
		return "no target added: " + err.Error()
	}
	r.DrainTarget(old, maxFaultDuration)
	return fmt.Sprintf("%s is added, the target of %s drains", m.Name, old.Name)
}

func (r *run) serviceOf(m *rig.VM) *rig.Service {
	for i := range r.Services {
		if r.Services[i].Name == m.Target.Service {
			return &r.Services[i]
		}
	}
	return &r.Services[0]
}

func crashTarget(r *run) string {
	m := r.randomAgent()
	if !m.Target.Alive() {
		return "no target crashed: that of " + m.Name + " is down already"
	}
	d := r.faultDuration()
	r.CrashTarget(m, r.serviceOf(m), d)
	return fmt.Sprintf("the target of %s crashes for %s", m.Name, d)
}

func disturbLink(r *run) string {
	links := []rig.Link{rig.LinkSlow, rig.LinkSilent, rig.LinkNoAnswer, rig.LinkReset}
	l, d := links[r.random.IntN(len(links))], r.faultDuration()
	m := r.randomAgent()
	if r.random.IntN(2) == 0 {
		m = r.randomBalancer()
	}
	r.SetLink(m, l)
	time.AfterFunc(d, func() { r.SetLink(m, rig.LinkOpen) })
	return fmt.Sprintf("link of %s to the store is %s for %s", m.Name, l, d)
}

func storeFault(r *run) string {
	kinds := []kvstore.Fault{kvstore.Busy, kvstore.Many, kvstore.Silent, kvstore.Reset, kvstore.Slow}
	f, d := kinds[r.random.IntN(len(kinds))], r.faultDuration()
	r.Store.SetFault(f)
	time.AfterFunc(d, func() { r.Store.SetFault(kvstore.None) })
	return fmt.Sprintf("the store is %s for %s", f, d)
}

func compactStore(r *run) string {
	r.Store.Compact()
	return "the store forgets its history"
}

func republishRoutes(r *run) string {
	r.PublishRoutes()
	return "a new version of the routes"
}

func changeRoutes(r *run) string {
	const lowest, span = 1000, 50
	address := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(lowest+r.random.IntN(span)))
	service := ""
	if r.random.IntN(3) > 0 {
		service = r.Services[0].Name
	}
	r.SetRoute(address, service)
	return fmt.Sprintf("route %s now leads to %q", address, service)
}
