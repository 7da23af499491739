package fleetsync

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
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
	assert.Assert(t, !f.askForRemovals(context.Background(), map[netip.Addr]bool{}), "targets may be listed soon")
	f.now = fleet.ReturnGrace + time.Millisecond
	assert.Assert(t, f.askForRemovals(context.Background(), map[netip.Addr]bool{}))
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
	assert.Assert(t, !f.askForRemovals(context.Background(), map[netip.Addr]bool{}))
	peer.now = startSpread - 100*time.Millisecond
	assert.Assert(t, f.askForRemovals(context.Background(), map[netip.Addr]bool{}))
	// After a disturbance the platform may list only the agents that have just
	// started, although others run: they say nothing about those.
	f.View.RecordDisturbance(f.now)
	assert.Assert(t, !f.askForRemovals(context.Background(), map[netip.Addr]bool{}))
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

// Guards against a process that takes it that all processes have restarted,
// because all those of its data centre have, and against one that asks the same
// peers again while others have not been asked.
func TestRemovalsAreAskedOfSeveralDataCentres(t *testing.T) {
	f := newFixture(0)
	f.DataCentre, f.Self = "dc-0", fleettest.Agent(0)
	targets := fleettest.Ready(8)
	for n, target := range targets {
		target.DataCentre = []string{"dc-0", "dc-1"}[n/4]
	}
	f.View = fleettest.View(0, targets...)
	asked := map[netip.Addr]bool{}
	for range removalAttempts {
		peers, alone, _ := f.removalCandidates(asked)
		assert.Assert(t, !alone)
		assert.Equal(t, len(peers), removalPeers)
		for i, peer := range peers {
			assert.Assert(t, !asked[peer] && peer != f.Self)
			assert.Equal(t, f.isLocal(peer), i == 0)
			asked[peer] = true
		}
	}
	peers, _, _ := f.removalCandidates(asked)
	assert.Equal(t, len(peers), removalPeers)
}

// peerEntry returns the entry of the target beside peer n, in a data centre of its own.
func peerEntry(n byte, revision uint64) fleet.Change {
	target := *fleettest.Target(n, fleet.Ready)
	target.Address, target.DataCentre = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n + 1}), 80), fmt.Sprint("dc-", n)
	return fleet.Change{ID: target.ID, Revision: revision, Target: &target}
}

// gapFixture returns a process that has followed the changes up to the time now and
// then got a listing, and a server for each peer, which counts as its own agent.
// The peers of the first data centre are local.
func gapFixture(t *testing.T, peers ...http.Handler) *fixture {
	f := newFixture(0)
	f.View.Apply(0, &fleet.Delta{Revision: 5, ListingRevision: 5, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1})
	f.now = fleet.RemovedEntryRetention
	f.Self, f.DataCentre = netip.MustParseAddr("10.1.0.1"), "dc-0"
	listing := &fleet.Delta{Revision: 50, ListingRevision: 50, Full: true}
	for i, handler := range peers {
		// Peers share a port and differ in their address.
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), f.PeerPort)
		l, err := net.Listen("tcp4", address.String())
		assert.NilError(t, err)
		f.PeerPort = netip.MustParseAddrPort(l.Addr().String()).Port()
		server := httptest.NewUnstartedServer(handler)
		server.Listener = l
		server.Start()
		t.Cleanup(server.Close)
		listing.Changes = append(listing.Changes, peerEntry(byte(i), uint64(6+i)))
	}
	f.View.Apply(f.now, listing)
	f.now += time.Second
	assert.Assert(t, !f.removalsKnown())
	return f
}

// Guards against an agent that resets open flows of a service to which an address
// led while its whole data centre was cut off: the agents there know no more, and
// those of other data centres do.
func TestGapOfADataCentre(t *testing.T) {
	local, remote := startedProcess(t), longRunningPeer(time.Second)
	remote.View.Apply(remote.now, &fleet.Delta{Config: &fleet.Config{Version: 2}, PastServices: []fleet.PastService{
		{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "gallery", AgoMS: 2000}}})
	f := gapFixture(t, local, remote)
	f.learnRemovals(t.Context())
	assert.Assert(t, f.removalsKnown())
	assert.DeepEqual(t, f.View.ServicesOf(netip.MustParseAddrPort("198.18.0.1:443")), []string{"gallery"})
	// The process does not settle for what it knows while other data centres do
	// not answer.
	dead := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	f = gapFixture(t, local, dead)
	assert.Assert(t, !f.askForRemovals(t.Context(), map[netip.Addr]bool{}))
	f = gapFixture(t, local, local)
	assert.Assert(t, f.askForRemovals(t.Context(), map[netip.Addr]bool{}))
}

