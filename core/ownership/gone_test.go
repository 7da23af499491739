package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// removeTargets removes the targets' entries from the view.
func (f *fixture) removeTargets(targets ...byte) {
	for _, n := range targets {
		revision := f.View.Revision() + 1
		f.View.Apply(f.now, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: string('a' + rune(n)), Revision: revision}}})
	}
}

// Guards against new flows at a target whose entry was removed while the
// platform was undisturbed. A flow may come to its agent directly, or through a
// home that has no other target left.
func TestGoneTargetTakesNothingNew(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(0)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})

	f.removeTargets(1, 2)
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Equal(t, f.out.Events[len(f.out.Events)-1].Reason, "no_target")
}

// Guards against targets that get no flows because their entries lapsed while
// the platform was unavailable.
func TestLapsedTargetsServe(t *testing.T) {
	f := newFixture(t, true)
	f.View.RecordDisturbance(f.now)
	f.removeTargets(0, 1, 2)
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.ToTarget)+len(f.out.Sends), 1)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.advance(fleet.ReturnGrace + time.Millisecond)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(3), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against an open flow that is cut because the entry of its target was
// removed. A draining target ends its flows itself.
func TestGoneTargetKeepsItsFlows(t *testing.T) {
	f := newFixture(t, true)
	f.openFlow(1)
	f.removeTargets(0)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against the reset of a flow that a lapsed target got in the last
// seconds before its entry expired.
func TestFlowOfExpiredEntryIsNotReset(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(2)
	f.now = fleet.RemovedEntryRetention - time.Second
	f.View.RecordDisturbance(f.now)
	f.heartbeats(1, 2)
	lapsed := f.View.LapsedTargets(f.now, "booking")
	assert.Equal(t, len(lapsed), 1, "the target still gets new flows")
	f.now += 2 * time.Second
	f.View.Expire(f.now)
	f.View.Confirm(f.now, 0, f.View.Progress())
	f.heartbeats(1, 2)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
}
