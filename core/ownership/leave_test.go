package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Guards against a planned stop that cuts off requests accepted just before it.
// They may be offered to the target, accepted by it, sent, or queued.
func TestPlannedStopFinishesWhatWasAccepted(t *testing.T) {
	f := newFixture(t, true)
	key := fleettest.Key(1)
	f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100})
	f.Leave()
	assert.Assert(t, !f.Idle(), "idle before the target has answered the opening packet")
	f.targetSends(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Assert(t, !f.Idle(), "idle before the request has arrived")
	f.balancerSends(relay.Packet, flow.Packet{Key: key, Seq: 101, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Assert(t, !f.Idle(), "idle while the request is in progress")
	f.targetSends(flow.Packet{Key: key, Seq: 5001, Ack: 111, Len: 100})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Assert(t, f.Idle())
	// New flows go to another target once the stop has begun.
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against flows that are queued at a stopping agent and are lost with
// it.
func TestPlannedStopHandsWaitingFlowsOn(t *testing.T) {
	f := newFixture(t, true)
	port := uint16(1)
	for ; f.Queued() == 0; port++ {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
	}
	f.heartbeats(1, 2)
	f.Leave()
	f.advance(ms)
	assert.Equal(t, f.Queued(), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Equal(t, len(f.out.ToCaller), 0)
}
