package fleetsync

import (
	"context"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

// call reads or watches the platform once. events says that the answer has any,
// changed that one of them was new.
func (s *Sync) call(ctx context.Context, wait time.Duration) (changed, events bool, err error) {
	var d *fleet.Delta
	if s.cursor == 0 {
		if d, err = s.snapshot(ctx); err == nil {
			s.cursor = d.ListingRevision
		}
	} else {
		d, err = s.watch(ctx, wait)
	}
	if err != nil {
		return false, false, err
	}
	return s.apply(d, "platform"), len(d.Changes) > 0 || d.Config != nil, nil
}

func (s *Sync) watch(ctx context.Context, wait time.Duration) (*fleet.Delta, error) {
	s.calls.Inc()
	began := s.Now()
	d, next, err := s.Source.Watch(ctx, s.cursor, wait)
	if err != nil {
		return nil, err
	}
	s.cursor = next
	if wait <= pollWait {
		// The answer may be as old as the question.
		d.ConfirmedMS = int64((s.Now() - began) / time.Millisecond)
	}
	return d, nil
}

// snapshotResult is the outcome of one Snapshot call.
type snapshotResult struct {
	delta *fleet.Delta
	err   error
}

// snapshot reads the platform. A process without a view does not wait for the
// time-out of a call that is not answered, but makes others beside it until one
// is answered or fails.
func (s *Sync) snapshot(ctx context.Context) (*fleet.Delta, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	_, _, usable := s.viewState()
	start := s.Now()
	// Readings that are still open at the end need no reader of their outcome.
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

// recoverSnapshot reads the platform on a goroutine of its own, which no supervisor
// watches: a panic there is an error of the call.
func (s *Sync) recoverSnapshot(ctx context.Context) (d *fleet.Delta, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			s.Log.Error("reading of the platform panicked", telemetry.Reason(fmt.Sprint(cause)), zap.String("stack", string(debug.Stack())))
			err = trace.Errorf("reading panicked: %v", cause)
		}
	}()
	return s.Source.Snapshot(ctx)
}

// recordSlowCall notes that the platform is just back, if it left a call unanswered.
func (s *Sync) recordSlowCall(r snapshotResult, start time.Duration) {
	if r.err != nil || s.Now()-start < hedgeDelay {
		return
	}
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.View.RecordDisturbance(s.Now())
}

// apply adds a delta to the view.
func (s *Sync) apply(d *fleet.Delta, from string) bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	if from == "platform" {
		// What the platform has not changed is confirmed.
		d.Revision = max(d.Revision, s.View.Revision())
	}
	before := s.View.Version()
	targets, config := s.View.Apply(s.Now(), d)
	if targets || config {
		s.Log.Info("view changed", zap.String("from", from), zap.Uint64("revision", s.View.Revision()), telemetry.Version(s.View.Version()),
			zap.Uint64("previous_version", before), zap.Bool("targets", targets), zap.Bool("config", config), zap.Int("changes", len(d.Changes)))
		s.OnChange(targets, config)
	}
	return targets || config
}
