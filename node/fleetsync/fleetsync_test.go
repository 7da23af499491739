package fleetsync

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
)

// platform is a Source that counts its calls.
type platform struct {
	delta            fleet.Delta
	snapshots, waits []time.Duration
	err              error
}

var errCompacted = errors.New("compacted")

func (p *platform) Snapshot(context.Context) (*fleet.Delta, error) {
	p.snapshots = append(p.snapshots, 0)
	d := p.delta
	return &d, p.err
}

func (p *platform) Watch(_ context.Context, after uint64, wait time.Duration) (*fleet.Delta, uint64, error) {
	p.waits = append(p.waits, wait)
	return &fleet.Delta{Revision: after}, after, p.err
}

func (p *platform) Compacted(err error) bool { return errors.Is(err, errCompacted) }

// fixture is a process that is no reader as soon as targets are listed.
type fixture struct {
	*Sync
	platform platform
	now      time.Duration
}

func newFixture(targets byte) *fixture {
	f := &fixture{platform: platform{delta: fleet.Delta{Revision: 9, Listed: 9, Full: true}}}
	for i, t := range fleettest.Ready(targets) {
		f.platform.delta.Changes = append(f.platform.delta.Changes, fleet.Change{ID: t.ID, Revision: uint64(i + 1), Target: t})
	}
	f.Sync = New(Options{
		Self: netip.MustParseAddr("10.1.0.1"), Source: &f.platform, FirstStart: true, Lock: &sync.Mutex{}, View: fleet.New(),
		Now: func() time.Duration { return f.now }, Changed: func(_, _ bool) {}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	return f
}

// Guards against a first start without seeds in which everybody waits for
// somebody else to read the platform.
func TestFirstStartWithoutSeeds(t *testing.T) {
	f := newFixture(0)
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.snapshots), 1)
	// Nobody is listed yet, so the process waits for the first entry.
	f.readOnce(context.Background())
	assert.DeepEqual(t, f.platform.waits, []time.Duration{fleet.WatchWait})
}

// Guards against a first start in which each process asks the platform ten
// times a second until there are routes: 540 calls of 65 processes.
func TestFirstStartFollowsParents(t *testing.T) {
	f := newFixture(4)
	for range 10 {
		f.now += idleCheck
		f.readOnce(context.Background())
	}
	assert.Equal(t, len(f.platform.snapshots), 1)
	assert.Equal(t, len(f.platform.waits), 0)
	// Parents that stay silent are not waited for.
	f.now += 5 * time.Second
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.waits), 1)
}

// Guards against a process that goes on from a revision of which the platform
// has forgotten the history.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	f := newFixture(0)
	f.readOnce(context.Background())
	f.platform.err = errCompacted
	f.readOnce(context.Background())
	f.platform.err = nil
	f.readOnce(context.Background())
	assert.Equal(t, len(f.platform.snapshots), 2)
}
