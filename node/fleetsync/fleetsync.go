// Package fleetsync keeps a process's view of the fleet up to date. A few
// processes, the readers, watch the platform. The others learn of new revisions
// from the heartbeats of their peers and fetch the changes from them.
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

// PathFleet is the HTTP path at which a process serves changes to its peers.
const PathFleet = "/fleet"

const (
	// batchDelay is the pause of a reader after a change, so that changes in
	// quick succession cost one call.
	batchDelay = 150 * time.Millisecond
	// standbyDelay is that pause for a standby reader, which gets most changes
	// from the other reader.
	standbyDelay = 700 * time.Millisecond
	// hedgeDelay is the time after which a process without a view makes a
	// second call in parallel to an unanswered one. hedgeInterval is the time
	// between further calls. A platform that was silent never answers the calls
	// that it accepted in that time.
	hedgeDelay    = 250 * time.Millisecond
	hedgeInterval = 500 * time.Millisecond
	// minBackoff and maxBackoff bound the pause after a failed call.
	minBackoff = 150 * time.Millisecond
	maxBackoff = 600 * time.Millisecond
	// idleCheckInterval is how often a process that is not a reader checks the
	// age of its view.
	idleCheckInterval = 100 * time.Millisecond
	// peerIdleTimeout closes connections to peers that are not used, because one may
	// have gone silent meanwhile and would cost pullTimeout.
	peerIdleTimeout = time.Second
	// pollWait is the wait of a watch that polls the platform once.
	pollWait = time.Millisecond
	// seedPhase is how long a process requests a view from the seeds, instead of
	// the platform, when the whole system starts for the first time.
	// seedRetryInterval is the time between two attempts.
	seedPhase         = 2 * time.Second
	seedRetryInterval = 200 * time.Millisecond
	// anyPeerMargin is how long before its takeover age a process starts to
	// fetch from any peer with a newer view.
	anyPeerMargin = 200 * time.Millisecond
	// pullTimeout bounds a request to a peer.
	pullTimeout = 600 * time.Millisecond
	// maxDeltaSize bounds the response of a peer, in bytes.
	maxDeltaSize = 64 << 20
)

// Source reads the state of the fleet from the platform.
type Source interface {
	// Snapshot returns the complete state.
	Snapshot(ctx context.Context) (*fleet.Delta, error)
	// Watch returns the changes after a position, and the position from which
	// the next Watch continues. It waits for a change for a limited time.
	Watch(ctx context.Context, after fleet.Progress, wait time.Duration) (*fleet.Delta, fleet.Progress, error)
	// IsHistoryLost reports whether err means that the history for a Watch cannot be
	// read, so that a Snapshot is needed.
	IsHistoryLost(err error) bool
}

// Options are the options of a Sync.
type Options struct {
	Self       netip.Addr
	DataCentre string
	Source     Source
	// PeerPort is the port on which peers serve PathFleet.
	PeerPort uint16
	// Seeds are peers from which a starting process requests a view if the
	// platform does not answer. When the whole system starts for the first time
	// (FirstStart), it tries them before the platform.
	Seeds      []netip.AddrPort
	FirstStart bool
	// Lock protects View and Seeds.
	Lock *sync.Mutex
	View *fleet.View
	// Now returns the monotonic time of the process.
	Now func() time.Duration
	// OnChange is called after the view has changed, with Lock held.
	OnChange func(targets, config bool)
	Log      *zap.Logger
	Metrics  *metrics.Set
}

// hint says that a peer has a newer view.
type hint struct {
	from     netip.AddrPort
	progress fleet.Progress
}

// Sync keeps a view of the fleet up to date.
type Sync struct {
	Options
	client *http.Client
	hints  chan hint
	// firstView is closed when the view is usable for the first time.
	firstView     chan struct{}
	firstViewOnce sync.Once
	// gaps is signalled when the view does not know all removals.
	gaps    chan struct{}
	senders senders
	// adoptsSettled says that a peer that started before this process has found that
	// nobody knows more removals. LearnRemovals alone uses it.
	adoptsSettled bool
	// cursor is the position from which the next Watch continues, zero if there is
	// none. historyLost says that a Snapshot is needed.
	cursor      fleet.Progress
	historyLost bool
	// reachable reports whether the last call to the platform succeeded.
	reachable, everCalled bool
	failures              int
	// platformEarlier reports whether the last response of the platform was of an
	// earlier epoch than the view.
	platformEarlier bool

	calls, failed, pulls, historyGaps *metrics.Counter
	drainReads, unreadableDrains      *metrics.Counter
}