// Guards against a process that takes the history of a peer for complete although
// the peer has not read the last changes or a version that the process has. A
// process that watches the platform reads what the peer lacks.
func TestHistoryOfAPeerThatIsBehind(t *testing.T) {
	peer := longRunningPeer(time.Second)
	progress := peer.View.Progress()
	assert.Equal(t, peer.removals(progress, 0).RemovalsRevision, uint64(0))
	newer := progress
	newer.Version++
	assert.Equal(t, peer.removals(newer, time.Minute).RemovalsRevision, progress.Revision)
	newer = progress
	newer.Revision++
	assert.Equal(t, peer.removals(newer, 0).RemovalsRevision, progress.Revision)
	// The peer's view was confirmed after the process had read the platform.
	assert.Equal(t, peer.removals(newer, time.Minute).RemovalsRevision, uint64(0))
	// An earlier release does not say when it read the platform.
	request := httptest.NewRequest(http.MethodGet, PathFleet+"?removals=1&epoch=0&after=999&version=999", nil)
	answer := httptest.NewRecorder()
	peer.ServeHTTP(answer, request)
	assert.Assert(t, strings.Contains(answer.Body.String(), "removals_known_ms") && !strings.Contains(answer.Body.String(), "removals_revision"))

	server := httptest.NewServer(peer)
	defer server.Close()
	f := startedProcess(t)
	f.platform.delta.ListingRevision, f.cursor = progress.Revision+9, fleet.Progress{}
	f.View = fleet.New()
	_, _, err := f.call(t.Context(), 0)
	assert.NilError(t, err)
	_, err = f.pullRemovals(t.Context(), netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	assert.NilError(t, err)
	assert.Assert(t, !f.removalsKnown())
	_, gap := f.historyGap()
	assert.Assert(t, !gap, "a process that starts settles as soon as before")
	f.Self = fleettest.Agent(0)
	assert.Assert(t, f.Position().Reader)
	f.watchGap(t.Context())
	assert.Assert(t, f.removalsKnown())
	assert.Equal(t, f.platform.watched[0].Revision, progress.Revision)
}

// Guards against a gap in the history of all processes that follow a reader that
// has just started: the other reader names the changes soon.
func TestRecentViewTakesNoDeltaWithAGap(t *testing.T) {
	started := startedProcess(t)
	started.now = 100 * time.Millisecond
	server := httptest.NewServer(started)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f := newFixture(0)
	f.View.Apply(0, &fleet.Delta{Revision: 5, ListingRevision: 5, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1})
	f.now = 500 * time.Millisecond
	assert.ErrorIs(t, f.pull(t.Context(), address), errLeavesGap)
	assert.Equal(t, f.View.Revision(), uint64(5))
	// A view that no other reader keeps up to date takes what there is.
	f.now = 950 * time.Millisecond
	assert.NilError(t, f.pull(t.Context(), address))
	assert.Equal(t, f.View.Revision(), started.View.Revision())
	assert.Assert(t, !f.removalsKnown())
	// A peer that knows what was removed meanwhile gives it at once.
	started.View.NothingRemovedBefore(0)
	g := newFixture(0)
	g.View.Apply(0, &fleet.Delta{Revision: 5, ListingRevision: 5, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1})
	g.now = 500 * time.Millisecond
	assert.NilError(t, g.pull(t.Context(), address))
	assert.Assert(t, g.removalsKnown())
}

// Guards against a process that asks peers only when it starts, and against one that
// stays in doubt although its own watch has named what it missed.
func TestGapStartsASearch(t *testing.T) {
	f := newFixture(0)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	_, _, err := f.call(t.Context(), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(f.gaps), 0)
	f.now = time.Second
	f.apply(&fleet.Delta{Full: true, Revision: 50}, "peer")
	assert.Equal(t, len(f.gaps), 1)
	assert.Equal(t, f.historyGaps.Get(), uint64(1))
	assert.Assert(t, !f.removalsKnown())
	_, _, err = f.call(t.Context(), 0)
	assert.NilError(t, err)
	assert.Assert(t, f.removalsKnown())
}

// Guards against an agent that starts while the platform lists no target, as after an
// outage, and learns of no other agent, although a process that sends it packets knows
// them: no keeper learned that this run exists, and the next run used the flow table
// from before it.
func TestSenderIsAskedIfNoAgentIsListed(t *testing.T) {
	sender := longRunningPeer(20 * time.Second)
	sender.View.RecordDisturbance(sender.now - time.Second)
	server := httptest.NewServer(sender)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f := newFixture(0)
	f.View, f.PeerPort, f.Self = fleet.New(), address.Port(), fleettest.Agent(0)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	_, _, err := f.call(t.Context(), 0)
	assert.NilError(t, err)
	f.NoteSender(address.Addr())
	f.askForRemovals(t.Context(), map[netip.Addr]bool{})
	assert.Assert(t, f.removalsKnown())
	lapsed := f.View.LapsedAgents(f.now)
	assert.Equal(t, len(lapsed), 1)
	assert.Equal(t, lapsed[0].VM, fleettest.Agent(1))
	// A process that knows the removals notes no sender.
	f.NoteSender(netip.MustParseAddr("10.1.0.99"))
	assert.Equal(t, len(f.senders.recent), 1)
	// Without an answer the process does not count as alone.
	server.Close()
	f.View = fleet.New()
	f.now = fleet.ReturnGrace + time.Millisecond
	assert.Assert(t, !f.askForRemovals(t.Context(), map[netip.Addr]bool{}))
}

// Guards against an agent that settles because a balancer that has just started knows
// no more than it does, while the platform lists no other agent.
func TestSenderThatKnowsLittleDoesNotSettle(t *testing.T) {
	sender := startedProcess(t)
	server := httptest.NewServer(sender)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f := newFixture(1)
	f.View, f.PeerPort, f.Self = fleet.New(), address.Port(), fleettest.Agent(0)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	_, _, err := f.call(t.Context(), 0)
	assert.NilError(t, err)
	f.NoteSender(address.Addr())
	for _, now := range []time.Duration{100 * time.Millisecond, fleet.ReturnGrace + time.Millisecond} {
		f.now = now
		assert.Assert(t, !f.askForRemovals(t.Context(), map[netip.Addr]bool{}))
	}
	// Of several senders each is asked in turn.
	f.NoteSender(netip.MustParseAddr("10.1.0.98"))
	f.NoteSender(netip.MustParseAddr("10.1.0.99"))
	asked := map[netip.AddrPort]bool{}
	for range 3 {
		from, ok := f.nextSender()
		assert.Assert(t, ok)
		asked[from] = true
	}
	assert.Equal(t, len(asked), 3)
}

// Guards against an agent that is restarted alone after a loss of all processes and
// waits for 10 s until it takes the removals for known: its searches could not ask
// everybody, and packets of open flows went to other targets. The others have found
// meanwhile that nobody knows more.
func TestPeersThatHaveSettledSettle(t *testing.T) {
	const age = 3 * time.Second
	for _, c := range []struct{ local, remote, remoteAnswers, want bool }{
		{false, false, true, false}, {true, true, true, true},
		// One peer knows more and has not settled, or may know more.
		{true, false, true, false}, {false, true, true, false}, {true, true, false, false},
	} {
		local, remote := startedProcess(t), startedProcess(t)
		for peer, settled := range map[*fixture]bool{local: c.local, remote: c.remote} {
			peer.now = age
			if settled {
				peer.View.SettleRemovals()
			}
		}
		var elsewhere http.Handler = remote
		if !c.remoteAnswers {
			elsewhere = http.NotFoundHandler()
		}
		f := gapFixture(t, local, elsewhere)
		f.View = fleet.New()
		listing := &fleet.Delta{Full: true, Revision: 9, ListingRevision: 9, Config: &fleet.Config{Version: 1}, ConfigRevision: 1}
		for n := range byte(2) {
			listing.Changes = append(listing.Changes, peerEntry(n, uint64(2+n)))
		}
		f.now = 0
		f.View.Apply(0, listing)
		assert.Equal(t, f.askForRemovals(t.Context(), map[netip.Addr]bool{}), c.want, "%+v", c)
		// A peer that has not read what this process has cannot know.
		ahead := listing.ListingRevision + 1
		assert.Assert(t, !local.removals(fleet.Progress{Revision: ahead}, 0).RemovalsSettled)
		assert.Equal(t, local.removals(fleet.Progress{Revision: 9, Version: 1}, 0).RemovalsSettled, c.local)
	}
}

// Guards against a process that restarts in an outage of the platform and has no view
// until the end, although those that send it packets have one. Such a run of an agent
// handed its flow table to nobody.
func TestSenderGivesItsViewInAnOutage(t *testing.T) {
	sender := newFixture(0)
	sender.View = fleettest.View(0, fleettest.Ready(3)...)
	server := httptest.NewServer(sender)
	defer server.Close()
	address := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	f := newFixture(0)
	f.View, f.FirstStart, f.PeerPort, f.now = fleet.New(), false, address.Port(), senderPullDelay-time.Millisecond
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- f.FetchFromPeers(ctx) }()
	note := func() {
		f.Lock.Lock()
		defer f.Lock.Unlock()
		f.NoteSender(address.Addr())
	}
	usable := func() bool {
		f.Lock.Lock()
		defer f.Lock.Unlock()
		return f.View.Usable()
	}
	// The platform may still answer.
	note()
	assert.Equal(t, len(f.hints), 0)
	f.Lock.Lock()
	f.now = senderPullDelay
	f.Lock.Unlock()
	note()
	for end := time.Now().Add(5 * time.Second); !usable() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
	assert.Equal(t, len(f.View.Targets(fleettest.Service)), 3)
	assert.Equal(t, f.pulls.Get(), uint64(1))
	// Packets come much more often than a view may be requested.
	g := newFixture(0)
	g.View, g.FirstStart, g.now = fleet.New(), false, senderPullDelay
	for range 2000 {
		g.now += 100 * time.Microsecond
		g.NoteSender(address.Addr())
		select {
		case <-g.hints:
			g.pulls.Inc()
		default:
		}
	}
	assert.Equal(t, g.pulls.Get(), uint64(2))
}
