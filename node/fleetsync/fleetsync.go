// Package fleetsync keeps the view of the fleet of one process up to date. A
// few processes watch the platform; the others learn of new revisions from the
// datagrams of their peers and fetch what changed from them.
package fleetsync

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

// PathFleet is the path at which processes give each other what changed.
const PathFleet = "/fleet"

const (
	// batchDelay is the pause of a reader after a change, so that changes in
	// quick succession cost one call.
	batchDelay = 150 * time.Millisecond
	// standbyDelay is that pause of a standby reader, which gets most changes
	// from the other reader.
	standbyDelay = 700 * time.Millisecond
	// hedgeDelay is the time after which a process without a view makes another
	// call beside one that is not answered, hedgeEvery that to each further
	// one. Calls that a silent platform has taken are never answered.
	hedgeDelay    = 250 * time.Millisecond
	hedgeInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a call failed.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// idleCheckInterval is how often a process that is no reader looks at the age of
	// its view.
	idleCheckInterval = 100 * time.Millisecond
	// pollWait is the wait of a single question to the platform.
	pollWait = time.Millisecond
	// seedPhase is how long a process asks the seeds before the platform when
	// the whole system starts for the first time, seedPause the time between
	// two questions.
	seedPhase         = 2 * time.Second
	seedRetryInterval = 200 * time.Millisecond
	// anyPeerMargin is how long before its turn to ask the platform a process
	// fetches from anyone with a newer view.
	anyPeerMargin = 200 * time.Millisecond
	// pullTimeout bounds a question to a peer.
	pullTimeout = 600 * time.Millisecond
	// maxDeltaSize bounds the answer of a peer, in bytes.
	maxDeltaSize = 64 << 20
)

// Source is the platform.
type Source interface {
	// Snapshot reads everything.
	Snapshot(ctx context.Context) (*fleet.Delta, error)
	// Watch returns what changed after a revision, and where the next Watch
	// continues. It waits for a change.
	Watch(ctx context.Context, after uint64, wait time.Duration) (*fleet.Delta, uint64, error)
	// IsCompacted reports whether an error says that a Snapshot is needed.
	IsCompacted(err error) bool
}

// Options of a Sync.
type Options struct {
	Self       netip.Addr
	DataCentre string
	Source     Source
	// PeerPort is the port at which peers answer PathFleet.
	PeerPort uint16
	// Seeds are asked when the platform does not answer a starting process,
	// and before it when the whole system starts for the first time.
	Seeds      []netip.AddrPort
	FirstStart bool
	// Lock protects View and Seeds.
	Lock *sync.Mutex
	View *fleet.View
	// Now is the steady time of the process.
	Now func() time.Duration
	// OnChange is called with the lock held after the view changed.
	OnChange func(targets, config bool)
	Log      *zap.Logger
	Metrics  *metrics.Set
}

type hint struct {
	from     netip.AddrPort
	revision uint64
}

// Sync keeps a view up to date.
type Sync struct {
	Options
	client *http.Client
	hints  chan hint
	cursor uint64
	// reachable is whether the last call to the platform succeeded.
	reachable, everCalled bool
	failures              int
	calls, failed, pulls  *metrics.Counter
}

// New returns a Sync.
func New(o Options) *Sync {
	return &Sync{
		Options: o, hints: make(chan hint, 1),
		client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: pullTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * time.Second,
		}},
		calls:  o.Metrics.GetOrCreateCounter("trefoilweir_platform_calls_total"),
		failed: o.Metrics.GetOrCreateCounter("trefoilweir_platform_errors_total"),
		pulls:  o.Metrics.GetOrCreateCounter("trefoilweir_fleet_pulls_total"),
	}
}

