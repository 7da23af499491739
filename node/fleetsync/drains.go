package fleetsync

import (
	"context"
	"math/rand/v2"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

const (
	// drainCheckInterval is how often a process checks whether it knows the drain
	// requests up to the revision of its view.
	drainCheckInterval = 100 * time.Millisecond
	// drainReadInterval is the mean time between two listings of the drain requests
	// by a process whose peers do not tell them. A drain must be in force within
	// 5 s, or 3 s at the smallest deployments.
	drainReadInterval = 2 * time.Second
)

// DrainReader is implemented by a Source that can list the drain requests alone.
type DrainReader interface {
	// Drains returns a delta with the drain requests and nothing else.
	Drains(ctx context.Context) (*fleet.Delta, error)
}

// ReadDrains reads the drain requests at the platform whenever the view may lack
// some, until ctx ends. Peers of a release that does not tell drain requests lead
// the view to revisions up to which it does not know them.
func (s *Sync) ReadDrains(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := drainCheckInterval
		if s.readDrainsOnce(ctx) {
			// The processes of a fleet do not call at the same time.
			pause = drainReadInterval/2 + rand.N(drainReadInterval)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// readDrainsOnce reads the drain requests if the view may lack some. It reports
// whether it called the platform.
func (s *Sync) readDrainsOnce(ctx context.Context) bool {
	reader, ok := s.Source.(DrainReader)
	if !ok || s.drainsComplete() {
		return false
	}
	s.drainReads.Inc()
	d, err := reader.Drains(ctx)
	if err != nil {
		s.Log.Debug("cannot read the drain requests", telemetry.Error(err))
		return true
	}
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.unreadableDrains.Add(d.UnreadableDrains)
	if s.View.ApplyDrains(s.Now(), d.Drains) {
		s.OnChange(true, false)
	}
	return true
}

// drainsComplete reports whether the view is not usable yet or knows the drain
// requests up to its revision.
func (s *Sync) drainsComplete() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return !s.View.Usable() || s.View.DrainsComplete()
}
