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
	// removalPeers is how many peers a starting process asks in one attempt for
	// removed entries, until one of them knows those of the whole retention time.
	removalPeers = 2
	// removalAttempts is the number of attempts in which all peers that answer
	// have started with the process, after which it takes it that all processes
	// have, so that nobody knows more. Peers that started up to startSpread before
	// the process count as started with it.
	removalAttempts = 3
	startSpread     = time.Second
	// removalsRetryInterval is the pause between two attempts.
	removalsRetryInterval = 200 * time.Millisecond
	// maxRemovalsWait is how long the process looks for a peer that knows the
	// removals of the whole retention time, if others know only a part.
	maxRemovalsWait = 10 * time.Second
)

// errNoHistory is returned if a peer has no view yet, or is of a release that
// does not tell which entries were removed.
var errNoHistory = errors.New("peer does not know which entries were removed")

// errOtherEpoch is returned if a peer's view is of another epoch.
var errOtherEpoch = errors.New("peer's view is of another epoch of the platform")

// LearnRemovals makes the view know the entries that were removed before the
// process started. A listing at the platform does not name them, and their
// targets may still run and hold flows.
func (s *Sync) LearnRemovals(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.firstView:
	}
	for together := 0; ctx.Err() == nil && !s.removalsKnown(); {
		// All agents that run in a small data centre may have restarted in turn, so
		// others are asked before their answers count.
		if s.askForRemovals(ctx, together > 0) {
			together++
		}
		if together >= removalAttempts || s.Now() > maxRemovalsWait {
			s.settleRemovals()
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(removalsRetryInterval):
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// askForRemovals asks some peers for removed entries, until one of them knows
// those of the whole retention time. With everywhere, it asks some of other data
// centres too. It reports whether the peers that have answered started with this process, or there is no peer. If the platform was
// disturbed recently, it lists few of the agents that run, so those that were asked
// say nothing about the others.
func (s *Sync) askForRemovals(ctx context.Context, everywhere bool) (together bool) {
	peers, alone, disturbed := s.removalCandidates(everywhere)
	answered, longest := false, time.Duration(0)
	for _, peer := range peers {
		from := netip.AddrPortFrom(peer, s.PeerPort)
		known, err := s.pullRemovals(ctx, from)
		if err != nil {
			s.Log.Debug("peer does not tell which entries were removed", telemetry.Peer(from.String()), telemetry.Error(err))
			continue
		}
		answered, longest = true, max(longest, known)
		if s.removalsKnown() {
			break
		}
	}
	return alone || answered && longest <= s.Now()+startSpread && !disturbed
}

func (s *Sync) settleRemovals() {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	s.View.SettleRemovals()
}

func (s *Sync) removalsKnown() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.RemovalsKnown(s.Now())
}

// removalCandidates returns the peers to ask: agents of the local data centre, or of
// others if there is none, at random, and with everywhere also of others. alone reports that there is no other agent
// in the fleet, and disturbed that the platform was disturbed recently.
func (s *Sync) removalCandidates(everywhere bool) (peers []netip.Addr, alone, disturbed bool) {
	s.Lock.Lock()
	expected := s.View.ExpectsTargets(s.Now())
	disturbed = s.View.RecentlyDisturbed(s.Now())
	agents := slices.Clone(s.View.Agents())
	near := slices.DeleteFunc(slices.Clone(agents), func(a netip.Addr) bool { return !s.isLocal(a) || a == s.Self })
	s.Lock.Unlock()
	far := slices.DeleteFunc(agents, func(a netip.Addr) bool { return a == s.Self || slices.Contains(near, a) })
	peers = chooseSome(near, removalPeers)
	if everywhere || len(near) == 0 {
		peers = append(peers, chooseSome(far, removalPeers)...)
	}
	return peers, len(peers) == 0 && !expected, disturbed
}

// chooseSome returns at most count of some agents, at random.
func chooseSome(agents []netip.Addr, count int) []netip.Addr {
	rand.Shuffle(len(agents), func(i, j int) { agents[i], agents[j] = agents[j], agents[i] })
	return slices.Clone(agents[:min(len(agents), count)])
}

// pullRemovals fetches the removed entries of a peer, and returns for how long
// before now the peer knows all of them.
func (s *Sync) pullRemovals(ctx context.Context, from netip.AddrPort) (known time.Duration, err error) {
	parameters := progressParameters(s.localProgress())
	parameters[queryRemovals] = "1"
	d, err := s.get(ctx, from, parameters)
	if err != nil {
		return 0, err
	}
	if d.RemovalsKnownMS == nil {
		return 0, errNoHistory
	}
	if d.Epoch != s.localProgress().Epoch {
		// The view would ignore the entries.
		return 0, errOtherEpoch
	}
	s.apply(d, from.String())
	s.Log.Info("removed entries learned", telemetry.Peer(from.String()), zap.Int("removed", len(d.Changes)), zap.Int64("known_ms", *d.RemovalsKnownMS))
	return time.Duration(*d.RemovalsKnownMS) * time.Millisecond, nil
}

// removals returns the entries that were removed lately.
func (s *Sync) removals() fleet.Delta {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.Removals(s.Now())
}
