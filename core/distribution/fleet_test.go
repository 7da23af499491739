package distribution_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

// dataCentres returns the number of data centres of a fleet of n processes.
func dataCentres(n int) int { return max(3, min(23, n/30)) }

// scenarios inject faults into a fleet before a change is published. If
// injectFault returns a function, it ends the fault and is called a minute
// later.
var scenarios = []struct {
	name        string
	injectFault func(s *simulation, random *rand.Rand) (heal func())
}{
	{"undisturbed", func(*simulation, *rand.Rand) func() { return nil }},
	{"dead_parents", func(s *simulation, random *rand.Rand) func() {
		// One process in ten, and one reader of each data centre, is dead but
		// still in the list of VMs.
		for dc := range dataCentres(len(s.nodes)) {
			readersOf(s, dc)[0].dead = true
		}
		for _, n := range s.nodes {
			n.dead = n.dead || random.IntN(10) == 0
		}
		return nil
	}},
	{"wrong_list", func(s *simulation, random *rand.Rand) func() {
		// Every process has its own list of VMs. In it, a tenth of the VMs is
		// replaced by VMs that do not exist.
		for _, n := range s.nodes {
			list := slices.Clone(s.platform.vms)
			for range len(list) / 10 {
				i := random.IntN(len(list))
				list[i] = config.VM{Name: fmt.Sprintf("gone-%d", i), DataCentre: list[i].DataCentre, State: config.VMLive}
			}
			n.list = list
			n.step(distribution.VMList{VMs: list})
		}
		s.runFor(10 * time.Second)
		return nil
	}},
	{"partition", func(s *simulation, _ *rand.Rand) func() {
		// Half of the data centres reach neither the platform nor the others.
		side := func(n *simNode) bool { return n.vm.DataCentre < "dc-01" || n.vm.DataCentre > "dc-11" }
		s.reachable = func(a, b *simNode) bool { return side(a) == side(b) }
		s.platform.reachable = side
		return func() {
			s.reachable = func(_, _ *simNode) bool { return true }
			s.platform.reachable = func(*simNode) bool { return true }
		}
	}},
}

func readersOf(s *simulation, dc int) (out []*simNode) {
	for _, n := range s.nodes {
		if n.vm.DataCentre == fmt.Sprintf("dc-%02d", dc) && n.machine.Position().Reader {
			out = append(out, n)
		}
	}
	return out
}

// startFleet returns a fleet of n processes that serve version 1.
func startFleet(n int) *simulation {
	s := newSimulation(fleet(n, dataCentres(n)))
	s.publish(head(1, 1), true)
	for i, node := range s.nodes {
		node.start(uint64(i + 1))
	}
	s.runFor(20 * time.Second)
	return s
}

// fleetStats holds the results of a scenario.
type fleetStats struct {
	median, p99, last time.Duration
	// messages, fetches and allCalls count from the change until the fleet has
	// converged. messages and fetches are per process.
	messages, fetches, allCalls float64
	// idleMessages (per process and second) and idleCalls (per second) are the
	// rates without changes.
	idleMessages, idleCalls float64
}

// measure injects the fault, publishes a change and runs the simulation until
// all live processes have adopted it.
func measure(s *simulation, injectFault func(*simulation, *rand.Rand) func()) (fleetStats, error) {
	calls, messages, before := s.platform.calls, s.messages, s.now
	s.runFor(time.Minute)
	seconds, nodes := (s.now - before).Seconds(), float64(len(s.nodes))
	f := fleetStats{idleCalls: float64(s.platform.calls-calls) / seconds, idleMessages: float64(s.messages-messages) / seconds / nodes}
	heal := injectFault(s, rand.New(rand.NewPCG(7, 7)))
	calls, messages = s.platform.calls, s.messages
	fetches, published := s.fetches, s.now
	s.publish(head(2, 1), true)
	since := published
	if heal != nil {
		s.runFor(time.Minute)
		heal()
		since = s.now
	}
	for limit := s.now + time.Minute; !converged(s); s.runFor(100 * time.Millisecond) {
		if s.now > limit {
			return f, fmt.Errorf("fleet has not converged a minute after the change or the end of the fault")
		}
	}
	var times []time.Duration
	for _, n := range s.nodes {
		if !n.dead && n.adopted >= since {
			times = append(times, n.adopted-since)
		}
	}
	slices.Sort(times)
	f.median, f.p99, f.last = times[len(times)/2], times[len(times)*99/100], times[len(times)-1]
	f.messages, f.fetches = float64(s.messages-messages)/nodes, float64(s.fetches-fetches)/nodes
	f.allCalls = float64(s.platform.calls - calls)
	return f, nil
}

func converged(s *simulation) bool {
	for _, n := range s.nodes {
		if !n.dead && n.machine.Current() != head(2, 1) {
			return false
		}
	}
	return true
}

// Guards against a change that does not reach every process within the 6 s that
// are allowed in a large fleet (8 s after the end of a partition), and against
// platform calls that grow with the fleet.
func TestFleetConverges(t *testing.T) {
	for _, n := range []int{10, 100, 300} {
		for _, sc := range scenarios {
			f, err := measure(startFleet(n), sc.injectFault)
			assert.NilError(t, err, "%s with %d processes", sc.name, n)
			// A partition of an hour is repaired by the exchange every 5 s.
			limit := 6 * time.Second
			if sc.name == "partition" {
				limit = 8 * time.Second
			}
			assert.Assert(t, f.last <= limit, "%s with %d processes: %s", sc.name, n, f.last)
			assert.Assert(t, f.idleCalls < float64(3*dataCentres(n)), "%s with %d processes: %f calls/s", sc.name, n, f.idleCalls)
		}
	}
}

// Guards against processes that, while the platform is stale, do not start or
// start with a configuration below that of their peers.
func TestFleetRestarts(t *testing.T) {
	s := startFleet(100)
	s.publish(head(2, 1), true)
	s.runFor(5 * time.Second)
	assert.Assert(t, converged(s))
	s.platform.stale = true
	for i, n := range s.nodes {
		n.start(uint64(1000 + i))
		s.runFor(100 * time.Millisecond)
	}
	s.runFor(10 * time.Second)
	assert.Assert(t, converged(s))
	for _, n := range s.nodes {
		assert.Assert(t, n.machine.Ready())
	}
}

// BenchmarkFleet reports the figures in docs/measurements/configuration.md. Run
// it with -benchtime 1x.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{100, 1000, 14_000} {
		for _, sc := range scenarios {
			b.Run(fmt.Sprintf("%s/%d", sc.name, n), func(b *testing.B) {
				for range b.N {
					f, err := measure(startFleet(n), sc.injectFault)
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(f.median.Seconds()*1000, "median-ms")
					b.ReportMetric(f.p99.Seconds()*1000, "p99-ms")
					b.ReportMetric(f.last.Seconds()*1000, "last-ms")
					b.ReportMetric(f.messages, "messages/node/change")
					b.ReportMetric(f.idleMessages, "idle-messages/node/s")
					b.ReportMetric(f.fetches, "fetches/node/change")
					b.ReportMetric(f.idleCalls, "idle-calls/s")
					b.ReportMetric(f.allCalls, "calls/change")
				}
			})
		}
	}
}