// New returns a Sync.
func New(o Options) *Sync {
	if o.FirstStart {
		o.View.NothingRemovedBefore(o.Now())
	}
	return &Sync{
		Options: o, hints: make(chan hint, 1), firstView: make(chan struct{}), gaps: make(chan struct{}, 1),
		client: &http.Client{Timeout: pullTimeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: pullTimeout}).DialContext, MaxIdleConnsPerHost: 1, IdleConnTimeout: peerIdleTimeout,
		}},
		calls:  o.Metrics.GetOrCreateCounter("trefoilweir_platform_calls_total"),
		failed: o.Metrics.GetOrCreateCounter("trefoilweir_platform_errors_total"),
		pulls:  o.Metrics.GetOrCreateCounter("trefoilweir_fleet_pulls_total"),

		drainReads:       o.Metrics.GetOrCreateCounter("trefoilweir_drain_reads_total"),
		unreadableDrains: o.Metrics.GetOrCreateCounter("trefoilweir_drain_requests_unreadable_total"),
		historyGaps:      o.Metrics.GetOrCreateCounter("trefoilweir_fleet_history_gaps_total"),
	}
}

// HandleHeartbeat processes the progress and the age of a peer's view. The
// caller holds Lock.
func (s *Sync) HandleHeartbeat(from netip.Addr, progress fleet.Progress, age time.Duration) {
	if !progress.AheadOf(s.View.Progress()) {
		s.View.Confirm(s.Now(), age, progress)
		return
	}
	if !s.mayFetchFrom(from, progress) {
		return
	}
	select {
	case s.hints <- hint{netip.AddrPortFrom(from, s.PeerPort), progress}:
	default:
		// A fetch is pending. The next heartbeat repeats the hint.
	}
}

// mayFetchFrom reports whether to fetch a newer view from a peer. Peers in the
// same data centre and parents are always allowed. Other peers are allowed if
// there is no usable view, if the view has nearly reached its takeover age, or if
// only the version of the routes is newer: the platform has lost it, so no other
// change announces it.
func (s *Sync) mayFetchFrom(from netip.Addr, progress fleet.Progress) bool {
	if !progress.LaterThan(s.View.Progress()) {
		return true
	}
	position := s.Position()
	return s.isLocal(from) || slices.Contains(position.Parents, from) || !s.View.Usable() || s.View.Age(s.Now()) > position.TakeoverAge-anyPeerMargin
}

// isLocal reports whether an agent is in the data centre of this process.
func (s *Sync) isLocal(agent netip.Addr) bool {
	t := s.View.TargetAt(agent)
	return t != nil && t.DataCentre == s.DataCentre
}

// ReadPlatform updates the view from the platform until ctx ends.
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

// Position returns the position of this process in the order in which views
// spread. The caller holds Lock.
func (s *Sync) Position() fleet.Position {
	seeds := make([]netip.Addr, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		seeds = append(seeds, seed.Addr())
	}
	return s.View.Position(seeds, fleet.Member{VM: s.Self, DataCentre: s.DataCentre})
}

// readOnce makes at most one call to the platform and returns the pause before
// the next one.
func (s *Sync) readOnce(ctx context.Context) time.Duration {
	position, age, usable := s.viewState()
	if !usable && s.FirstStart && s.hasSeeds() && !position.Reader && s.Now() < seedPhase {
		s.pullFromSeeds(ctx)
		return seedRetryInterval
	}
	// When the whole system starts for the first time, there may be no routes
	// yet. The process gets them from its parents, like later changes.
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

// viewState returns the position of the process, the age of its view, and
// whether new flows can be placed with the view.
func (s *Sync) viewState() (position fleet.Position, age time.Duration, usable bool) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.Position(), s.View.Age(s.Now()), s.View.Usable()
}

func (s *Sync) callFailed(ctx context.Context, err error, usable bool) time.Duration {
	if s.Source.IsHistoryLost(err) {
		s.Log.Warn("history of the platform cannot be read; reading a snapshot", zap.Uint64("epoch", s.cursor.Epoch), zap.Uint64("after", s.cursor.Revision), telemetry.Error(err))
		s.cursor, s.historyLost = fleet.Progress{}, true
		return 0
	}
	if ctx.Err() != nil {
		return 0
	}
	s.failed.Inc()
	if s.reachable || !s.everCalled {
		s.Log.Warn("platform lost", telemetry.Error(err), zap.Uint64("after", s.cursor.Revision))
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
		s.Log.Info("platform reached", zap.Uint64("cursor", s.cursor.Revision))
		if s.everCalled {
			s.Lock.Lock()
			s.View.RecordDisturbance(s.Now())
			s.Lock.Unlock()
		}
	}
	s.reachable, s.everCalled, s.failures = true, true, 0
}
