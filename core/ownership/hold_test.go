package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// fullFixture has five requests in progress on the flows 100 to 104, more than
// slots, and the idle open flow 1 with one answered request.
func fullFixture(t *testing.T) *fixture {
	f := newFixture(t, true)
	f.fillPeers()
	f.openFlow(1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Len: 10})
	for port := uint16(100); port < 105; port++ {
		f.openFlow(port)
	}
	assert.Assert(t, f.full())
	return f
}

// nextRequest is the first packet of the second request of flow 1.
func nextRequest() flow.Packet {
	return flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5011, Len: 10}
}

// answer ends one of the requests in progress.
func (f *fixture) answer(port uint16) {
	f.targetSends(flow.Packet{Key: fleettest.Key(port), Seq: 5001, Len: 10})
}

// Guards against a caller that keeps its flow and goes before all that open one:
// its next request waits like a new flow, and its packets stay as they were.
func TestRequestOnOpenFlowWaits(t *testing.T) {
	f := fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, f.Queued(), 1)
	second := flow.Packet{Key: fleettest.Key(1), Seq: 121, Ack: 5011, Len: 10}
	f.balancerSends(relay.Packet, second)
	f.balancerSends(relay.Packet, nextRequest())
	assert.Equal(t, len(f.out.ToTarget), 0)
	f.answer(100)
	assert.DeepEqual(t, f.out.ToTarget, [][]byte{flowtest.Encode(nextRequest()), flowtest.Encode(second)})
	assert.Equal(t, f.Queued(), 0)
	// The request has begun: its further packets pass.
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 131, Ack: 5011, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a packet that is held although the target may have begun to
// receive its request.
func TestBegunRequestIsNotHeld(t *testing.T) {
	for _, c := range []struct {
		name string
		p    flow.Packet
	}{
		{"a request in progress", flow.Packet{Key: fleettest.Key(100), Seq: 111, Ack: 5001, Len: 10}},
		{"a copy of what the target has", flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 5011, Len: 10}},
		{"a packet after one that is missing", flow.Packet{Key: fleettest.Key(1), Seq: 121, Ack: 5011, Len: 10}},
		{"a caller that lacks a part of the answer", flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}},
		{"an acknowledgement", flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5011}},
		{"the end of the flow", flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5011, Final: true}},
	} {
		f := fullFixture(t)
		f.balancerSends(relay.Packet, c.p)
		assert.Equal(t, len(f.out.ToTarget), 1, c.name)
	}
	// An agent that has restarted does not know what its target has received.
	f := fullFixture(t)
	f.flows[fleettest.Key(1)].callerTopKnown = false
	f.balancerSends(relay.Packet, nextRequest())
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against an idle slot: a request is held only while the target is full.
func TestNothingIsHeldWithFreeSlots(t *testing.T) {
	f := fullFixture(t)
	f.answer(100)
	f.answer(101)
	f.balancerSends(relay.Packet, nextRequest())
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against the reset of an open flow whose request cannot be served in
// time: it is dropped, and the caller may send it again.
func TestHeldRequestIsNotReset(t *testing.T) {
	f := fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	f.advance(defaultTimeout + ms)
	assert.Equal(t, f.Queued(), 0)
	assert.Equal(t, len(f.out.ToCaller)+len(f.out.ToTarget), 0)
	f.answer(100)
	f.answer(101)
	f.balancerSends(relay.Packet, nextRequest())
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a held request that is lost with a planned stop, and against
// an agent that stops before it.
func TestHeldRequestIsDeliveredOnLeave(t *testing.T) {
	f := fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	assert.Assert(t, !f.Idle())
	f.Leave()
	f.advance(ms)
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Equal(t, f.heldFlows, 0)
}

// Guards against packets of a flow that is gone: its caller resets it, its target
// loses it, or its port is used again.
func TestHeldRequestEndsWithItsFlow(t *testing.T) {
	f := fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5011, Reset: true})
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Equal(t, f.Queued()+f.heldFlows, 0)

	f = fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	f.forget(f.now, fleettest.Key(1), f.flows[fleettest.Key(1)])
	assert.Equal(t, f.Queued()+f.heldFlows, 0)

	f = fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 900})
	assert.Equal(t, f.heldFlows, 0)
	assert.Equal(t, f.Queued(), 1)
}

// Guards against unbounded memory: of one flow, and of many.
func TestHeldPacketsAreBounded(t *testing.T) {
	f := fullFixture(t)
	f.balancerSends(relay.Packet, nextRequest())
	for i := range uint32(2 * maxHeldPackets) {
		f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 121 + 10*i, Ack: 5011, Len: 10})
	}
	assert.Equal(t, len(f.flows[fleettest.Key(1)].held), maxHeldPackets)
	f.answer(100)
	f.heldFlows = maxHeldFlows
	assert.Assert(t, f.full())
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(100), Seq: 111, Ack: 5011, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against an urgent new flow that waits behind a request of low priority
// on an open flow, and against a target whose offered slot takes a held request
// away from its flow.
func TestHeldRequestGoesByPriority(t *testing.T) {
	f := fullFixture(t)
	urgent := fleettest.Key(200)
	urgent.ServicePort = 8443
	config := fleet.Config{Version: 50, Routes: []fleet.Route{
		{Name: "low", Address: fleettest.Key(1).Service(), Service: "booking", Kind: fleet.Idempotent, Priority: 2, TimeoutMS: 1000, ObjectiveMS: 200},
		{Name: "urgent", Address: urgent.Service(), Service: "booking", Kind: fleet.NotIdempotent, Priority: 0, TimeoutMS: 1000, ObjectiveMS: 200},
	}}
	f.View.Apply(f.now, &fleet.Delta{Revision: 300, Config: &config, ConfigRevision: 300})
	f.balancerSends(relay.Packet, nextRequest())
	f.now += ms
	f.balancerSends(relay.Place, flow.Packet{Key: urgent, Open: true, Seq: 100})
	assert.Equal(t, f.Queued(), 2)
	f.answer(100)
	assert.Equal(t, f.Queued(), 1)
	assert.Equal(t, f.heldFlows, 1)
	f.offerFrom(2, 0)
	assert.Equal(t, f.heldFlows, 1)
	f.now += time.Millisecond
	f.answer(101)
	assert.Equal(t, f.heldFlows, 0)
	assert.Assert(t, len(f.eventReasons(plane.EventAdmitted)) > 0)
}
