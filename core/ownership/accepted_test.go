package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Guards against the reset of a flow that its caller has opened at another
// target. This target accepted a copy of the opening packet, got the caller's
// reset of that copy, and returned it.
func TestFlowOnlyAcceptedHereIsNotReset(t *testing.T) {
	f := newFixture(t, true)
	key := fleettest.Key(1)
	f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100})
	f.targetSends(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101})
	p := flow.Packet{Key: key, Reset: true, Seq: 111, Ack: 777_001}
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.returnProbe(p)
	assert.Equal(t, len(f.out.ToCaller), 0)
	// The caller's next packet is searched for.
	f.balancerSends(relay.Packet, flow.Packet{Key: key, Seq: 111, Ack: 777_001, Len: 10})
	assert.Equal(t, len(f.searchedAgents()), 2)
}
