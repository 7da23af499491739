// Package soak runs real processes of the packet plane under load and injects
// random faults, which may overlap. It checks the guarantees of package rig from
// what callers and targets observe. The seed determines the sequence of faults.
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

// Options are the options of a run.
type Options struct {
	Dir, Program string
	// SecondOctet is the second octet of all addresses of the run.
	SecondOctet int
	Seed        uint64
	// FaultDuration is how long faults are injected.
	FaultDuration time.Duration
	// TargetFactor multiplies the number of targets, and CallerFactor the number
	// of callers.
	TargetFactor, CallerFactor int
}

const (
	// settleTime is the time under load before the first fault, and the time
	// after the end of the last fault before recovery is measured.
	settleTime = 2 * time.Second
	// meanFaultInterval is the mean time between two faults.
	meanFaultInterval = 700 * time.Millisecond
	// maxFaultDuration is the upper limit of the duration of a fault.
	maxFaultDuration = 2500 * time.Millisecond
	// minFinishedShare is the share of requests that must finish after the last
	// fault.
	minFinishedShare = 0.9
	// recoveryWindow is the time during which recovery is measured.
	recoveryWindow = 2 * time.Second
	// maxStoreOutage is the upper limit of the time for which the store is away
	// before it returns from a backup.
	maxStoreOutage = time.Second
)

// addedRoute and removedRoute are the routes that are changed after the last return
// of the store from a backup.
var addedRoute, removedRoute = netip.MustParseAddrPort("198.18.0.8:443"), netip.MustParseAddrPort("198.18.0.7:443")

// run is a run in progress.
type run struct {
	*rig.System
	Options
	random   *rand.Rand
	faultLog []string
	begin    time.Time
}

// Result is the result of a run.
type Result struct {
	rig.Report
	// Faults lists the injected faults with their times since the start of the
	// load.
	Faults []string
	// AfterFaults counts the requests in the recovery window.
	AfterFaults rig.Report
}

// Failed reports whether the run had violations or failures, or the system did
// not recover.
func (r *Result) Failed() bool {
	return r.Report.Failed() || float64(r.AfterFaults.Finished) < minFinishedShare*float64(r.AfterFaults.Requests)
}

// Run runs the system under the load and the faults of one seed.
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
	r.SetRoute(removedRoute, r.Services[0].Name)
	time.Sleep(settleTime)
	r.scheduleRestore()
	r.injectFaults()
	time.Sleep(maxFaultDuration + settleTime)
	before := r.Snapshot()
	time.Sleep(recoveryWindow)
	afterFaults := r.Snapshot().CountsSince(before)
	if err := r.checkRoutesAfterRestore(); err != nil {
		return nil, err
	}
	cancel()
	result := &Result{Report: <-done, Faults: r.faultLog, AfterFaults: afterFaults}
	select {
	case err := <-failed:
		return nil, err
	default:
		return result, nil
	}
}

// fault injects one kind of fault and returns a description of it.
type fault func(*run) string

var faults = []fault{
	signalBalancer(syscall.SIGKILL), signalBalancer(syscall.SIGTERM), signalAgent(syscall.SIGKILL), signalAgent(syscall.SIGTERM),
	pauseBalancer, pauseAgent, reloadBalancer, replaceBalancer, replaceTarget, crashTarget, disturbLink, storeFault, compactStore, republishRoutes, changeRoutes,
}

// injectFaults injects faults for the duration that the options set.
func (r *run) injectFaults() {
	for end := time.Now().Add(r.FaultDuration); time.Now().Before(end); {
		description := faults[r.random.IntN(len(faults))](r)
		r.faultLog = append(r.faultLog, fmt.Sprintf("%6.2f s %s", time.Since(r.begin).Seconds(), description))
		time.Sleep(time.Duration(r.random.ExpFloat64() * float64(meanFaultInterval)))
	}
}

// scheduleRestore makes the store return from a backup once, while other faults are
// injected. It has a random source of its own, so that the other faults of a seed
// do not depend on it.
func (r *run) scheduleRestore() {
	random := rand.New(rand.NewPCG(r.Seed, 8))
	backupAt := time.Duration(random.Int64N(int64(r.FaultDuration/2) + 1))
	lost := time.Duration(random.Int64N(int64(maxFaultDuration)))
	outage := time.Duration(random.Int64N(int64(maxStoreOutage)))
	time.AfterFunc(backupAt, func() {
		backup := r.Store.Backup()
		time.AfterFunc(lost, func() { r.RestoreStore(backup, outage) })
	})
	at := time.Since(r.begin) + backupAt + lost
	r.faultLog = append(r.faultLog, fmt.Sprintf("%6.2f s the store is away for %s and returns from a backup that is %s old", at.Seconds(), outage, lost))
}

