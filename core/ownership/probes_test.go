package ownership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/relay"
)

// probed returns the agents to which the last step sent probes.
func (f *fixture) probed() (agents []netip.Addr) {
	for _, s := range f.out.Sends {
		if s.Message.Kind == relay.Probe {
			agents = append(agents, s.To)
		}
	}
	return agents
}

// probedAgents counts the probes that the last step sent to other agents.
func (f *fixture) probedAgents() int { return len(f.probed()) }

// fiveAgents returns agent 0 of a service with five agents, which did not
// restart.
func fiveAgents(t *testing.T) *fixture {
	f := newFixture(t, true)
	for n := byte(3); n < 5; n++ {
		revision := f.View.Revision() + 1
		target := fleettest.Target(n, fleet.Ready)
		f.View.Apply(f.now, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: target.ID, Revision: revision, Target: target}}})
	}
	return f
}

// Guards against a search that goes on after the agent's own target has answered
// the probe. In planned restarts of several agents, the packet went to each of
// their targets 80 ms after the owner had been found.
func TestAnsweredProbeEndsTheSearch(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.out.Clear()
	f.FromPeer(f.now, balancer, &relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Ack: 121})
	for end := f.now + searchResultTTL; f.now < end; {
		f.advance(searchRetryDelay)
		assert.Equal(t, len(f.searchedAgents()), 0)
		assert.Equal(t, len(f.out.ToTarget), 0)
	}
}

// Guards against a complete round that leaves out the owner of a flow, because
// probes of an earlier round count against the limit of this one. Two probes of
// an incomplete round and two of the next one all reached wrong targets.
func TestCompleteRoundProbesAllThatMayOwn(t *testing.T) {
	f := fiveAgents(t)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.searchedAgents()), 4)
	f.peerAnswers(1, relay.MaybeOwner, 1)
	f.peerAnswers(2, relay.MaybeOwner, 1)
	f.advance(searchTimeout)
	assert.Equal(t, f.probedAgents(), probeBudget)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 2)
	f.peerAnswers(3, relay.MaybeOwner, 1)
	f.peerAnswers(4, relay.MaybeOwner, 1)
	probed := f.probedAgents()
	for _, n := range []byte{3, 4} {
		f.peerAnswers(n, relay.NotOwner, 1)
		probed += f.probedAgents()
	}
	assert.Equal(t, probed, 2)
}

// Guards against three or more packets that reach wrong targets after the flow's
// own target got one. A caller that then pauses for 2 s sends its target nothing
// in that time. The next probes wait for the answers to the last ones, and the
// owner's report ends them.
func TestProbesComeInBatches(t *testing.T) {
	f := fiveAgents(t)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	for n := byte(1); n < 5; n++ {
		f.peerAnswers(n, relay.MaybeOwner, 1)
	}
	assert.Equal(t, f.probedAgents(), probeBudget)
	probed := f.out.Sends[0].To
	f.out.Clear()
	f.FromPeer(f.now, probed, &relay.Message{Kind: relay.Owner, Service: tag, Flow: fleettest.Key(1)}, &f.out)
	assert.Equal(t, f.probedAgents(), 0)
	f.advance(searchRetryDelay)
	assert.Equal(t, f.probedAgents()+len(f.searchedAgents()), 0)
}

// Guards against a third packet of an open flow that reaches a wrong target
// seconds after the first two, while the flow's own agent is restarting or is
// not found and its target has got none.
func TestProbesStayBoundedWhileAnAgentIsSilent(t *testing.T) {
	f := fiveAgents(t)
	const callerInterval = 1600 * ms
	probes, nextPacket := 0, f.now
	// denyProbes makes each agent that got a probe deny the flow.
	denyProbes := func() {
		for len(f.probed()) > 0 {
			to := f.probed()[0]
			probes++
			f.out.Clear()
			f.FromPeer(f.now, to, &relay.Message{Kind: relay.NotOwner, Service: tag, Flow: unknownPacket.Key}, &f.out)
		}
	}
	for end := f.now + 20*time.Second; f.now < end; {
		if f.now >= nextPacket {
			nextPacket += callerInterval
			f.balancerSends(relay.Packet, unknownPacket)
			denyProbes()
		}
		for n := byte(1); n < 4; n++ {
			f.peerAnswers(n, relay.MaybeOwner, 1)
			denyProbes()
		}
		f.advance(searchTimeout)
		denyProbes()
	}
	assert.Assert(t, probes <= probeBudget, "%d probes while agent 4 was silent", probes)
}
