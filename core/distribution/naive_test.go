package distribution_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"trefoilweir.example/core/config"
)

// faultSimulation is a small fleet under random faults. The naive version of
// adoption is the highest valid head that a process ever fetched in its run;
// the machines must agree with it after every step.
type faultSimulation struct {
	*simulation
	t *rapid.T
	// seeds makes each start of a process different.
	seeds uint64
	// version is the last one published.
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

// checkAdoptions checks every adoption against the naive version.
func (d *faultSimulation) checkAdoptions(n *simNode) {
	n.onAdopt = func(before, after config.Head) {
		if !config.Less(before, after) {
			d.t.Fatalf("%s goes back from %s to %s", n.vm.Name, before, after)
		}
		if after != n.naive {
			d.t.Fatalf("%s adopts %s, the naive version has %s", n.vm.Name, after, n.naive)
		}
		if d.platform.invalid[after] {
			d.t.Fatalf("%s adopts %s, which is not valid", n.vm.Name, after)
		}
	}
}

func (d *faultSimulation) start(n *simNode) {
	d.seeds++
	n.start(d.seeds)
}

func (d *faultSimulation) publishHead(hash byte, valid bool) {
	d.publish(head(d.version, hash), valid)
}

func (d *faultSimulation) node() *simNode {
	return d.nodes[rapid.IntRange(0, len(d.nodes)-1).Draw(d.t, "process")]
}

// randomAction does one random thing.
func (d *faultSimulation) randomAction() {
	switch rapid.IntRange(0, 9).Draw(d.t, "act") {
	case 0, 1:
		d.version++
		d.publishHead(rapid.Byte().Draw(d.t, "hash"), rapid.IntRange(0, 3).Draw(d.t, "valid") > 0)
	case 2:
		// A second operator publishes under the same version. A head is
		// valid or not for good.
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

// partition separates the processes of different remainders. One side keeps
// the platform.
func (d *faultSimulation) partition(kind int) {
	index := map[*simNode]int{}
	for i, n := range d.nodes {
		index[n] = i
	}
	side := func(n *simNode) bool { return kind == 0 || index[n]%(kind+1) == 0 }
	d.reachable = func(a, b *simNode) bool { return side(a) == side(b) }
	d.platform.reachable = side
}

// checkAgainstNaive compares every process with the naive version.
func (d *faultSimulation) checkAgainstNaive() {
	for _, n := range d.nodes {
		if !n.dead && n.machine.Current() != n.naive {
			d.t.Fatalf("%s has %s, the naive version %s", n.vm.Name, n.machine.Current(), n.naive)
		}
	}
}

// heal ends all faults and returns the head that must win: the highest that
// a living process has, or what the platform gives.
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
		if config.Less(best, n.machine.Current()) {
			best = n.machine.Current()
		}
	}
	if h := d.platform.head; !d.platform.invalid[h] && config.Less(best, h) {
		best = h
	}
	return best
}

// Guards against a process that goes back, that adopts what is not valid, or
// that differs from the naive version; and against a fleet that does not end
// up with one winner after the faults, however versions were reused.
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
			// A fetch that was in progress at the healing may add a head, so
			// that the winner is at least the expected one.
			got := n.machine.Current()
			assert.Assert(t, !config.Less(got, want), "%s has %s, want at least %s", n.vm.Name, got, want)
			assert.Equal(t, got, d.nodes[0].machine.Current(), fmt.Sprintf("%s and %s differ", n.vm.Name, d.nodes[0].vm.Name))
		}
	})
}
