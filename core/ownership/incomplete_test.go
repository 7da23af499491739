package ownership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/relay"
)

// unknownPacket is a packet of an open flow that agent 0 does not know.
var unknownPacket = flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}

// restartedFixture returns agent 0 with an empty view, as after a restart while
// the platform does not answer yet.
func restartedFixture(t *testing.T) *fixture {
	return &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), Codec: flowtest.Codec{}, View: fleet.New()})}
}

// returnProbe makes the target return the packet that it has received.
func (f *fixture) returnProbe(p flow.Packet) {
	p.Returned = true
	f.targetSends(p)
}

// Guards against the reset of an open flow by an agent that restarted and has no
// view yet, so that it knows no other agent to ask.
func TestAgentWithoutViewResetsNothing(t *testing.T) {
	f := restartedFixture(t)
	f.balancerSends(relay.Packet, unknownPacket)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.returnProbe(unknownPacket)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against the reset of an open flow whose target runs although its entry
// was removed, by an agent that had no recent heartbeat of the target's agent.
func TestAgentOfRemovedTargetIsAsked(t *testing.T) {
	f := newFixture(t, true)
	f.advance(heartbeatTimeout + ms)
	f.heartbeats(1)
	f.removeTargets(2)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.peerAnswers(2, relay.Owner, 1)
	assert.Equal(t, f.records[unknownPacket.Key].owner, fleettest.Agent(2))
}

// Guards against the reset of an open flow by an agent that has just read the
// platform, where the entry of a running target is missing, and that no peer has
// told what was removed.
func TestStartedAgentLearnsRemovalsFirst(t *testing.T) {
	f := restartedFixture(t)
	f.View.Apply(0, &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1, Changes: []fleet.Change{
		{ID: "a", Revision: 3, Target: fleettest.Target(0, fleet.Ready)}, {ID: "b", Revision: 4, Target: fleettest.Target(1, fleet.Ready)}}})
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.returnProbe(unknownPacket)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.View.Apply(0, &fleet.Delta{Changes: []fleet.Change{{ID: "c", Revision: 5, Last: fleettest.Target(2, fleet.Ready), RemovedMS: 2000}}})
	f.View.SettleRemovals()
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 1)
	assert.Equal(t, f.searchedAgents()[0], fleettest.Agent(2))
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against the reset of an open flow at a target that started while this
// agent did not hear of changes.
func TestAgentWithOldViewResetsNothing(t *testing.T) {
	f := newFixture(t, true)
	f.now = maxSearchViewAge + ms
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
	assert.Equal(t, f.out.Events[len(f.out.Events)-1].Reason, "old_view")
	// Once the view is confirmed, the search goes on by itself.
	f.View.Confirm(f.now, 0, f.View.Progress())
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against the reset of an open flow at a target that a peer knows and
// this agent does not know yet.
func TestAgentBehindItsPeersResetsNothing(t *testing.T) {
	f := newFixture(t, true)
	later := f.View.Progress()
	later.Revision++
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent}, Progress: later}, &f.out)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
	assert.Equal(t, f.out.Events[len(f.out.Events)-1].Reason, "peer_ahead")
}

// Guards against the reset of an open flow whose agent no view names, but which
// is heard: after a loss of all other VMs nobody knows that its entry was removed.
func TestAgentThatIsHeardIsAsked(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeats(7)
	f.balancerSends(relay.Packet, unknownPacket)
	assert.Assert(t, slices.Contains(f.searchedAgents(), fleettest.Agent(7)))
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	f.advance(searchTimeout)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.peerAnswers(7, relay.Owner, 1)
	assert.Equal(t, f.records[unknownPacket.Key].owner, fleettest.Agent(7))
	// One that was first heard while the search went on is asked in the next round.
	f.now += searchResultTTL
	f.heartbeats(1, 2)
	p := flow.Packet{Key: fleettest.Key(2), Seq: 111, Ack: 5001, Len: 10}
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 2)
	f.heartbeats(8)
	f.peerAnswers(2, relay.NotOwner, 2)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.advance(searchRetryDelay)
	f.peerAnswers(8, relay.NotOwner, 2)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against callers of dead flows that wait for the next round of a search,
