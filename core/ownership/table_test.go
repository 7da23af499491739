package ownership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/flowtable"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// downTime is the time between the end of an agent and its next start.
const downTime = 1500 * ms

// restart returns the next run of an agent, which waits for its table, and the
// table of the last one as it is transferred.
func (f *fixture) restart() (next *fixture, table *flowtable.Table) {
	b, err := f.ExportTable(f.now).Encode()
	assert.NilError(f, err)
	table, err = flowtable.Decode(b)
	assert.NilError(f, err)
	next = &fixture{T: f.T, now: f.now + downTime}
	next.Machine = New(next.now, Options{Self: f.Self, DataCentre: f.DataCentre, Service: f.Service, Target: f.Target, Codec: f.Codec, View: f.View, AwaitTable: true})
	next.heartbeats(1, 2)
	return next, table
}

func (f *fixture) importTable(table *flowtable.Table) string {
	f.out.Clear()
	return f.ImportTable(f.now, table, downTime, &f.out)
}

func (f *fixture) searchFrom(n byte, p flow.Packet) []relay.Kind {
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Search, Service: tag, Origin: balancer, Home: fleettest.Agent(n), Body: flowtest.Encode(p)}, &f.out)
	return f.sentKinds()
}

// fixtureWithTable returns an agent that was restarted while its target held flow
// 1, and the table.
func fixtureWithTable(t *testing.T) (*fixture, *flowtable.Table) {
	f := newFixture(t, true)
	f.advance(0)
	f.openFlow(1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Ack: 111, Len: 1200})
	return f.restart()
}

// Guards against probes of other targets after a planned restart: an agent with
// the table of its last run delivers the packets of its flows, and denies others.
func TestRestartedAgentKnowsItsFlows(t *testing.T) {
	f, table := fixtureWithTable(t)
	assert.Equal(t, f.importTable(table), "")
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 6201, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.DeepEqual(t, f.searchFrom(1, flow.Packet{Key: fleettest.Key(2), Seq: 111, Ack: 6201, Len: 10}), []relay.Kind{relay.NotOwner})
	assert.Equal(t, len(f.out.ToTarget), 0)
	// The caller's packet acknowledges what this target has not sent.
	assert.DeepEqual(t, f.searchFrom(1, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 999_999, Len: 10}), []relay.Kind{relay.NotOwner})
}

// Guards against an answer for an unknown flow before the agent has its table: "may
// be" causes a probe, and a denial may be wrong. What is held must be handled in
// the end.
func TestAgentHoldsMessagesUntilItHasItsTable(t *testing.T) {
	f, table := fixtureWithTable(t)
	held := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 6201, Len: 10}
	unknown := flow.Packet{Key: fleettest.Key(2), Seq: 111, Ack: 6201, Len: 10}
	for range 2 {
		assert.Equal(t, len(f.searchFrom(1, held)), 0)
		assert.Equal(t, len(f.searchFrom(1, unknown)), 0)
	}
	f.balancerSends(relay.Packet, held)
	f.probeFrom(2, unknown)
	assert.Equal(t, len(f.out.Sends)+len(f.out.ToTarget), 0)
	// A search of the whole data centre is declined, because a held answer would
	// come too late for its asker.
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Survey, Service: tag, Origin: balancer, Body: flowtest.Encode(unknown), Progress: f.View.Progress()}, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.MaybeOwner})

	assert.Equal(t, f.importTable(table), "")
	assert.Equal(t, len(f.out.ToTarget), 2)
	kinds := f.sentKinds()
	slices.Sort(kinds)
	assert.DeepEqual(t, kinds, []relay.Kind{relay.Owner, relay.Owner, relay.NotOwner, relay.NotOwner})
	assert.Assert(t, !f.Restoring())
}

// Guards against an agent that holds messages for long or without bounds because
// there is no table or no view. Without a table it is in doubt.
func TestWaitForTheTableIsBounded(t *testing.T) {
	f, _ := fixtureWithTable(t)
	for port := range uint16(maxHeldMessages + 10) {
		f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(100 + port), Seq: 111, Ack: 6201, Len: 10})
	}
	assert.Equal(t, len(f.restore.held), maxHeldMessages)
	assert.Equal(t, f.out.Events[0].Reason, "restoring")
	f.advance(0)
	f.advance(flowtable.RestoreTimeout + restoreMargin)
	assert.Assert(t, !f.Restoring())
	assert.DeepEqual(t, f.searchFrom(1, flow.Packet{Key: fleettest.Key(2), Seq: 111, Ack: 6201, Len: 10}), []relay.Kind{relay.MaybeOwner})

	empty := New(0, Options{Self: fleettest.Agent(0), View: fleet.New(), Codec: flowtest.Codec{}, AwaitTable: true})
	var out plane.Out
	empty.Tick(maxRestoreWait-ms, &out)
	assert.Assert(t, empty.Restoring())
	empty.Tick(maxRestoreWait, &out)
	assert.Assert(t, !empty.Restoring())
}

