package ownership

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

// Guards against an agent that takes the entry of another writer, for another
// service at the address of its target, for a new incarnation of the target.
func TestEntryOfAnotherServiceIsNoIncarnation(t *testing.T) {
	f := newFixture(t, false)
	f.advance(ms)
	started := f.targetStartUnixMS
	x := fleettest.Target(0, fleet.Ready)
	x.ID, x.Service, x.StartUnixMS, x.WarmupMS = "x", otherService, f.StartedMS+1000, 5000
	f.View.Apply(0, &fleet.Delta{Revision: f.View.Revision() + 1, Changes: []fleet.Change{{ID: x.ID, Revision: f.View.Revision() + 1, Target: x}}})
	f.advance(ms)
	assert.Equal(t, f.targetStartUnixMS, started)
	assert.Assert(t, f.mayHoldUnknownFlows(f.now))
}

// Guards against an agent that hands over all new flows of its running target, or
// takes some although the target drains, because an entry of another writer has
// another port of its VM.
func TestEntryOfAnotherPortOfTheVM(t *testing.T) {
	for state, want := range map[fleet.TargetState]string{fleet.Ready: "", fleet.Draining: "draining"} {
		f := newFixture(t, true)
		x := fleettest.Target(0, fleet.Ready)
		x.ID, x.Address, x.StartUnixMS, x.Slots = "x", netip.AddrPortFrom(fleettest.Agent(0), 8172), 2, 1
		own := fleettest.Target(0, state)
		f.View.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 2, Changes: []fleet.Change{
			{ID: own.ID, Revision: fleettest.Revision + 1, Target: own}, {ID: x.ID, Revision: fleettest.Revision + 2, Target: x}}})
		assert.Equal(t, f.refusalReason(0), want)
		assert.Equal(t, f.slots(), fleettest.Slots)
	}
}