// which comes later each time, when the agent knows at last what was removed.
func TestSearchGoesOnOnceRemovalsAreKnown(t *testing.T) {
	f := restartedFixture(t)
	f.View.Apply(0, &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1, Changes: []fleet.Change{
		{ID: "a", Revision: 3, Target: fleettest.Target(0, fleet.Ready)}, {ID: "b", Revision: 4, Target: fleettest.Target(1, fleet.Ready)}}})
	f.recordFresh(f.now, "test", 0, &f.out)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	for range 3 {
		f.advance(searchRetryDelay)
		assert.Equal(t, len(f.out.ToCaller), 0)
	}
	f.View.SettleRemovals()
	f.advance(10 * ms)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against lost flows that are never reset for a minute after a VM was
// lost together with its target.
func TestSearchDoesNotWaitForGoneAgent(t *testing.T) {
	f := newFixture(t, true)
	f.removeTargets(2)
	const callerInterval = 1600 * ms
	for f.now <= goneTimeout+callerInterval {
		f.balancerSends(relay.Packet, unknownPacket)
		f.peerAnswers(1, relay.NotOwner, 1)
		for end := f.now + callerInterval; f.now < end; {
			f.advance(searchTimeout)
			assert.Equal(t, len(f.out.ToCaller), 0)
		}
	}
	f.View.Confirm(f.now, 0, f.View.Progress())
	p := unknownPacket
	p.Key = fleettest.Key(2)
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 2)
	assert.Equal(t, len(f.out.ToCaller), 1)
	// It is asked again from time to time, and if it answers, it counts again.
	f.advance(goneRetryInterval)
	p.Key = fleettest.Key(3)
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.searchedAgents()), 2)
	f.peerAnswers(2, relay.NotOwner, 3)
	p.Key = fleettest.Key(4)
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 4)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against an agent that answers for its data centre although it may not
// know all agents there.
func TestAgentWithoutRemovalsDeclinesSurvey(t *testing.T) {
	f := restartedFixture(t)
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(9), &relay.Message{Kind: relay.Survey, Service: tag, Origin: balancer, Body: flowtest.Encode(unknownPacket)}, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.MaybeOwner})
}

// Guards against the reset of an open flow by an agent that got its first view
// while its own target had the probe: the round began before and asked nobody.
func TestViewDuringProbeIsTooLate(t *testing.T) {
	f := restartedFixture(t)
	f.balancerSends(relay.Packet, unknownPacket)
	f.View.NothingRemovedBefore(0)
	f.View.Apply(0, &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1, Changes: []fleet.Change{
		{ID: "a", Revision: 3, Target: fleettest.Target(0, fleet.Ready)}, {ID: "b", Revision: 4, Target: fleettest.Target(1, fleet.Ready)}}})
	f.returnProbe(unknownPacket)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 1)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against an agent that counts as gone because one question was lost long
// before its entry was removed, so that a search does not wait for its answer.
func TestOneLostQuestionDoesNotMakeAnAgentGone(t *testing.T) {
	f := newFixture(t, true)
	// Agent 1 owns flow 1. The question to agent 2 is lost.
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.Owner, 1)
	f.advance(10 * time.Second)
	f.removeTargets(2)
	p := unknownPacket
	p.Key = fleettest.Key(2)
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.searchedAgents()), 2)
	f.peerAnswers(1, relay.NotOwner, 2)
	assert.Equal(t, len(f.out.ToCaller), 0, "agent 2 was asked in this instant")
}

