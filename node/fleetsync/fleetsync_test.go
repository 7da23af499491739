package fleetsync

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

// fakePlatform is a Source that records its calls.
type fakePlatform struct {
	delta            fleet.Delta
	snapshots, waits []time.Duration
	// watched has the positions of the watches.
	watched []fleet.Progress
	err     error
}

var errHistoryLost = errors.New("history lost")

func (p *fakePlatform) Snapshot(context.Context) (*fleet.Delta, error) {
	p.snapshots = append(p.snapshots, 0)
	d := p.delta
	return &d, p.err
}

func (p *fakePlatform) Watch(_ context.Context, after fleet.Progress, wait time.Duration) (*fleet.Delta, fleet.Progress, error) {
	p.waits, p.watched = append(p.waits, wait), append(p.watched, after)
	return &fleet.Delta{Epoch: after.Epoch, Revision: after.Revision}, after, p.err
}

func (p *fakePlatform) IsHistoryLost(err error) bool { return errors.Is(err, errHistoryLost) }

// fixture is a process that is not a reader once targets are listed.
type fixture struct {
	*Sync
	platform fakePlatform
	now      time.Duration
}

func newFixture(targets byte) *fixture {
	f := &fixture{platform: fakePlatform{delta: fleet.Delta{Revision: 9, ListingRevision: 9, Full: true}}}
	for i, t := range fleettest.Ready(targets) {
		f.platform.delta.Changes = append(f.platform.delta.Changes, fleet.Change{ID: t.ID, Revision: uint64(i + 1), Target: t})
	}
	f.Sync = New(Options{
		Self: netip.MustParseAddr("10.1.0.1"), Source: &f.platform, FirstStart: true, Lock: &sync.Mutex{}, View: fleet.New(),
		Now: func() time.Duration { return f.now }, OnChange: func(_, _ bool) {}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	return f
}

// Guards against a first start without seeds in which each process waits for
// another one to read the platform.
func TestFirstStartWithoutSeeds(t *testing.T) {
	f := newFixture(0)
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.snapshots), 1)
	// No target is listed yet, so the process watches for the first entry.
	f.readOnce(context.Background())
	assert.DeepEqual(t, f.platform.waits, []time.Duration{fleet.WatchTimeout})
}

// Guards against a first start in which each process calls the platform ten
// times a second until there are routes: 540 calls by 65 processes.
func TestFirstStartFollowsParents(t *testing.T) {
	f := newFixture(4)
	for range 10 {
		f.now += idleCheckInterval
		f.readOnce(context.Background())
	}
	assert.Equal(t, len(f.platform.snapshots), 1)
	assert.Equal(t, len(f.platform.waits), 0)
	// If the parents stay silent, the process calls the platform.
	f.now += 5 * time.Second
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.waits), 1)
}

// Guards against a process that continues from a revision whose history the
// platform has compacted.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	f := newFixture(0)
	f.readOnce(context.Background())
	f.platform.err = errHistoryLost
	f.readOnce(context.Background())
	f.platform.err = nil
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.snapshots), 2)
}

