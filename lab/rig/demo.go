package rig

import (
	"cmp"
	"context"
	"net/netip"
	"syscall"
	"time"

	"trefoilweir.example/lab/figure"
)

// Durations of the demo: the pause between two steps, and the time for the flows
// of a drained target to end.
const (
	demoStepPause = 1200 * time.Millisecond
	drainTimeout  = 2 * time.Second
)

// DemoOptions returns the options of the demo's system: three zones with two
// balancers each, and two services.
func DemoOptions(dir, bin string, net int, seed uint64) Options {
	return Options{
		Dir: dir, Program: bin, SecondOctet: net, Seed: seed, Zones: []string{"a", "b", "c"}, BalancersPerZone: 2,
		Services: []Service{
			{Name: "booking", TargetsPerZone: 2, Slots: 7, Speeds: []float64{0.6, 1, 1.6}, Address: netip.MustParseAddrPort("198.18.0.1:443")},
			{Name: "gallery", TargetsPerZone: 1, Slots: 7, Speeds: []float64{1}, Address: netip.MustParseAddrPort("198.18.0.2:443")},
		},
	}
}

// DemoLoad returns a load well below the capacity of the demo's system.
func DemoLoad() Load {
	return Load{CallersPerZone: 12, LongFlowsPerZone: 4, MeanPause: 150 * time.Millisecond, WorkMS: 30, Timeout: 2500 * time.Millisecond, Retries: 2}
}

// Demo runs a system under load while a balancer stops, another is killed, a
// target is replaced, an agent stops and the routes change.
func Demo(o Options, load Load) (Report, error) {
	s := New(o)
	defer s.Stop()
	if err := s.Start(); err != nil {
		return Report{}, err
	}
	return s.runUnderLoad(load, s.demoSteps)
}

// runUnderLoad carries out steps while the callers run, and returns the result of
// the load. The callers go on for demoStepPause after the last step.
func (s *System) runUnderLoad(load Load, steps func() error) (Report, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type result struct {
		report Report
		err    error
	}
	done := make(chan result, 1)
	go func() {
		r, err := s.RunLoad(ctx, load)
		done <- result{r, err}
	}()
	err := steps()
	time.Sleep(demoStepPause)
	cancel()
	r := <-done
	return r.report, cmp.Or(err, r.err)
}

func (s *System) demoSteps() error {
	booking := &s.Services[0]
	removed, added := netip.MustParseAddrPort("198.18.0.3:443"), netip.MustParseAddrPort("198.18.0.4:443")
	s.SetRoute(removed, booking.Name)
	time.Sleep(demoStepPause)
	s.mark("balancer stops")
	s.RemoveBalancer(s.Balancers()[0])
	time.Sleep(demoStepPause)
	if _, err := s.AddBalancer(0, false); err != nil {
		return err
	}
	s.mark("balancer killed")
	s.Signal(s.Balancers()[1], syscall.SIGKILL)
	time.Sleep(demoStepPause)
	if _, err := s.AddTarget(booking, 1, 0, false); err != nil {
		return err
	}
	s.mark("target replaced")
	s.DrainTarget(s.Agents()[0], drainTimeout)
	time.Sleep(demoStepPause)
	s.mark("agent stops, routes change")
	s.Signal(s.Agents()[3], syscall.SIGTERM)
	return s.CheckRoutes(added, removed, booking.Name)
}

// mark records a disruption for the figure of the run.
func (s *System) mark(disruption string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.recorder != nil {
		s.marks = append(s.marks, figure.Mark{At: time.Since(s.recorder.begin), Label: disruption})
	}
}