// checkRoutesAfterRestore checks that all balancers apply changes after the store
// has lost more changes than it has got since.
func (r *run) checkRoutesAfterRestore() error {
	const lostVersions, outage, settleAfter = 6, 300 * time.Millisecond, 2 * time.Second
	backup := r.Store.Backup()
	for range lostVersions {
		r.PublishRoutes()
	}
	time.Sleep(outage)
	r.RestoreStore(backup, outage)
	time.Sleep(outage + settleAfter)
	return r.CheckRoutes(addedRoute, removedRoute, r.Services[0].Name)
}

func (r *run) randomDuration() time.Duration {
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
		return fmt.Sprintf("%s receives signal %s", m.Name, s)
	}
}

func signalAgent(s syscall.Signal) fault {
	return func(r *run) string {
		m := r.randomAgent()
		r.Signal(m, s)
		return fmt.Sprintf("%s receives signal %s", m.Name, s)
	}
}

func pauseBalancer(r *run) string { return r.pause(r.randomBalancer()) }

func pauseAgent(r *run) string { return r.pause(r.randomAgent()) }

func (r *run) pause(m *rig.VM) string {
	d := r.randomDuration()
	r.Signal(m, syscall.SIGSTOP)
	time.AfterFunc(d, func() { r.Signal(m, syscall.SIGCONT) })
	return fmt.Sprintf("%s is paused for %s", m.Name, d)
}

func reloadBalancer(r *run) string {
	m := r.randomBalancer()
	r.Signal(m, syscall.SIGHUP)
	return m.Name + " receives SIGHUP"
}

func replaceBalancer(r *run) string {
	old := r.randomBalancer()
	zone := r.random.IntN(len(r.Zones))
	m, err := r.AddBalancer(zone, false)
	if err != nil {
		return "balancer was not added: " + err.Error()
	}
	r.RemoveBalancer(old)
	return fmt.Sprintf("%s is added, %s is removed", m.Name, old.Name)
}

func replaceTarget(r *run) string {
	old := r.randomAgent()
	service := r.serviceOf(old)
	m, err := r.AddTarget(service, r.random.IntN(len(r.Zones)), r.random.IntN(len(service.Speeds)), false)
	if err != nil {
		return "target was not added: " + err.Error()
	}
	r.DrainTarget(old, maxFaultDuration)
	return fmt.Sprintf("%s is added, the target of %s is drained", m.Name, old.Name)
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
		return "target not crashed: the target of " + m.Name + " is already down"
	}
	d := r.randomDuration()
	r.CrashTarget(m, r.serviceOf(m), d)
	return fmt.Sprintf("the target of %s crashes and is down for %s", m.Name, d)
}

func disturbLink(r *run) string {
	links := []rig.Link{rig.LinkSlow, rig.LinkSilent, rig.LinkNoAnswer, rig.LinkReset}
	l, d := links[r.random.IntN(len(links))], r.randomDuration()
	m := r.randomAgent()
	if r.random.IntN(2) == 0 {
		m = r.randomBalancer()
	}
	r.SetLink(m, l)
	time.AfterFunc(d, func() { r.SetLink(m, rig.LinkOpen) })
	return fmt.Sprintf("the link from %s to the store has the fault %s for %s", m.Name, l, d)
}

func storeFault(r *run) string {
	kinds := []kvstore.Fault{kvstore.Unavailable, kvstore.TooManyRequests, kvstore.Silent, kvstore.Reset, kvstore.Slow}
	f, d := kinds[r.random.IntN(len(kinds))], r.randomDuration()
	r.Store.SetFault(f)
	time.AfterFunc(d, func() { r.Store.SetFault(kvstore.None) })
	return fmt.Sprintf("the store has the fault %s for %s", f, d)
}

func compactStore(r *run) string {
	r.Store.Compact()
	return "the store drops its history"
}

func republishRoutes(r *run) string {
	r.PublishRoutes()
	return "the routes are published under a new version"
}

func changeRoutes(r *run) string {
	const lowest, span = 1000, 50
	address := netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(lowest+r.random.IntN(span)))
	service := ""
	if r.random.IntN(3) > 0 {
		service = r.Services[0].Name
	}
	r.SetRoute(address, service)
	return fmt.Sprintf("the route %s is set to the service %q", address, service)
}
