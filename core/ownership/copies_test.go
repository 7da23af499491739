package ownership

import (
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
}
