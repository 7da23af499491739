package fleetsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

const (
	// queryRemovals asks a peer for the entries that were removed lately, in
	// place of the changes after a progress.
	queryRemovals = "removals"
	// maxRemovalPeers is how many peers a starting process asks for removed
	// entries, until one of them knows those of the whole retention time.
	maxRemovalPeers = 3
	// removalsRetryInterval is the pause after an attempt in which no peer
	// answered.
	removalsRetryInterval = 200 * time.Millisecond
)

// errNoHistory is returned if a peer has no view yet, or is of a release that
// does not tell which entries were removed.
var errNoHistory = errors.New("peer does not know which entries were removed")

// LearnRemovals makes the view know the entries that were removed before the
// process started. A listing at the platform does not name them, and their
// targets may still run and hold flows.
func (s *Sync) LearnRemovals(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.firstView:
	}
	for ctx.Err() == nil && !s.askForRemovals(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(removalsRetryInterval):
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// askForRemovals asks peers for removed entries and reports whether the view
// knows as many of them as it can.
func (s *Sync) askForRemovals(ctx context.Context) bool {
	peers, answered := s.removalPeers()
	for _, peer := range peers {
		if s.removalsKnown() {
			return true
		}
		from := netip.AddrPortFrom(peer, s.PeerPort)
		if err := s.pullRemovals(ctx, from); err != nil {
			s.Log.Debug("peer does not tell which entries were removed", telemetry.Peer(from.String()), telemetry.Error(err))
			continue
		}
		// At least one peer with a view has told what it knows.
		answered = true
	}
	if !answered {
		return false
	}
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.View.SettleRemovals()
	return true
}

func (s *Sync) removalsKnown() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.RemovalsKnown(s.Now())
}

// removalPeers returns the peers to ask: agents of the local data centre, or of
// others if there is none, at random. alone reports that there is no other agent
// in the fleet.
func (s *Sync) removalPeers() (peers []netip.Addr, alone bool) {
	s.Lock.Lock()
	expected := s.View.ExpectsTargets(s.Now())
	agents := slices.Clone(s.View.Agents())
	near := slices.DeleteFunc(slices.Clone(agents), func(a netip.Addr) bool { return !s.isLocal(a) || a == s.Self })
	s.Lock.Unlock()
	if len(near) == 0 {
		near = slices.DeleteFunc(agents, func(a netip.Addr) bool { return a == s.Self })
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return near[:min(len(near), maxRemovalPeers)], len(near) == 0 && !expected
}

// pullRemovals fetches the removed entries of a peer.
func (s *Sync) pullRemovals(ctx context.Context, from netip.AddrPort) error {
	parameters := progressParameters(s.localProgress())
	parameters[queryRemovals] = "1"
	d, err := s.get(ctx, from, parameters)
	if err != nil {
		return err
	}
	if d.RemovalsKnownMS == nil {
		return errNoHistory
	}
	s.apply(d, from.String())
	s.Log.Info("removed entries learned", telemetry.Peer(from.String()), zap.Int("removed", len(d.Changes)), zap.Int64("known_ms", *d.RemovalsKnownMS))
	return nil
}

// removals returns the entries that were removed lately.
func (s *Sync) removals() fleet.Delta {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.Removals(s.Now())
}