// Guards against callers of lost flows that wait longer after the loss of all VMs:
// there a target is known to be fresh, and its table is of no use.
func TestFreshTargetEndsTheWaitForTheTable(t *testing.T) {
	f, table := fixtureWithTable(t)
	f.TargetNotRunning(f.now, &f.out)
	f.advance(ms)
	assert.Assert(t, !f.Restoring())
	assert.Equal(t, f.importTable(table), "target_fresh")
}

// Guards against a denial of flows that the target holds: the table is of another
// incarnation of the target, or of another target.
func TestTableOfAnotherTargetIsNotUsed(t *testing.T) {
	for name, change := range map[string]func(*flowtable.Table){
		"other_incarnation": func(table *flowtable.Table) { table.TargetStartUnixMS++ },
		"other_target": func(table *flowtable.Table) {
			table.Target = netip.AddrPortFrom(table.Target.Addr(), table.Target.Port()+1)
		},
	} {
		f, table := fixtureWithTable(t)
		change(table)
		assert.Equal(t, f.importTable(table), name)
		assert.Equal(t, f.Flows(), 0)
		assert.DeepEqual(t, f.searchFrom(1, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 6201, Len: 10}), []relay.Kind{relay.MaybeOwner})
	}
	// A target whose entry is not listed at the moment is taken for the same.
	f, table := fixtureWithTable(t)
	f.removeTargets(0)
	assert.Equal(t, f.importTable(table), "")
}

// Guards against a denial by an agent that did not know all flows of its target
// itself when it stopped: its doubt travels with the table.
func TestDoubtTravels(t *testing.T) {
	f := newFixture(t, false)
	f.advance(0)
	unknown := flow.Packet{Key: fleettest.Key(2), Seq: 111, Ack: 6201, Len: 10}
	for range 3 {
		next, table := f.restart()
		assert.Equal(t, next.importTable(table), "")
		assert.DeepEqual(t, next.searchFrom(1, unknown), []relay.Kind{relay.MaybeOwner})
		f = next
		f.advance(time.Second)
	}
	f.advance(defaultFlowTTL)
	f.advance(doubtTTL + ms)
	next, table := f.restart()
	assert.Equal(t, next.importTable(table), "")
	assert.DeepEqual(t, next.searchFrom(1, unknown), []relay.Kind{relay.NotOwner})
}

// Guards against more probes of a flow than its budget because a probed agent
// forgets them when it restarts.
func TestProbesTravel(t *testing.T) {
	f := newFixture(t, false)
	f.advance(0)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.probeFrom(1, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
	next, table := f.restart()
	assert.Equal(t, next.importTable(table), "")
	next.searchFrom(1, p)
	assert.Equal(t, next.out.Sends[0].Message.Kind, relay.MaybeOwner)
	assert.Equal(t, next.out.Sends[0].Message.Probes, uint8(1))

	p.Returned = true
	f.targetSends(p)
	p.Returned = false
	next, table = f.restart()
	assert.Equal(t, next.importTable(table), "")
	assert.DeepEqual(t, next.searchFrom(1, p), []relay.Kind{relay.NotOwner}) // The target has returned a packet.
	next.advance(probeWindow)
	assert.Equal(t, next.ownTargetProbes(next.now, p.Key), 0)
}

// Guards against the loss of a flow that the target accepts while its agent
// restarts.
func TestOfferedFlowTravels(t *testing.T) {
	f := newFixture(t, true)
	f.advance(0)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	next, table := f.restart()
	assert.Equal(t, next.importTable(table), "")
	next.advance(acceptTimeout)
	assert.Equal(t, len(next.out.Sends), 0, "the agent hands over a flow that its target may hold")
	next.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	assert.DeepEqual(t, next.sentKinds(), []relay.Kind{relay.Owner})
	assert.Equal(t, next.out.Sends[0].To, balancer)
	next.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 5001, Len: 10})
	assert.Equal(t, len(next.out.ToTarget), 1)
}

// Guards against a table that replaces what the agent has seen since its start:
// packets of its target, and a new flow from a port that is used again.
func TestTableComesAfterPackets(t *testing.T) {
	f, table := fixtureWithTable(t)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 6201, Ack: 111, Len: 1200})
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 7401, Ack: 111, Len: 1200})
	assert.Equal(t, f.importTable(table), "")
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 8601, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)

	f, table = fixtureWithTable(t)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 70_000})
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 90_000, Ack: 70_001})
	assert.Equal(t, f.importTable(table), "")
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 70_001, Ack: 90_001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}
