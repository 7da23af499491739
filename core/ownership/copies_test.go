package ownership

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Guards against the refusal of a flow that another target has accepted. The
// flow is queued here, and the copy that its caller has sent since went to
// another agent, because the reports of this one were lost.
func TestFlowWhoseCopyWentElsewhereIsNotRefused(t *testing.T) {
	for copiesSeenHere, refusals := range []int{0, 0, 1} {
		f := newFixture(t, true)
		for port := uint16(100); port < 105; port++ {
			f.openFlow(port)
		}
		f.fillPeers()
		key := fleettest.Key(1)
		f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100})
		f.advance(firstCopyAge)
		if copiesSeenHere >= 1 {
			f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100, Ack: 1})
		}
		f.advance(secondCopyAge - firstCopyAge)
		if copiesSeenHere >= 2 {
			f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100, Ack: 2})
		}
		assert.Equal(t, f.Queued(), 1)
		f.advance(defaultTimeout)
		assert.Equal(t, f.Queued(), 0)
		assert.Equal(t, len(f.out.ToCaller), refusals, "with %d copies seen", copiesSeenHere)
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Refused})
	}
}

// Guards against the refusal of such a flow when the target starts to drain.
func TestQueuedFlowOfDrainingTargetIsNotRefused(t *testing.T) {
	for copiesSeenHere, refusals := range []int{0, 1} {
		f := newFixture(t, true)
		for port := uint16(100); port < 105; port++ {
			f.openFlow(port)
		}
		f.fillPeers()
		key := fleettest.Key(1)
		f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100})
		f.advance(firstCopyAge)
		if copiesSeenHere == 1 {
			f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100, Ack: 1})
		}
		f.removeTargets(0, 1, 2)
		f.advance(ms)
		assert.Equal(t, f.Queued(), 0)
		assert.Equal(t, len(f.out.ToCaller), refusals, "with %d copies seen", copiesSeenHere)
	}
}

// Guards against the refusal of a flow that a target may have accepted, because
// the report of its agent was lost and no other target is left.
func TestPlacedFlowIsNotRefusedByItsHome(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	f.removeTargets(0, 1, 2)
	f.advance(minOwnerTimeout)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against the reset of an open flow by the copy of its opening packet:
// the copy reaches another home after all targets have begun to drain.
func TestCopyAtAnotherHomeIsNotRefused(t *testing.T) {
	f := newFixture(t, true)
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{
		{ID: "a", Revision: 198, Target: fleettest.Target(0, fleet.Draining)},
		{ID: "b", Revision: 199, Target: fleettest.Target(1, fleet.Draining)},
		{ID: "c", Revision: 200, Target: fleettest.Target(2, fleet.Draining)}}})
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: 1})
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against the reset of a new flow by an agent whose target has got the
// opening packet and accepts it a moment later, because no other target takes it.
func TestOfferedFlowIsNotRefused(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.advance(acceptTimeout + ms)
	assert.Equal(t, len(f.out.ToCaller), 0)
	// Neither is a duplicate of the network or a copy of the caller.
	for copies := range uint32(2) {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: copies})
		assert.Equal(t, len(f.out.ToCaller)+len(f.out.ToTarget), 0)
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Refused})
	}
	// A flow that the target has not got is refused at once.
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})
	assert.DeepEqual(t, f.refusals(), []string{"silent"})
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Owner})
}

// Guards against a caller that waits for its deadline although the target has
// returned the opening packet, so that nothing has run.
func TestReturnedFlowIsRefused(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Returned: true})
	assert.DeepEqual(t, f.refusals(), []string{"target_full"})
}

// Guards against the refusal of a flow that waits for a slot although the target
// got an earlier copy of its opening packet, when it was silent.
func TestQueuedCopyOfOfferedFlowIsNotRefused(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	f.advance(acceptTimeout + ms)
	for port := uint16(100); port < 105; port++ {
		f.now += silentRetryInterval
		f.openFlow(port)
	}
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: 2})
	assert.Equal(t, f.Queued(), 1)
	f.removeTargets(0)
	f.advance(ms)
	assert.Equal(t, f.Queued(), 0)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against a home that refuses a flow of which the chosen target has got the
