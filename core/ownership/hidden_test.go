package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/relay"
)

// hideTarget lists an entry of another writer at the address of target n: for
// another named service, with a start.
func hideTarget(v *fleet.View, n byte, start int64) {
	x := fleettest.Target(n, fleet.Ready)
	x.ID, x.Service, x.DataCentre, x.StartUnixMS = "x", otherService, "elsewhere", start
	revision := v.Revision() + 1
	v.Apply(0, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: x.ID, Revision: revision, Target: x}}})
}

// Guards against the reset of an open flow whose running target is hidden by an entry
// of another writer at its address, for another named service.
func TestFlowOfHiddenTargetIsNotReset(t *testing.T) {
	const dataCentres, agents = 2, 4
	for owner := byte(1); owner < dataCentres*agents; owner++ {
		for _, start := range []int64{1, 2} {
			s := newCluster(t, dataCentres, agents)
			s.openAt(owner)
			hideTarget(s.agents[fleettest.Agent(0)].View, owner, start)
			s.send(0, relay.Packet, heldPacket)
			assert.Equal(t, s.resets, 0)
			assert.Equal(t, s.toTarget[fleettest.Agent(owner)], 1)
			assert.Equal(t, s.packetsToTargets(), 1)
		}
	}
}

// Guards against the reset of an open flow whose target is hidden while its agent
// restarts and does not answer.
func TestSilentAgentOfHiddenTargetIsNotGone(t *testing.T) {
	f := newFixture(t, true)
	hideTarget(f.View, 2, 1)
	const callerInterval = 1600 * ms
	for f.now <= 2*goneTimeout {
		f.View.Confirm(f.now, 0, f.View.Progress())
		f.balancerSends(relay.Packet, unknownPacket)
		f.peerAnswers(1, relay.NotOwner, 1)
		for end := f.now + callerInterval; f.now < end; {
			f.advance(searchTimeout)
			assert.Equal(t, len(f.out.ToCaller), 0, "after %s", f.now)
		}
	}
	f.View.Confirm(f.now, 0, f.View.Progress())
	p := unknownPacket
	p.Key = fleettest.Key(2)
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 2)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.peerAnswers(2, relay.Owner, 2)
	assert.Equal(t, f.records[p.Key].owner, fleettest.Agent(2))
}