// HandleHeartbeat takes the revision and the age of a peer's view. The lock is held.
func (s *Sync) HandleHeartbeat(from netip.Addr, revision uint64, age time.Duration) {
	if revision <= s.View.Revision() {
		s.View.Confirm(s.Now(), age, revision)
		return
	}
	if !s.mayFetchFrom(from) {
		return
	}
	select {
	case s.hints <- hint{netip.AddrPortFrom(from, s.PeerPort), revision}:
	default:
		// A fetch is pending, and the next datagram repeats the hint.
	}
}

// mayFetchFrom reports whether to fetch a newer view from a peer: one in the same
// data centre, a parent, or anyone if neither has told anything for long.
func (s *Sync) mayFetchFrom(from netip.Addr) bool {
	position := s.Position()
	return s.isLocal(from) || slices.Contains(position.Parents, from) || !s.View.Usable() || s.View.Age(s.Now()) > position.TakeoverAge-anyPeerMargin
}

// isLocal reports whether an agent is in the data centre of this process.
func (s *Sync) isLocal(agent netip.Addr) bool {
	t := s.View.TargetAt(agent)
	return t != nil && t.DataCentre == s.DataCentre
}

// ReadPlatform reads the platform until ctx ends.
func (s *Sync) ReadPlatform(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := s.readOnce(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// Position returns the place of this process. The lock is held.
func (s *Sync) Position() fleet.Place {
	seeds := make([]netip.Addr, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, seed.Addr())
	}
	return s.View.Place(seeds, fleet.Member{VM: s.Self, DataCentre: s.DataCentre})
}

// readOnce makes at most one call and returns the pause before the next.
func (s *Sync) readOnce(ctx context.Context) time.Duration {
	position, age, usable := s.viewState()
	if !usable && s.FirstStart && s.hasSeeds() && !position.Reader && s.Now() < seedPhase {
		s.pullFromSeeds(ctx)
		return seedRetryInterval
	}
	// When the whole system starts for the first time there may be no routes
	// yet. They come from the parents like later changes.
	followsPeers := usable || s.FirstStart && len(position.Parents) > 0
	if followsPeers && !position.Reader && age < position.TakeoverAge {
		return min(idleCheckInterval, position.TakeoverAge-age)
	}
	wait := pollWait
	if !followsPeers || position.Reader && age < position.TakeoverAge+fleet.WatchTimeout {
		wait = fleet.WatchTimeout
	}
	changed, events, err := s.call(ctx, wait)
	if err != nil {
		return s.callFailed(ctx, err, usable)
	}
	s.callSucceeded()
	switch {
	case events && position.Standby:
		return standbyDelay
	case changed:
		return batchDelay
	case position.Reader:
		return 0
	default:
		return idleCheckInterval
	}
}

// viewState returns the place of the process, and the age of its view and
// whether new flows can be placed by it.
func (s *Sync) viewState() (position fleet.Place, age time.Duration, usable bool) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.Position(), s.View.Age(s.Now()), s.View.Usable()
}

func (s *Sync) callFailed(ctx context.Context, err error, usable bool) time.Duration {
	if s.Source.IsCompacted(err) {
		s.Log.Warn("history of the platform is gone, reading everything", zap.Uint64("after", s.cursor))
		s.cursor = 0
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	s.failed.Inc()
	if s.reachable || !s.everCalled {
		s.Log.Warn("platform lost", telemetry.Error(err), zap.Uint64("after", s.cursor))
	}
	s.reachable, s.everCalled = false, true
	s.Lock.Lock()
	s.View.RecordDisturbance(s.Now())
	s.Lock.Unlock()
	if !usable {
		s.pullFromSeeds(ctx)
	}
	pause := min(maxBackoff, minBackoff<<min(s.failures, 4))
	s.failures++
	return pause/2 + rand.N(pause/2)
}

func (s *Sync) callSucceeded() {
	if !s.reachable {
		s.Log.Info("platform reached", zap.Uint64("cursor", s.cursor))
		if s.everCalled {
			s.Lock.Lock()
			s.View.RecordDisturbance(s.Now())
			s.Lock.Unlock()
		}
	}
	s.reachable, s.everCalled, s.failures = true, true, 0
}
