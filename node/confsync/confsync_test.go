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

// addrPort returns an address that is unique for net and an i below 2^24.
func addrPort(net byte, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{net, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
}

// exampleConfig returns a valid configuration with one service.
func exampleConfig(version uint64, targets int) *config.Config {
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

// TestFleetFollows checks that every process receives each published
// configuration, and that only the readers watch the platform.
func TestFleetFollows(t *testing.T) {
	f := newFleet(t, 12, 1)
	f.platform.publishConfig(exampleConfig(1, 2500))
	f.start(t, 0, 12)
	f.awaitVersion(t, 1, 10*time.Second)
	readers := 0
	for _, n := range f.nodes {
		<-n.Ready()
		if n.Status().Reader {
			readers++
		}
	}
	assert.Equal(t, readers, 3)
	for version := uint64(2); version < 5; version++ {
		f.platform.publishConfig(exampleConfig(version, 2500))
		f.awaitVersion(t, version, 2*time.Second)
	}
	assert.Equal(t, len(f.nodes[5].Current().Services[0].Targets), 2500)
}

// TestStartWhilePlatformIsStale checks that a process that starts while the
// platform has an older version adopts the version of its peers, and that no
// process goes back while the platform is stale or unreachable.
func TestStartWhilePlatformIsStale(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.platform.publishConfig(exampleConfig(5, 2))
	f.start(t, 0, 5)
	f.awaitVersion(t, 5, 10*time.Second)
	f.platform.publishConfig(exampleConfig(4, 2))
	f.start(t, 5, 6)
	<-f.nodes[5].Ready()
	assert.Equal(t, f.nodes[5].Current().Version, uint64(5))
	f.platform.setUnreachable("", true)
	time.Sleep(300 * time.Millisecond)
	for _, n := range f.nodes {
		assert.Equal(t, n.Current().Version, uint64(5))
	}
}

// TestConflictHasOneWinner checks that all processes adopt the same
// configuration if two different ones are published under one version.
func TestConflictHasOneWinner(t *testing.T) {
	f := newFleet(t, 8, 2)
	one, other := exampleConfig(3, 2), exampleConfig(3, 3)
	f.platform.publishConfig(one)
	f.start(t, 0, 8)
	f.awaitVersion(t, 3, 10*time.Second)
	f.platform.publishConfig(other)
	winner := config.HeadOf(one)
	if config.HeadLess(winner, config.HeadOf(other)) {
		winner = config.HeadOf(other)
	}
	deadline := time.Now().Add(10 * time.Second)
	// The processes already have the first configuration. If it is the winner,
	// only the alarm shows that the other one has arrived.
	for !f.hasAlarm("version_conflict") {
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

// hasAlarm reports whether any process has counted an alarm of the kind.
func (f *testFleet) hasAlarm(kind string) bool {
	var out bytes.Buffer
	for _, n := range f.nodes {
		n.metrics.WritePrometheus(&out)
	}
	return bytes.Contains(out.Bytes(), []byte(`trefoilweir_config_alarms_total{kind="`+kind+`"}`))
}

// TestInvalidIsRefused checks that an invalid configuration is not adopted and
// does not block the next one.
func TestInvalidIsRefused(t *testing.T) {
	f := newFleet(t, 5, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 5)
	f.awaitVersion(t, 1, 10*time.Second)
	bad := exampleConfig(2, 2)
	bad.Services[0].Targets[1].Slots = 0
	f.platform.publishConfig(bad)
	time.Sleep(500 * time.Millisecond)
	for _, n := range f.nodes {
		assert.Equal(t, n.Current().Version, uint64(1))
	}
	f.platform.publishConfig(exampleConfig(3, 2))
	f.awaitVersion(t, 3, 2*time.Second)
}

// TestPartitionHeals checks that all processes have the same configuration
// after a network partition has healed. The side that was cut off from the
// platform learns of the change from a peer.
func TestPartitionHeals(t *testing.T) {
	f := newFleet(t, 6, 2)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 6)
	f.awaitVersion(t, 1, 10*time.Second)
	for i, a := range f.nodes {
		f.platform.setUnreachable(a.name, i%2 == 1)
		for j, b := range f.vms {
			if i%2 != j%2 {
				f.blocked.Store(a.name+">"+b.PeerAddress.String(), true)
			}
		}
	}
	f.platform.publishConfig(exampleConfig(2, 2))
	for _, i := range []int{0, 2, 4} {
		awaitVersion(t, f.nodes[i], 2, 10*time.Second)
	}
	time.Sleep(time.Second)
	for _, i := range []int{1, 3, 5} {
		assert.Equal(t, f.nodes[i].Current().Version, uint64(1))
	}
	f.blocked.Clear()
	f.awaitVersion(t, 2, 15*time.Second)
}

// TestVMListSpreads checks that a change of the list of VMs reaches every
// process, also those that are not readers.
func TestVMListSpreads(t *testing.T) {
	f := newFleet(t, 10, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 10)
	f.awaitVersion(t, 1, 10*time.Second)
	f.vms[4].State = config.VMLeaving
	f.platform.publishVMs(append(f.vms[:9:9], config.VM{Name: "new", DataCentre: "dc-0", State: config.VMLive}))
	f.awaitVMs(t, func(vms []config.VM) bool {
		return len(vms) == 10 && vms[9].Name == "new" && vms[4].State == config.VMLeaving
	})
}

// TestVMListSpreadsAfterRestore checks that a change of the list of VMs reaches
// every process after the platform returned from an older copy, so that the list
// has a lower revision than before. Processes that are not readers kept the old
// list for a minute or more.
func TestVMListSpreadsAfterRestore(t *testing.T) {
	const processes, older = 10, 3
	f := newFleet(t, processes, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, processes)
	f.awaitVersion(t, 1, 10*time.Second)
	f.vms[4].State = config.VMLeaving
	f.platform.publishVMs(f.vms)
	f.awaitVMs(t, func(vms []config.VM) bool { return vms[4].State == config.VMLeaving })
	f.platform.restore(older)
	f.vms[5].State = config.VMLeaving
	f.platform.publishVMs(f.vms)
	f.awaitVMs(t, func(vms []config.VM) bool { return vms[5].State == config.VMLeaving })
}

// TestDeadParents checks that a change reaches the other processes after two of
// the three readers of a data centre have died and are still in the list of VMs.
// Their children must switch to another parent.
func TestDeadParents(t *testing.T) {
	f := newFleet(t, 12, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 12)
	f.awaitVersion(t, 1, 10*time.Second)
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
		f.platform.publishConfig(exampleConfig(version, 2))
		for _, n := range alive {
			awaitVersion(t, n, version, 6*time.Second)
		}
	}
}

// TestPlatformComesBackWithNewRevisions checks that readers notice a change soon
// after an outage of a platform that has restarted its revisions. They must not
// wait for a revision above the one that they read before the outage.
func TestPlatformComesBackWithNewRevisions(t *testing.T) {
	f := newFleet(t, 4, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 4)
	f.awaitVersion(t, 1, 10*time.Second)
	f.platform.setUnreachable("", true)
	time.Sleep(3 * time.Second)
	f.platform.mu.Lock()
	f.platform.revision = 0
	f.platform.mu.Unlock()
	f.platform.publishConfig(exampleConfig(2, 2))
	f.platform.setUnreachable("", false)
	f.awaitVersion(t, 2, 5*time.Second)
}

// TestPanicsAreContained checks that a panic in a task is counted, and that the
// process still adopts later configurations.
func TestPanicsAreContained(t *testing.T) {
	f := newFleet(t, 5, 1)
	f.platform.publishConfig(exampleConfig(1, 2))
	f.start(t, 0, 5)
	f.awaitVersion(t, 1, 10*time.Second)
	for version := uint64(2); version < 6; version++ {
		f.panics.Store(int32(version))
		f.platform.publishConfig(exampleConfig(version, int(version)))
		f.awaitVersion(t, version, 15*time.Second)
	}
	counted := 0.0
	for _, n := range f.nodes {
		counted += n.counter(`trefoilweir_panics_total{part="confsync"}`)
	}
	assert.Assert(t, counted >= 4, "only %f panics were counted", counted)
}