// Guards against a process that takes over from lost readers and asks for all
// changes since its start, which may be too many to read, and against one that
// skips changes because it continues from a revision that its view is not complete
// to, or from a revision of another epoch.
func TestWatchContinuesFromWhatPeersTold(t *testing.T) {
	f := newFixture(4)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	at := func(epoch, revision uint64) {
		t.Helper()
		_, _, err := f.call(t.Context(), pollWait)
		assert.NilError(t, err)
		assert.Equal(t, f.platform.watched[len(f.platform.watched)-1], fleet.Progress{Epoch: epoch, Revision: revision})
	}
	_, _, err := f.call(t.Context(), pollWait)
	assert.NilError(t, err)
	assert.Equal(t, len(f.platform.watched), 0)
	at(0, 9)
	f.now = time.Second
	f.apply(&fleet.Delta{Revision: 500}, "peer")
	at(0, 500)
	// A patch that does not apply leaves the view at its revision.
	f.apply(&fleet.Delta{Revision: 600, Patch: &fleet.ConfigPatch{Base: 7, Version: 8}}, "peer")
	at(0, 500)
	// A peer that has just started gives a delta that skips changes. They are named
	// by a watch from before.
	f.now = 2 * time.Second
	f.apply(&fleet.Delta{Full: true, Revision: 700}, "peer")
	at(0, 500)
	at(0, 700)
	known := fleet.RemovedEntryRetention.Milliseconds()
	f.apply(&fleet.Delta{Epoch: 2, Full: true, Revision: 3, RemovalsKnownMS: &known}, "peer")
	at(2, 3)
	f.apply(&fleet.Delta{Epoch: 1, Full: true, Revision: 900, Config: &fleet.Config{Version: 5}, RemovalsKnownMS: &known}, "peer")
	at(2, 3)
	// A process that has never read the platform itself continues likewise.
	g := newFixture(0)
	g.View.Apply(0, &fleet.Delta{Full: true, Revision: 30, Config: &fleet.Config{Version: 1}, RemovalsKnownMS: &known})
	_, _, err = g.call(t.Context(), pollWait)
	assert.NilError(t, err)
	assert.Equal(t, g.platform.watched[0].Revision, uint64(30))
	// If the history cannot be read, it reads a listing.
	g.platform.err, g.now = errHistoryLost, 5*time.Second
	g.readOnce(t.Context())
	assert.Assert(t, g.historyLost)
	g.platform.err = nil
	g.View.Apply(0, &fleet.Delta{Revision: 31, ConfirmedMS: 5000})
	g.readOnce(t.Context())
	assert.Equal(t, len(g.platform.snapshots), 1)
	assert.Assert(t, !g.historyLost)
}

// Guards against a target that a process lists although it was removed: a listing
// or a watch is answered late, after a peer has given a later view that never had
// the target. Changes after the view's revision would not remove it.
func TestLateAnswerOfPlatform(t *testing.T) {
	for name, listing := range map[string]uint64{"listing": 9, "watch": 0} {
		f := newFixture(2)
		peer := f.platform.delta
		peer.Revision, peer.ListingRevision, peer.Changes = 20, 0, peer.Changes[:1]
		f.apply(&peer, "10.0.0.1:80")
		f.now += time.Second
		late := f.platform.delta
		late.Full, late.ListingRevision, late.ConfirmedMS = listing > 0, listing, 100
		f.apply(&late, "platform")
		assert.Equal(t, len(f.View.Targets(fleettest.Service)), 1, name)
		assert.Equal(t, len(f.View.RemovedTargets(fleettest.Service)), 1, name)
		assert.Equal(t, f.View.Revision(), uint64(20), name)
		// The platform had no later change when it was asked.
		assert.Equal(t, f.View.Age(f.now), 100*time.Millisecond, name)
	}
}

// Guards against every process fetching a change from another data centre,
// because a peer there announces it first.
func TestChangesComeFromNearPeers(t *testing.T) {
	const agents = 40
	f := newFixture(0)
	f.DataCentre = "dc-0"
	d := &fleet.Delta{Revision: agents, ListingRevision: agents, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1}
	for i := range agents {
		t := &fleet.Target{ID: fmt.Sprint(i), Service: "s", DataCentre: fmt.Sprint("dc-", i%2), State: fleet.Ready,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 2), 0, byte(i)}), 80)}
		d.Changes = append(d.Changes, fleet.Change{ID: t.ID, Revision: uint64(i + 1), Target: t})
	}
	f.View.Apply(0, d)
	hinted := func(from netip.Addr) bool {
		f.HandleHeartbeat(from, fleet.Progress{Revision: agents + 1}, 0)
		select {
		case <-f.hints:
			return true
		default:
			return false
		}
	}
	remote, local := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.0.0.2")
	assert.Assert(t, !hinted(remote))
	assert.Assert(t, hinted(local))
	for _, parent := range f.Position().Parents {
		assert.Assert(t, hinted(parent))
	}
	// Local peers and parents were silent for too long, so any peer is allowed.
	f.now = f.Position().TakeoverAge
	assert.Assert(t, hinted(remote))
}

