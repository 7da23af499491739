package ownership

import (
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/relay"
)

// Guards against the reset of an open flow by a search that asked no agent: it
// began before the agent had a view, and the view came before the agent's own
// target returned the probe.
func TestViewThatComesDuringASearch(t *testing.T) {
	f := restartedFixture(t)
	f.balancerSends(relay.Packet, unknownPacket)
	assert.Equal(t, len(f.out.ToTarget), 1)
	d := &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1}
	for i, target := range fleettest.Ready(3) {
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: uint64(3 + i), Target: target})
	}
	f.View.Apply(f.now, d)
	f.View.SettleRemovals()
	f.returnProbe(unknownPacket)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 2)
}
