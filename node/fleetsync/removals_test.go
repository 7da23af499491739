package fleetsync

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

// startedProcess returns a process that has just read the platform, where the
// entry of target 1 is not listed.
func startedProcess(t *testing.T) *fixture {
	f := newFixture(1)
	f.View = fleet.New()
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	_, _, err := f.call(context.Background(), 0)
	assert.NilError(t, err)
	return f
}

// longRunningPeer returns a process whose view has held targets 0 and 1 for
// a retention time, before the entry of target 1 was removed.
func longRunningPeer(removedAgo time.Duration) *fixture {
	f := newFixture(0)
	f.View = fleettest.View(0, fleettest.Ready(2)...)
	f.now = fleet.RemovedEntryRetention
	id := fleettest.Ready(2)[1].ID
	f.View.Apply(f.now, &fleet.Delta{Revision: fleettest.Revision + 1, Changes: []fleet.Change{{ID: id, Revision: fleettest.Revision + 1}}})
	f.now += removedAgo
	return f
}

// Guards against a process that starts while the entry of a running target is
// missing at the platform, and never learns that the target may hold flows.
func TestStartedProcessLearnsRemovedTargets(t *testing.T) {
	f := startedProcess(t)
	assert.Assert(t, !f.removalsKnown())
	peer := longRunningPeer(20 * time.Second)
	server := httptest.NewServer(peer)
	defer server.Close()
	_, err := f.pullRemovals(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	assert.NilError(t, err)
	assert.Assert(t, f.removalsKnown())
	removed := f.View.RemovedTargets(fleettest.Service)
	assert.Equal(t, len(removed), 1)
	assert.Equal(t, removed[0].Agent(), fleettest.Agent(1))
	assert.Equal(t, len(f.View.Targets(fleettest.Service)), 1)
	// The retention time began at the removal, not at the start of the process.
	f.View.Expire(f.now + fleet.RemovedEntryRetention - 19*time.Second)
	assert.Equal(t, len(f.View.RemovedTargets(fleettest.Service)), 0)
}

// Guards against a process that takes a peer's ignorance for knowledge: the peer
// started a second ago and does not know what was removed before.
func TestPeerThatHasJustStartedKnowsLittle(t *testing.T) {
	f, peer := startedProcess(t), startedProcess(t)
	peer.now = time.Second
	server := httptest.NewServer(peer)
	defer server.Close()
	_, err := f.pullRemovals(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	assert.NilError(t, err)
	assert.Assert(t, !f.removalsKnown())
	f.now = fleet.RemovedEntryRetention - time.Second
	assert.Assert(t, f.removalsKnown())
}

// Guards against a process that never resets a lost flow, because it is the only
// agent of the fleet.
func TestProcessWithoutPeersSettles(t *testing.T) {
	f := startedProcess(t)
	f.Self = fleettest.Agent(0)
	assert.Assert(t, !f.askForRemovals(context.Background(), false), "targets may be listed soon")
	f.now = fleet.ReturnGrace + time.Millisecond
	assert.Assert(t, f.askForRemovals(context.Background(), false))
}

// Guards against a process that takes the first peers' ignorance for knowledge,
// and against one that asks for ever after a restart of all processes.
func TestPeersThatKnowLittleAreAskedAgain(t *testing.T) {
	f, peer := startedProcess(t), startedProcess(t)
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests++
		peer.ServeHTTP(w, r)
	}))
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f.PeerPort = address.Port()
	target := *fleettest.Target(5, fleet.Ready)
	target.Address = netip.AddrPortFrom(address.Addr(), 80)
	f.View.Apply(0, &fleet.Delta{Revision: 10, Changes: []fleet.Change{{ID: "peer", Revision: 10, Target: &target}}})
	f.DataCentre, f.Self = fleettest.DataCentre, fleettest.Agent(0)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error)
	go func() { ended <- f.LearnRemovals(ctx) }()
	for !f.removalsKnown() {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	assert.Equal(t, requests, removalAttempts)
}

// Guards against a process that settles for the little that peers know which
// started a few seconds before it. Others may know more.
func TestPeersOfDifferentAgeDoNotSettle(t *testing.T) {
	f, peer := startedProcess(t), startedProcess(t)
	peer.now = startSpread + 100*time.Millisecond
	server := httptest.NewServer(peer)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	target := *fleettest.Target(5, fleet.Ready)
	target.Address = netip.AddrPortFrom(address.Addr(), 80)
	f.View.Apply(0, &fleet.Delta{Revision: 10, Changes: []fleet.Change{{ID: "peer", Revision: 10, Target: &target}}})
	f.PeerPort, f.DataCentre, f.Self = address.Port(), fleettest.DataCentre, fleettest.Agent(0)
	assert.Assert(t, !f.askForRemovals(context.Background(), false))
	peer.now = startSpread - 100*time.Millisecond
	assert.Assert(t, f.askForRemovals(context.Background(), false))
	// After a disturbance the platform may list only the agents that have just
	// started, although others run: they say nothing about those.
	f.View.RecordDisturbance(f.now)
	assert.Assert(t, !f.askForRemovals(context.Background(), false))
}

// Guards against a process that takes a peer without a view for one that knows
// of no removed entries. While processes restart in turn, the peers that are
// asked may all have just started.
func TestPeerWithoutViewTellsNothing(t *testing.T) {
	f := startedProcess(t)
	f.Self = fleettest.Agent(0)
	peer := newFixture(0)
	peer.View = fleet.New()
	server := httptest.NewServer(peer)
	defer server.Close()
	_, err := f.pullRemovals(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	assert.ErrorIs(t, err, errNoHistory)
	assert.Assert(t, !f.removalsKnown())
}

// Guards against a process that counts a peer of another epoch as one that has
// told its removed entries, although the view ignores them.
func TestRemovalsOfAnotherEpochCount(t *testing.T) {
	f := startedProcess(t)
	f.View.Apply(f.now, &fleet.Delta{Epoch: 2, Full: true, Revision: 7, Changes: []fleet.Change{{ID: "a", Revision: 3, Target: fleettest.Target(0, fleet.Ready)}}})
	peer := longRunningPeer(20 * time.Second)
	server := httptest.NewServer(peer)
	defer server.Close()
	_, err := f.pullRemovals(context.Background(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	learned := len(f.View.RemovedTargets(fleettest.Service)) == 1
	assert.Assert(t, err != nil || learned, "counted as an answer, learned nothing")
}

// Guards against agents of a small data centre that restart in turn and settle for
// what they know of each other, while an agent of another data centre knows more.
func TestOtherDataCentresAreAskedBeforeSettling(t *testing.T) {
	f := startedProcess(t)
	f.DataCentre, f.Self = fleettest.DataCentre, fleettest.Agent(0)
	for n, dataCentre := range []string{fleettest.DataCentre, "other"} {
		target := *fleettest.Target(byte(5+n), fleet.Ready)
		target.DataCentre = dataCentre
		f.View.Apply(0, &fleet.Delta{Revision: uint64(10 + n), Changes: []fleet.Change{{ID: target.ID, Revision: uint64(10 + n), Target: &target}}})
	}
	peers, alone, _ := f.removalCandidates(false)
	assert.Assert(t, slices.Equal(peers, []netip.Addr{fleettest.Agent(5)}), "%v", peers)
	assert.Assert(t, !alone)
	peers, _, _ = f.removalCandidates(true)
	assert.Assert(t, slices.Equal(peers, []netip.Addr{fleettest.Agent(5), fleettest.Agent(6)}), "%v", peers)
}