// Guards against the reset of an open flow by an agent that lacks a version of
// the routes, and so a service of the address, that a peer has. The platform has
// lost the version, so the revisions are equal.
func TestAgentWithoutVersionOfAPeerResetsNothing(t *testing.T) {
	f := newFixture(t, true)
	later := f.View.Progress()
	later.Version++
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent}, Progress: later}, &f.out)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against an agent that counts as gone while its answer to the second
// question is on its way: one question was lost 4 s ago, and two packets of other
// flows come at the same moment.
func TestQuestionOnItsWayDoesNotMakeAnAgentGone(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.Owner, 1)
	f.removeTargets(2)
	f.advance(4 * time.Second)
	f.View.Confirm(f.now, 0, f.View.Progress())
	for _, port := range []uint16{2, 3} {
		p := unknownPacket
		p.Key = fleettest.Key(port)
		f.balancerSends(relay.Packet, p)
		f.peerAnswers(1, relay.NotOwner, port)
		assert.Equal(t, len(f.out.ToCaller), 0, "port %d", port)
	}
}

// Guards against lost flows that are never reset because the fleet changes all
// the time, so that some heartbeat is always ahead of the view.
func TestSteadyChangesDoNotKeepALostFlow(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Packet, unknownPacket)
	resets := 0
	for i := range 50 {
		later := f.View.Progress()
		later.Revision++
		f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent}, Progress: later}, &f.out)
		f.peerAnswers(1, relay.NotOwner, 1)
		f.peerAnswers(2, relay.NotOwner, 1)
		resets += len(f.out.ToCaller)
		f.advance(100 * time.Millisecond)
		resets += len(f.out.ToCaller)
		if i%4 == 0 {
			f.balancerSends(relay.Packet, unknownPacket)
			resets += len(f.out.ToCaller)
		}
		// The view follows 0.1 s later, and the next change is on its way.
		f.View.Apply(f.now, &fleet.Delta{Revision: later.Revision, Changes: []fleet.Change{}})
	}
	assert.Assert(t, resets > 0, "no reset in 5 s")
}

// Guards against the reset of an open flow at a target that the view lists since
// the round of the search has begun, so that it was not asked.
func TestTargetListedDuringARoundIsAsked(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Packet, unknownPacket)
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: "d", Revision: 200, Target: fleettest.Target(3, fleet.Ready)}}})
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against callers of dead flows that wait for the next round of a search
// after a loss of all VMs: the fleet changes all the time, so the view is behind
// some peer when the agents have answered. The search ends as soon as the view has
// caught up, and only if the targets listed by then were asked.
func TestSearchEndsWhenTheViewCatchesUp(t *testing.T) {
	for name, c := range map[string]struct {
		changes []fleet.Change
		resets  int
	}{
		"nothing else":                {nil, 1},
		"a target that was not asked": {[]fleet.Change{{ID: "d", Revision: 101, Target: fleettest.Target(3, fleet.Ready)}}, 0},
	} {
		f := newFixture(t, true)
		later := f.View.Progress()
		later.Revision++
		f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent}, Progress: later}, &f.out)
		f.balancerSends(relay.Packet, unknownPacket)
		f.peerAnswers(1, relay.NotOwner, 1)
		f.peerAnswers(2, relay.NotOwner, 1)
		f.advance(10 * ms)
		assert.Equal(t, len(f.out.ToCaller), 0, name)
		f.View.Apply(f.now, &fleet.Delta{Revision: later.Revision, Changes: c.changes})
		f.advance(10 * ms)
		assert.Equal(t, len(f.out.ToCaller), c.resets, name)
	}
}

// Guards against searches that wait for an agent whose target has left the service
// and which stops now, as after a scale-in: no dead flow was reset meanwhile.
func TestLeavingAgentOfAnUnlistedTargetIsNotAsked(t *testing.T) {
	f := newFixture(t, true)
	f.FromPeer(f.now, fleettest.Agent(7), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent | relay.FlagLeaving, Slots: 4}}, &f.out)
	f.balancerSends(relay.Packet, unknownPacket)
	assert.Assert(t, !slices.Contains(f.searchedAgents(), fleettest.Agent(7)))
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
}
