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
	// settle is the time under load before the first fault and after the last.
	settle = 2 * time.Second
	// gap is the mean time between two faults.
	gap = 700 * time.Millisecond
	// most is how long a fault lasts at most.
	most = 2500 * time.Millisecond
	// recovered is the share of requests that are served after the last fault.
	recovered = 0.9
	// checkFor is the time over which recovery is measured.
	checkFor = 2 * time.Second
)

// run is one run in progress.
type run struct {
	*rig.System
	Options
	random *rand.Rand
	log    []string
	begin  time.Time
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
	return r.Report.Failed() || float64(r.AfterFaults.Finished) < recovered*float64(r.AfterFaults.Requests)
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
	time.Sleep(settle)
	r.inject()
	time.Sleep(most + settle)
	before := r.Snapshot()
	time.Sleep(checkFor)
	late := r.Snapshot().CountsSince(before)
	cancel()
	result := &Result{Report: <-done, Faults: r.log, AfterFaults: late}
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
	pauseBalancer, pauseAgent, hangUp, replaceBalancer, replaceTarget, crashTarget, cutLink, storeFault, compactStore, publish, changeRoutes,
}

// inject injects faults until the run's length is over.
func (r *run) inject() {
	for end := time.Now().Add(r.FaultDuration); time.Now().Before(end); {
		what := faults[r.random.IntN(len(faults))](r)
		r.log = append(r.log, fmt.Sprintf("%6.2f s %s", time.Since(r.begin).Seconds(), what))
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(gap)))
	}
}

func (r *run) duration() time.Duration { return time.Duration(r.random.Int64N(int64(most))) }

func (r *run) balancer() *rig.VM {
	all := r.Balancers()
	return all[r.random.IntN(len(all))]
}

func (r *run) agent() *rig.VM {
	all := r.Agents()
	return all[r.random.IntN(len(all))]
}

func signalBalancer(s syscall.Signal) fault {
	return func(r *run) string {
		m := r.balancer()
		r.Signal(m, s)
		return fmt.Sprintf("%s gets %s", m.Name, s)
	}
}

func signalAgent(s syscall.Signal) fault {
	return func(r *run) string {
		m := r.agent()
		r.Signal(m, s)
		return fmt.Sprintf("%s gets %s", m.Name, s)
	}
}

func pauseBalancer(r *run) string { return r.pause(r.balancer()) }

func pauseAgent(r *run) string { return r.pause(r.agent()) }

func (r *run) pause(m *rig.VM) string {
	d := r.duration()
	r.Signal(m, syscall.SIGSTOP)
	time.AfterFunc(d, func() { r.Signal(m, syscall.SIGCONT) })
	return fmt.Sprintf("%s is paused for %s", m.Name, d)
}

func hangUp(r *run) string {
	m := r.balancer()
	r.Signal(m, syscall.SIGHUP)
	return m.Name + " reloads"
}

func replaceBalancer(r *run) string {
	old := r.balancer()
	zone := r.random.IntN(len(r.Zones))
	m, err := r.AddBalancer(zone, false)
	if err != nil {
		return "no balancer added: " + err.Error()
	}
	r.RemoveBalancer(old)
	return fmt.Sprintf("%s is added, %s stops", m.Name, old.Name)
}

func replaceTarget(r *run) string {
	old := r.agent()
	service := r.serviceOf(old)
	m, err := r.AddTarget(service, r.random.IntN(len(r.Zones)), r.random.IntN(len(service.Speeds)), false)
	if err != nil {
		return "no target added: " + err.Error()
	}
	r.DrainTarget(old, most)
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
	m := r.agent()
	if !m.Target.Alive() {
		return "no target crashed: that of " + m.Name + " is down already"
	}
	d := r.duration()
	r.CrashTarget(m, r.serviceOf(m), d)
	return fmt.Sprintf("the target of %s crashes for %s", m.Name, d)
}

func cutLink(r *run) string {
	links := []rig.Link{rig.LinkSlow, rig.LinkSilent, rig.LinkNoAnswer, rig.LinkReset}
	l, d := links[r.random.IntN(len(links))], r.duration()
	m := r.agent()
	if r.random.IntN(2) == 0 {
		m = r.balancer()
	}
	r.SetLink(m, l)
	time.AfterFunc(d, func() { r.SetLink(m, rig.LinkOpen) })
	return fmt.Sprintf("link of %s to the store is %s for %s", m.Name, l, d)
}

func storeFault(r *run) string {
	kinds := []kvstore.Fault{kvstore.Busy, kvstore.Many, kvstore.Silent, kvstore.Reset, kvstore.Slow}
	f, d := kinds[r.random.IntN(len(kinds))], r.duration()
	r.Store.SetFault(f)
	time.AfterFunc(d, func() { r.Store.SetFault(kvstore.None) })
	return fmt.Sprintf("the store is %s for %s", f, d)
}

func compactStore(r *run) string {
	r.Store.Compact()
	return "the store forgets its history"
}

func publish(r *run) string {
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