// opening packet, when the network duplicates the packet after the target's agent
// has given up the wait.
func TestHomeDoesNotRefuseOfferedFlow(t *testing.T) {
	home, owner := newFixture(t, true), newFixture(t, true)
	owner.Self, owner.Target = fleettest.Agent(1), netip.AddrPortFrom(fleettest.Agent(1), 80)
	home.Leave()
	for _, f := range []*fixture{home, owner} {
		f.removeTargets(2)
	}
	owner.removeTargets(0)
	opening := flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100}
	home.balancerSends(relay.Open, opening)
	assert.DeepEqual(t, home.sentKinds(), []relay.Kind{relay.Place})
	place := home.out.Sends[0].Message
	owner.out.Clear()
	owner.FromPeer(owner.now, home.Self, &place, &owner.out)
	assert.Equal(t, len(owner.out.ToTarget), 1)
	owner.advance(acceptTimeout + ms)
	assert.Equal(t, len(owner.out.ToCaller), 0)
	home.now = owner.now
	for _, s := range owner.out.Sends {
		if message := s.Message; s.To == home.Self {
			home.FromPeer(home.now, owner.Self, &message, &home.out)
		}
	}
	home.removeTargets(1)
	home.balancerSends(relay.Open, opening)
	assert.Equal(t, len(home.out.ToCaller), 0)
	home.advance(maxOwnerTimeout)
	home.balancerSends(relay.Open, opening)
	assert.Equal(t, len(home.out.ToCaller), 0)
}

// Guards against the refusal of a flow by an agent to which it was handed over,
// although the target before it has got the opening packet, and against a caller
// that waits although no target has got it.
func TestHandedOverFlowIsRefusedOnlyIfNoTargetGotIt(t *testing.T) {
	opening := flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100}
	handOver := func(first *fixture) relay.Message {
		for _, s := range first.out.Sends {
			if s.Message.Kind == relay.Place {
				got, err := relay.Decode(s.Message.Append(nil))
				assert.NilError(t, err)
				return got
			}
		}
		t.Fatal("not handed over")
		return relay.Message{}
	}
	silent := newFixture(t, true)
	silent.balancerSends(relay.Place, opening)
	silent.advance(acceptTimeout)
	leaving := newFixture(t, true)
	leaving.Leave()
	leaving.balancerSends(relay.Place, opening)
	// The home has tried a target that does not report.
	home := newFixture(t, true)
	home.Leave()
	home.balancerSends(relay.Open, opening)
	home.advance(maxOwnerTimeout)
	for name, c := range map[string]struct {
		first    *fixture
		refusals int
	}{"silent": {silent, 0}, "leaving": {leaving, 1}, "not reported": {home, 0}} {
		msg := handOver(c.first)
		second := newFixture(t, true)
		second.Leave()
		second.removeTargets(1, 2)
		second.out.Clear()
		second.FromPeer(second.now, fleettest.Agent(1), &msg, &second.out)
		assert.Equal(t, len(second.out.ToCaller), c.refusals, name)
		// A flow that waits at the second target is handled alike.
		waiting := newFixture(t, true)
		for port := uint16(100); !waiting.full(); port++ {
			waiting.openFlow(port)
		}
		waiting.fillPeers()
		msg.Hops = maxHops
		waiting.FromPeer(waiting.now, fleettest.Agent(1), &msg, &waiting.out)
		assert.Equal(t, waiting.Queued(), 1, name)
		waiting.removeTargets(0, 1, 2)
		waiting.advance(ms)
		assert.Equal(t, waiting.Queued(), 0, name)
		assert.Equal(t, len(waiting.out.ToCaller), c.refusals, name)
		// The target returns the packet.
		full := newFixture(t, true)
		full.FromPeer(full.now, fleettest.Agent(1), &msg, &full.out)
		assert.Equal(t, len(full.out.ToTarget), 1, name)
		returned := opening
		returned.Returned = true
		full.targetSends(returned)
		assert.Equal(t, len(full.out.ToCaller), c.refusals, name)
	}
}
