package ownership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/relay"
)

// Guards against callers of lost flows that wait until their deadlines. After a
// loss of all VMs one target did not come back. Its agent could not tell
// whether the target held a flow, so no lost flow of the service was reset.
func TestTargetThatDoesNotRunHoldsNothing(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.probeFrom(1, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Assert(t, !f.TargetCheckDue(f.now))
	f.advance(acceptTimeout)
	assert.Assert(t, f.TargetCheckDue(f.now))
	assert.Assert(t, !f.TargetCheckDue(f.now), "the check is due again before targetCheckInterval; each check costs the target a connection")
	f.advance(targetCheckInterval)
	assert.Assert(t, f.TargetCheckDue(f.now))
	f.out.Clear()
	f.TargetNotRunning(f.now, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})

	p.Key = fleettest.Key(2)
	f.probeFrom(1, p)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Search, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})
}

// Guards against resets of flows at a running target after one failed check,
// and against checks that are not needed.
func TestRunningTargetIsNotChecked(t *testing.T) {
	f := newFixture(t, false)
	f.advance(targetCheckInterval)
	assert.Assert(t, !f.TargetCheckDue(f.now), "the check is due although the target has had no probe")
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.probeFrom(1, p)
	p.Returned = true
	f.targetSends(p)
	f.advance(targetCheckInterval)
	assert.Assert(t, !f.TargetCheckDue(f.now))
	f.TargetNotRunning(f.now, &f.out)
	assert.Assert(t, f.mayHoldUnknownFlows(f.now))
}

// Guards against a search that ends after its first step because the local target
// is not running.
func TestSearchGoesOnWithoutOwnTarget(t *testing.T) {
	f := newFixture(t, false)
	f.out.Clear()
	f.FromPeer(f.now, balancer, &relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer,
		Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})}, &f.out)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.out.Clear()
	f.TargetNotRunning(f.now, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Search, relay.Search})
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// probeFrom delivers a probe of a peer.
func (f *fixture) probeFrom(from byte, p flow.Packet) {
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(from), &relay.Message{Kind: relay.Probe, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
}

// Guards against a restarted agent that probes its target for every unknown
// flow for a minute. After all agents of a service restarted, targets returned
// 90,000 packets in two seconds.
func TestUnknownFlowsEndWithIdleTimeout(t *testing.T) {
	f := newFixture(t, false)
	const idle = 10 * time.Second
	f.View.Apply(f.now, &fleet.Delta{Revision: 300, ConfigRevision: 300, Config: &fleet.Config{Version: 9, IdleTimeoutMS: int(idle / ms)}})
	f.advance(idle)
	assert.Assert(t, f.mayHoldUnknownFlows(f.now))
	f.advance(idleMargin)
	assert.Assert(t, !f.mayHoldUnknownFlows(f.now))
	other := newFixture(t, false)
	other.advance(defaultFlowTTL - ms)
	assert.Assert(t, other.mayHoldUnknownFlows(other.now), "without an idle timeout, the target may hold unknown flows until defaultFlowTTL")
}