// Guards against a process that keeps an older version of the routes although a
// peer has a newer one, because the platform has lost the newer one and both views
// have the same revision.
func TestLostVersionComesFromAnyPeer(t *testing.T) {
	f := newFixture(4)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	f.readOnce(context.Background())
	progress, remote := f.View.Progress(), netip.MustParseAddr("10.9.0.1")
	f.HandleHeartbeat(remote, progress, 0)
	assert.Equal(t, len(f.hints), 0)
	progress.Version++
	f.HandleHeartbeat(remote, progress, 0)
	assert.Equal(t, (<-f.hints).progress, progress)
	assert.Assert(t, !f.isUpToDate(progress))
	// A peer with an older version still confirms the revision.
	f.now += time.Second
	progress.Version = 0
	f.HandleHeartbeat(remote, progress, 0)
	assert.Equal(t, f.View.Age(f.now), time.Duration(0))
}

// Guards against two readers that both request every change. During a release of
// targets, each of them made seven calls a second.
func TestStandbyReaderPauses(t *testing.T) {
	for _, standby := range []bool{false, true} {
		f := newFixture(4)
		f.readOnce(context.Background())
		for _, target := range f.View.Targets(fleettest.Service) {
			f.Self = target.Agent()
			if position := fleet.PositionOf(members(f.View), nil, fleet.Member{VM: f.Self}); position.Reader && position.Standby == standby {
				break
			}
		}
		f.platform.delta.Revision, f.platform.delta.ListingRevision = 10, 10
		f.platform.delta.Changes[0].Revision = 10
		f.cursor = fleet.Progress{}
		pause := f.readOnce(context.Background())
		assert.Equal(t, pause, map[bool]time.Duration{false: batchDelay, true: standbyDelay}[standby])
	}
}

func members(v *fleet.View) (members []fleet.Member) {
	for _, t := range v.Targets(fleettest.Service) {
		members = append(members, fleet.Member{VM: t.Agent(), DataCentre: t.DataCentre})
	}
	return members
}

// silentPlatform is a platform that never answers its first calls, and answers
// later ones.
type silentPlatform struct {
	fakePlatform
	calls atomic.Int32
	// unanswered is the number of calls that are never answered.
	unanswered int
}

func (p *silentPlatform) Snapshot(ctx context.Context) (*fleet.Delta, error) {
	if int(p.calls.Add(1)) <= p.unanswered {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	d := p.delta
	return &d, nil
}

// Guards against a process that starts while the platform is silent and has no
// view until its first call times out. After a loss of all VMs, nothing was
// served for one second.
func TestStartDoesNotWaitForALostCall(t *testing.T) {
	for _, unanswered := range []int{1, 4} {
		f := newFixture(4)
		p := &silentPlatform{fakePlatform: f.platform, unanswered: unanswered}
		f.Source = p
		ctx, cancel := context.WithTimeout(context.Background(), 10*hedgeInterval)
		defer cancel()
		f.readOnce(ctx)
		assert.NilError(t, ctx.Err())
		assert.Equal(t, f.View.Revision(), uint64(9))
		assert.Equal(t, int(p.calls.Load()), unanswered+1)
	}
}

// Guards against parallel calls by a process that has a view and reads the
// platform again.
func TestOneCallWithAView(t *testing.T) {
	f := newFixture(4)
	f.platform.delta.Config, f.platform.delta.ConfigRevision = &fleet.Config{Version: 1}, 1
	f.readOnce(context.Background())
	f.cursor, f.historyLost, f.now = fleet.Progress{}, true, f.Position().TakeoverAge
	p := &silentPlatform{fakePlatform: f.platform, unanswered: 9}
	f.Source = p
	ctx, cancel := context.WithTimeout(context.Background(), 3*hedgeInterval)
	defer cancel()
	f.readOnce(ctx)
	assert.Equal(t, p.calls.Load(), int32(1))
}

// panickingPlatform is a Source whose Snapshot panics.
type panickingPlatform struct{ fakePlatform }

func (*panickingPlatform) Snapshot(context.Context) (*fleet.Delta, error) { panic("unexpected answer") }

// Guards against a response of the platform that ends the process with a panic:
// snapshots run on goroutines that are not supervised.
func TestPanicOfASnapshot(t *testing.T) {
	f := newFixture(4)
	f.Source = &panickingPlatform{}
	_, err := f.snapshot(t.Context())
	assert.ErrorContains(t, err, "unexpected answer")
}
