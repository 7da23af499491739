package confsync_test

import (
	"bytes"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
)

// addrPort returns different addresses for different i below 2^24.
func addrPort(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{net, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// example returns a valid configuration.
func example(version uint64, targets int) *config.Config {
	c := &config.Config{Version: version, Preset: "ordinary", AgentNetworks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
		Presets: map[string]config.Preset{"ordinary": {Bias: config.BiasBalance}}}
	s := config.Service{Name: "booking", ID: 1, Address: netip.MustParseAddrPort("192.0.2.10:443"),
		Classes: []config.Class{{Name: "all", PathPrefix: "/", HoldsSlot: true}}}
	for i := range targets {
		s.Targets = append(s.Targets, config.Target{Name: fmt.Sprintf("booking-%d", i), DataCentre: "dc-0", Agent: addrPort(10, i), Peer: addrPort(10, 1<<20+i),
			Slots: 7, Connections: 2000, Speed: 1, State: config.TargetActive})
	}
	c.Services = []config.Service{s}
	return c
}

// Guards against a fleet that does not follow the platform through its tree,
// and against one in which every process reads the platform.
func TestFleetFollows(t *testing.T) {
	f := newFleet(t, 12, 1)
	f.platform.publish(example(1, 2500))
	f.start(t, 0, 12)
	f.await(t, 1, 10*time.Second)
	readers := 0
	for _, n := range f.nodes {
		<-n.Ready()
		if n.Status().Reader {
			readers++
		}
	}
	assert.Equal(t, readers, 3)
	for version := uint64(2); version < 5; version++ {
		f.platform.publish(example(version, 2500))
		f.await(t, version, 2*time.Second)
	}
	assert.Equal(t, len(f.nodes[5].Current().Services[0].Targets), 2500)
}

// Guards against a process that starts with a stale configuration while the
// platform is down or behind, and against one that goes back.
func TestStartWhilePlatformIsStale(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.platform.publish(example(5, 2))
	f.start(t, 0, 5)
	f.await(t, 5, 10*time.Second)
	f.platform.publish(example(4, 2))
	f.start(t, 5, 6)
	<-f.nodes[5].Ready()
	assert.Equal(t, f.nodes[5].Current().Version, uint64(5))
	f.platform.setCut("", true)
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.nodes {
		assert.Equal(t, n.Current().Version, uint64(5))
	}
}

// Guards against two contents under one version that stay in force on
// different processes.
func TestConflictHasOneWinner(t *testing.T) {
	f := newFleet(t, 8, 2)
	one, other := example(3, 2), example(3, 3)
	f.platform.publish(one)
	f.start(t, 0, 8)
	f.await(t, 3, 10*time.Second)
	f.platform.publish(other)
	winner := config.HeadOf(one)
	if config.HeadLess(winner, config.HeadOf(other)) {
		winner = config.HeadOf(other)
	}
	deadline := time.Now().Add(10 * time.Second)
	// The processes have the first content already. If it is the winner, only
	// the alarm shows that the other one has arrived.
	for !f.alarmed("version_conflict") {
		assert.Assert(t, time.Now().Before(deadline), "no process reports the conflict")
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range f.nodes {
		for n.Status().Hash != winner.Hash.String() {
			assert.Assert(t, time.Now().Before(deadline), "%s has %+v", n.name, n.Status())
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// alarmed reports whether any process counts an alarm of the kind.
func (f *testFleet) alarmed(kind string) bool {
	var out bytes.Buffer
	for _, n := range f.nodes {
		n.metrics.WritePrometheus(&out)
	}
	return bytes.Contains(out.Bytes(), []byte(`trefoilweir_config_alarms_total{kind="`+kind+`"}`))
}

// Guards against a configuration that is not valid being put in force, and
// against one that blocks the next.
func TestInvalidIsRefused(t *testing.T) {
	f := newFleet(t, 5, 1)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 5)
	f.await(t, 1, 10*time.Second)
	bad := example(2, 2)
	bad.Services[0].Targets[1].Slots = 0
	f.platform.publish(bad)
	time.Sleep(500 * time.Millisecond)
	for _, n := range f.nodes {
		assert.Equal(t, n.Current().Version, uint64(1))
	}
	f.platform.publish(example(3, 2))
	f.await(t, 3, 2*time.Second)
}

// Guards against a partition whose sides stay different after it has healed:
// the side without the platform learns of the change from a peer.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 6)
	f.await(t, 1, 10*time.Second)
	for i, a := range f.nodes {
		f.platform.setCut(a.name, i%2 == 1)
		for j, b := range f.vms {
			if i%2 != j%2 {
				f.blocked.Store(a.name+">"+b.PeerAddress.String(), true)
			}
		}
	}
	f.platform.publish(example(2, 2))
	for _, i := range []int{0, 2, 4} {
		await(t, f.nodes[i], 2, 10*time.Second)
	}
	time.Sleep(time.Second)
	for _, i := range []int{1, 3, 5} {
		assert.Equal(t, f.nodes[i].Current().Version, uint64(1))
	}
	f.blocked.Clear()
	f.await(t, 2, 15*time.Second)
}

// Guards against a list of VMs that does not reach processes below the
// readers, and against a change of it that does not arrive.
func TestVMListSpreads(t *testing.T) {
	f := newFleet(t, 10, 1)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 10)
	f.await(t, 1, 10*time.Second)
	f.vms[4].State = config.VMLeaving
	f.platform.list(append(f.vms[:9:9], config.VM{Name: "new", DataCentre: "dc-0", State: config.VMLive}))
	deadline := time.Now().Add(5 * time.Second)
	for _, n := range f.nodes {
		for vms := n.VMs(); len(vms) != 10 || vms[9].Name != "new" || vms[4].State != config.VMLeaving; vms = n.VMs() {
			assert.Assert(t, time.Now().Before(deadline), "%s has %v", n.name, vms)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against dead parents that keep their children from a change: two of
// the three readers of a data centre die, and stay in the list of VMs.
func TestDeadParents(t *testing.T) {
	f := newFleet(t, 12, 1)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 12)
	f.await(t, 1, 10*time.Second)
	for _, n := range f.nodes {
		<-n.Ready()
	}
	var alive []*node
	dead := 0
	for _, n := range f.nodes {
		if n.Status().Reader && dead < 2 {
			dead++
			n.stop()
			n.server.CloseClientConnections()
			continue
		}
		alive = append(alive, n)
	}
	for version := uint64(2); version < 4; version++ {
		f.platform.publish(example(version, 2))
		for _, n := range alive {
			await(t, n, version, 6*time.Second)
		}
	}
}

// Guards against readers that wait for a revision of the time before the
// platform was replaced, and against a slow return after an outage.
func TestPlatformComesBackWithNewRevisions(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 4)
	f.await(t, 1, 10*time.Second)
	f.platform.setCut("", true)
	time.Sleep(3 * time.Second)
	f.platform.mu.Lock()
	f.platform.revision = 0
	f.platform.mu.Unlock()
	f.platform.publish(example(2, 2))
	f.platform.setCut("", false)
	f.await(t, 2, 5*time.Second)
}

// Guards against a panic in a task that ends the process or the following of
// the configuration.
func TestPanicsAreContained(t *testing.T) {
	f := newFleet(t, 5, 1)
	f.platform.publish(example(1, 2))
	f.start(t, 0, 5)
	f.await(t, 1, 10*time.Second)
	for version := uint64(2); version < 6; version++ {
		f.panics.Store(int32(version))
		f.platform.publish(example(version, int(version)))
		f.await(t, version, 15*time.Second)
	}
	counted := 0.0
	for _, n := range f.nodes {
		counted += n.counter(`trefoilweir_panics_total{part="confsync"}`)
	}
	assert.Assert(t, counted >= 4, "%f panics", counted)
}
