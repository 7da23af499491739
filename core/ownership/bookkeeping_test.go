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

// setIdleTimeout adopts a version of the routes with another idle timeout.
func (f *fixture) setIdleTimeout(version uint64, idle time.Duration) {
	revision := f.View.Revision() + 1
	f.View.Apply(f.now, &fleet.Delta{Revision: revision, ConfigRevision: revision, Config: &fleet.Config{Version: version, IdleTimeoutMS: int(idle / ms),
		Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: fleettest.Service}}}})
}

// Guards against the reset of an open flow whose caller sends its first request
// long after the handshake. The agent no longer counts such a flow as load, and
// forgot it after closedFlowTTL.
func TestOpenFlowWithoutRequestIsKept(t *testing.T) {
	f := newFixture(t, true)
	key := fleettest.Key(1)
	f.setIdleTimeout(9, 10*time.Second)
	f.balancerSends(relay.Place, flow.Packet{Key: key, Open: true, Seq: 100})
	f.targetSends(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101})
	f.balancerSends(relay.Packet, flow.Packet{Key: key, Seq: 101, Ack: 5001})
	assert.Equal(t, len(f.out.ToTarget), 1)
	for range 9 {
		f.advance(time.Second)
	}
	assert.Equal(t, f.Load().Busy, uint16(0))
	f.balancerSends(relay.Packet, flow.Packet{Key: key, Seq: 101, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against the reset of an open flow because a version with a short idle
// timeout was in force for a moment.
func TestShortIdleTimeoutInBetween(t *testing.T) {
	const long, short = 20 * time.Second, 2 * time.Second
	f := newFixture(t, true)
	f.setIdleTimeout(9, long)
	f.advance(ms)
	f.openFlow(1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Ack: 111, Len: 10})
	f.advance(2*short + time.Second)
	f.setIdleTimeout(10, short)
	f.advance(sweepInterval)
	f.setIdleTimeout(11, long)
	f.advance(sweepInterval)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5011, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a restarted agent that denies a flow of its target because a
// version with a short idle timeout is in force for a moment.
func TestShortIdleTimeoutAfterRestart(t *testing.T) {
	const long, short = 20 * time.Second, 2 * time.Second
	f := newFixture(t, false)
	f.setIdleTimeout(9, long)
	f.advance(ms)
	f.setIdleTimeout(10, short)
	f.advance(long / 2)
	assert.Assert(t, f.mayHoldUnknownFlows(f.now))
	f.advance(long/2 + idleMargin)
	assert.Assert(t, !f.mayHoldUnknownFlows(f.now))
}

// Guards against the reset of an open flow whose first packet after a restart of
// the agent was a retransmission. The caller had acknowledged more than that
// packet, so the agent did not take the caller's packets for this flow.
func TestRetransmissionAfterRestart(t *testing.T) {
	const idle = 10 * time.Second
	f := newFixture(t, false)
	f.setIdleTimeout(9, idle)
	key := fleettest.Key(1)
	f.advance(1500 * ms)
	f.targetSends(flow.Packet{Key: key, Seq: 9001, Ack: 111, Len: 1200})
	p := flow.Packet{Key: key, Seq: 111, Ack: 9001 + 16*1200}
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.advance(idle + idleMargin - 1500*ms)
	assert.Assert(t, !f.mayHoldUnknownFlows(f.now))
	p.Len = 10
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind(nil))
}

// Guards against packets of a flow at another target that reach this one,
// because the agent restarted while its target accepted a copy of the opening
// packet.
func TestAcceptedCopyLearnedAfterRestart(t *testing.T) {
	f := newFixture(t, false)
	key := fleettest.Key(1)
	f.targetSends(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101})
	p := flow.Packet{Key: key, Seq: 101, Ack: 777_001, Len: 10}
	f.balancerSends(relay.Search, p)
	assert.Equal(t, len(f.out.ToTarget), 0)
	p.Ack = 5001
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against the reset of an open flow whose caller sends packets while some
// agent does not answer: none of them reached the flow's own agent, which then
// denied the flow when the idle timeout since its restart was over.
func TestDoubtLastsWhileTheFlowIsSearched(t *testing.T) {
	const idle, callerInterval = 10 * time.Second, 1600 * ms
	f := newFixture(t, false)
	f.setIdleTimeout(9, idle)
	f.advance(idle - time.Second)
	for f.now < idle+idleMargin+2*callerInterval {
		f.balancerSends(relay.Search, unknownPacket)
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.MaybeOwner})
		for range 8 {
			f.advance(callerInterval / 8)
		}
	}
	f.probeFrom(1, unknownPacket)
	assert.Equal(t, len(f.out.ToTarget), 1)
	// Other flows are known by now.
	other := unknownPacket
	other.Key = fleettest.Key(2)
	f.balancerSends(relay.Search, other)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})
}

// Guards against the reset of an open flow whose caller's packets were lost for
// longer than the idle timeout before they reached the owner, which had forgotten
// the flow by then.
func TestOwnerKeepsAFlowWhosePacketsAreLost(t *testing.T) {
	const idle = 2 * time.Second
	f := newFixture(t, true)
	f.setIdleTimeout(9, idle)
	f.openFlow(1)
	for f.now < 5*idle {
		f.advance(sweepInterval)
	}
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	for f.now < 5*idle+2*defaultFlowTTL {
		f.advance(sweepInterval)
	}
	assert.Equal(t, f.Flows(), 0)
}

// Guards against the reset of an open flow by a restarted agent that has seen none
// of its packets within the idle timeout, because they were lost elsewhere.
func TestDoubtOutlastsTheCallersRetransmissions(t *testing.T) {
	const idle, retransmissions = 2 * time.Second, 9 * time.Second
	f := newFixture(t, false)
	f.setIdleTimeout(9, idle)
	f.advance(idle + retransmissions)
	f.balancerSends(relay.Search, unknownPacket)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.MaybeOwner})
}
