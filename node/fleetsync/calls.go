package fleetsync

import (
	"context"
	"fmt"
	"runtime/debug"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

// advanceCursor moves the position of the next watch to what the view is complete
// to. A process that follows peers for a long time would otherwise get all changes
// since its last call when it takes over from them.
func (s *Sync) advanceCursor() {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	to := s.View.CompleteTo(s.Now())
	if s.historyLost || !s.View.Usable() || to.Revision == 0 || !to.LaterThan(s.cursor) {
		return
	}
	s.cursor = fleet.Progress{Epoch: to.Epoch, Revision: to.Revision}
}

// call makes one call to the platform: a snapshot if there is no revision to
// continue from, otherwise a watch. changed reports whether the view changed,
// events whether the response has any change.
func (s *Sync) call(ctx context.Context, wait time.Duration) (changed, events bool, err error) {
	var d *fleet.Delta
	s.advanceCursor()
	if s.cursor == (fleet.Progress{}) {
		if d, err = s.snapshot(ctx); err == nil {
			s.cursor, s.historyLost = fleet.Progress{Epoch: d.Epoch, Revision: d.ListingRevision}, false
		}
	} else {
		d, err = s.watch(ctx, wait)
	}
	if err != nil {
		return false, false, err
	}
	return s.apply(d, "platform"), len(d.Changes) > 0 || d.Config != nil || d.DrainChanges != nil && len(d.DrainChanges.Changes) > 0, nil
}

func (s *Sync) watch(ctx context.Context, wait time.Duration) (*fleet.Delta, error) {
	s.calls.Inc()
	began := s.Now()
	d, next, err := s.Source.Watch(ctx, s.cursor, wait)
	if err != nil {
		return nil, err
	}
	d.WatchedAfter, s.cursor = s.cursor.Revision, next
	if wait <= pollWait {
		// The response may be as old as the request.
		d.ConfirmedMS = int64((s.Now() - began) / time.Millisecond)
	}
	return d, nil
}

// snapshotResult is the outcome of one Snapshot call.
type snapshotResult struct {
	delta *fleet.Delta
	err   error
}

// snapshot reads the complete state from the platform. A process without a view
// does not wait for an unanswered call to time out. It makes further calls in
// parallel until one of them succeeds or fails.
func (s *Sync) snapshot(ctx context.Context) (*fleet.Delta, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, _, usable := s.viewState()
	start := s.Now()
	// Calls that are still pending when snapshot returns end with ctx, and their
	// results are dropped.
	results := make(chan snapshotResult)
	read := func() {
		s.calls.Inc()
		began := s.Now()
		d, err := s.recoverSnapshot(ctx)
		if err == nil {
			d.ConfirmedMS = int64((s.Now() - began) / time.Millisecond)
		}
		select {
		case results <- snapshotResult{d, err}:
		case <-ctx.Done():
		}
	}
	next := time.NewTimer(hedgeDelay)
	defer next.Stop()
	go read()
	for {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case r := <-results:
			s.recordSlowCall(r, start)
			return r.delta, r.err
		case <-next.C:
			if !usable {
				go read()
				next.Reset(hedgeInterval)
			}
		}
	}
}

// recoverSnapshot calls Snapshot and returns a panic as an error, because it runs
// on a goroutine that is not supervised.
func (s *Sync) recoverSnapshot(ctx context.Context) (d *fleet.Delta, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Error("snapshot of the platform panicked", telemetry.Reason(fmt.Sprint(cause)), zap.String("stack", string(debug.Stack())))
			err = trace.Errorf("snapshot of the platform panicked: %v", cause)
		}
	}()
	return s.Source.Snapshot(ctx)
}

// recordSlowCall records a disturbance if a successful snapshot took hedgeDelay
// or longer: the platform may have left a call unanswered and just come back.
func (s *Sync) recordSlowCall(r snapshotResult, start time.Duration) {
	if r.err != nil || s.Now()-start < hedgeDelay {
		return
	}
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.View.RecordDisturbance(s.Now())
}

// apply applies a delta to the view and reports whether the view changed.
func (s *Sync) apply(d *fleet.Delta, from string) bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	before, progress, drained := s.View.Version(), s.View.Progress(), s.View.DrainedDataCentres()
	s.unreadableDrains.Add(d.UnreadableDrains)
	_, gapBefore := s.View.HistoryGap(s.Now())
	targets, config := s.View.Apply(s.Now(), d)
	if from == "platform" && d.Epoch == s.View.Progress().Epoch {
		// An answer without newer changes confirms the view's revision. It may be
		// older than the view, so this must not make it count as complete up to there.
		s.View.Confirm(s.Now(), time.Duration(d.ConfirmedMS)*time.Millisecond, s.View.Progress())
	}
	s.logEpoch(from, d.Epoch, progress)
	s.logGap(from, gapBefore, progress)
	s.notifyGap()
	if s.View.Usable() {
		s.firstViewOnce.Do(func() { close(s.firstView) })
	}
	// A drain changes which targets get new flows.
	targets = targets || !slices.Equal(drained, s.View.DrainedDataCentres())
	if targets || config {
		s.Log.Info("view changed", zap.String("from", from), zap.Uint64("epoch", s.View.Progress().Epoch), zap.Uint64("revision", s.View.Revision()), telemetry.Version(s.View.Version()),
			zap.Uint64("previous_version", before), zap.Bool("targets", targets), zap.Bool("config", config), zap.Int("changes", len(d.Changes)))
		s.OnChange(targets, config)
	}
	return targets || config
}

// logGap logs and counts that the history of the view has a gap, and logs that it was
// filled.
func (s *Sync) logGap(from string, before bool, progress fleet.Progress) {
	_, gap := s.View.HistoryGap(s.Now())
	switch {
	case gap && !before:
		s.historyGaps.Inc()
		s.Log.Warn("changes were skipped; no search ends with a reset until a peer tells them", zap.String("from", from),
			zap.Uint64("epoch", progress.Epoch), zap.Uint64("after", progress.Revision), zap.Uint64("revision", s.View.Revision()))
	case before && !gap:
		s.Log.Info("skipped changes learned", zap.String("from", from))
	}
}

// logEpoch logs that the platform returned from an older copy of its state, if the
// view's epoch changed, and that it is of an earlier epoch than the view. epoch is
// that of the applied delta.
func (s *Sync) logEpoch(from string, epoch uint64, before fleet.Progress) {
	after := s.View.Progress()
	if after.Epoch != before.Epoch && before.Revision > 0 {
		s.Log.Warn("platform returned from an older copy", zap.String("from", from), zap.Uint64("previous_epoch", before.Epoch),
			zap.Uint64("previous_revision", before.Revision), zap.Uint64("epoch", after.Epoch), zap.Uint64("revision", after.Revision))
	}
	if from != "platform" {
		return
	}
	earlier := epoch < after.Epoch
	if earlier && !s.platformEarlier {
		s.Log.Warn("platform is of an earlier epoch than the view; its targets are ignored", zap.Uint64("platform_epoch", epoch), zap.Uint64("epoch", after.Epoch))
	}
	s.platformEarlier = earlier
}
