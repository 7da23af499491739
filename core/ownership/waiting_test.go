package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/relay"
)

// Guards against a busy target that gets every flow that does not fit into the
// queue. With 70 requests in progress at 7 slots, a target dropped requests
// that it had accepted. The load is that of the first second after a loss of
// all VMs.
func TestFullQueueDoesNotFloodTarget(t *testing.T) {
	f := newFixture(t, true)
	f.fillPeers()
	const flows = maxQueued + 100
	atTarget := 0
	for port := uint16(1); port <= flows; port++ {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		atTarget += len(f.out.ToTarget)
	}
	assert.Equal(t, atTarget, 5)
	assert.Equal(t, f.Queued(), maxQueued)
}

// Guards against a full queue in which flows that are already late keep out
// flows that can still be served in time.
func TestFullQueueRefusesTheLeastUrgent(t *testing.T) {
	f := newFixture(t, true)
	f.fillPeers()
	for port := uint16(1); port <= maxQueued+5; port++ {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100, Ack: 2})
	}
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1000), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Assert(t, f.queue.UpdateSince(fleettest.Key(1000), f.now))
	assert.Equal(t, f.Queued(), maxQueued)
	// A new flow that is as late as the others is refused instead of them.
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1001), Open: true, Seq: 100, Ack: 2})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Assert(t, !f.queue.UpdateSince(fleettest.Key(1001), f.now))
}

// Guards against a flow that is placed a second time after its caller was
// refused. The second target would then hold a flow without a caller.
func TestRefusedFlowIsNotPlacedAgain(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	to := f.out.Sends[0].To
	f.out.Clear()
	f.FromPeer(f.now, to, &relay.Message{Kind: relay.Refused, Service: tag, Flow: fleettest.Key(1), Load: relay.Load{Flags: relay.FlagAgent}}, &f.out)
	f.advance(maxOwnerTimeout)
	assert.Equal(t, len(f.out.Sends), 0)
	assert.Equal(t, f.Records(), 0)
}

// Guards against a balancer and a home that are not notified of a refusal and
// place the flow again.
func TestRefusalIsTold(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	f.out.Clear()
	p := flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100}
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Place, Service: tag, Origin: balancer, Home: fleettest.Agent(1), Hops: maxHops, Body: flowtest.Encode(p)}, &f.out)
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Refused, relay.Refused})
	assert.Equal(t, f.out.Sends[0].To, balancer)
	assert.Equal(t, f.out.Sends[1].To, fleettest.Agent(1))
}

// Guards against distant callers whose requests arrive more than 40 ms after
// the acceptance. Their flows counted as given up, and a busy target got three
// times as many flows as it has slots.
func TestFarCallersKeepTheirSlots(t *testing.T) {
	f := newFixture(t, true)
	const roundTrip = 80 * ms
	accept := func(port uint16) {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101})
	}
	const learned = 20
	for port := uint16(1); port <= learned; port++ {
		accept(port)
		f.advance(roundTrip / 2)
		f.advance(roundTrip / 2)
		f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 101, Ack: 5001, Len: 10})
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Seq: 5001, Len: 10})
	}
	for port := uint16(100); port < 105; port++ {
		accept(port)
	}
	f.advance(roundTrip - ms)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(200), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, f.Queued(), 1)
}

// Guards against callers that open flows long before their first request. The
// expected time of an answer grew to seconds, and every queued flow counted as
// late.
func TestIdleCallersDoNotCountAsSlow(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(1); port <= 20; port++ {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101})
		wait := 5 * ms
		if port%2 == 0 {
			wait = 3 * maxHalfOpenTimeout
		}
		f.advance(wait)
		f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 101, Ack: 5001, Len: 10})
		f.advance(30 * ms)
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Seq: 5001, Len: 10})
	}
	assert.Assert(t, f.answerTime() < 100*ms, "the expected time of an answer is %s", f.answerTime())
	assert.Assert(t, f.roundTripTimes.Mean() < 10*ms, "the mean round trip is %s", f.roundTripTimes.Mean())
}
