package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"trefoilweir.example/core/config"
)

// faultSimulation simulates a small fleet with random faults. Its reference model
// of adoption is simNode.naive, the highest valid head that a process has
// fetched in its current run. The current head of the process must always be
// equal to it.
type faultSimulation struct {
	*simulation
	t *rapid.T
	// lastSeed is the seed of the last start. Each start has another seed.
	lastSeed uint64
	// version is the last published version.
	version uint64
}

func newFaultSimulation(t *rapid.T) *faultSimulation {
	n := rapid.IntRange(2, 12).Draw(t, "processes")
	d := &faultSimulation{simulation: newSimulation(fleet(n, rapid.IntRange(1, 3).Draw(t, "data centres"))), t: t, version: 1}
	d.publishHead(1, true)
	for _, node := range d.nodes {
		d.checkAdoptions(node)
		d.start(node)
	}
	d.runFor(3 * time.Second)
	return d
}

// checkAdoptions makes a process check each adoption against the reference model.
func (d *faultSimulation) checkAdoptions(n *simNode) {
	n.onAdopt = func(before, after config.Head) {
		if !config.HeadLess(before, after) {
			d.t.Fatalf("%s adopts %s, then %s, which is not higher", n.vm.Name, before, after)
		}
		if after != n.naive {
			d.t.Fatalf("%s adopts %s, want %s", n.vm.Name, after, n.naive)
		}
		if d.platform.invalid[after] {
			d.t.Fatalf("%s adopts %s, which is invalid", n.vm.Name, after)
		}
	}
}

func (d *faultSimulation) start(n *simNode) {
	d.lastSeed++
	n.start(d.lastSeed)
}

func (d *faultSimulation) publishHead(hash byte, valid bool) {
	d.publish(head(d.version, hash), valid)
}

func (d *faultSimulation) node() *simNode {
	return d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(d.t, "process")]
}

// randomAction publishes a configuration or changes a fault, at random, and runs
// the simulation for a while.
func (d *faultSimulation) randomAction() {
	switch rapid.IntRange(0, 9).Draw(d.t, "act") {
	case 0, 1:
		d.version++
		d.publishHead(rapid.Byte().Draw(d.t, "hash"), rapid.IntRange(0, 3).Draw(d.t, "valid") > 0)
	case 2:
		// A second operator publishes another configuration with the same
		// version. A head that was invalid before stays invalid.
		h := head(d.version, rapid.Byte().Draw(d.t, "hash"))
		bad, known := d.platform.invalid[h]
		d.publish(h, !known || !bad)
	case 3:
		d.platform.stale = rapid.Bool().Draw(d.t, "stale")
		d.wakeWatchers()
	case 4:
		if n := d.node(); !n.dead && !n.paused {
			n.paused = true
		}
	case 5:
		if n := d.node(); n.paused {
			n.resume()
		}
	case 6:
		d.node().dead = true
	case 7:
		d.start(d.node())
	case 8:
		d.partition(rapid.IntRange(0, 2).Draw(d.t, "partition"))
	case 9:
		d.platform.reachable = func(*simNode) bool { return false }
	}
	d.runFor(time.Duration(rapid.IntRange(1, 8000).Draw(d.t, "milliseconds")) * time.Millisecond)
	d.checkAgainstNaive()
}

// partition divides the processes by index modulo kind+1. Processes with
// remainder 0 reach each other and the platform. The others reach only each
// other. Kind 0 ends a partition.
func (d *faultSimulation) partition(kind int) {
	index := map[*simNode]int{}
	for i, n := range d.nodes {
		index[n] = i
	}
	side := func(n *simNode) bool { return kind == 0 || index[n]%(kind+1) == 0 }
	d.reachable = func(a, b *simNode) bool { return side(a) == side(b) }
	d.platform.reachable = side
}

// checkAgainstNaive compares every live process with the reference model.
func (d *faultSimulation) checkAgainstNaive() {
	for _, n := range d.nodes {
		if !n.dead && n.machine.Current() != n.naive {
			d.t.Fatalf("%s has %s, want %s", n.vm.Name, n.machine.Current(), n.naive)
		}
	}
}

// heal ends all faults and returns the lowest head on which the fleet may
// converge: the highest head of the processes and, if valid, of the platform.
func (d *faultSimulation) heal() config.Head {
	d.partition(0)
	d.platform.stale = false
	d.wakeWatchers()
	var best config.Head
	for _, n := range d.nodes {
		if n.paused {
			n.resume()
		}
		if n.dead {
			d.start(n)
		}
		if config.HeadLess(best, n.machine.Current()) {
			best = n.machine.Current()
		}
	}
	if h := d.platform.head; !d.platform.invalid[h] && config.HeadLess(best, h) {
		best = h
	}
	return best
}

// Guards against a process that adopts a lower or an invalid head or differs from
// the reference model, and against a fleet that does not converge on one head
// after the faults, even if versions were reused.
func TestAdoptionAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newFaultSimulation(t)
		for range rapid.IntRange(1, 25).Draw(t, "acts") {
			d.randomAction()
		}
		want := d.heal()
		d.runFor(30 * time.Second)
		d.checkAgainstNaive()
		for _, n := range d.nodes {
			// A fetch that was in progress when the faults ended may add a
			// higher head.
			got := n.machine.Current()
			assert.Assert(t, !config.HeadLess(got, want), "%s has %s, want at least %s", n.vm.Name, got, want)
			assert.Equal(t, got, d.nodes[0].machine.Current(), fmt.Sprintf("%s and %s differ", n.vm.Name, d.nodes[0].vm.Name))
		}
	})
}
