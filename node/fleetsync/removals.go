package fleetsync

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
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
	// One of them is in another data centre if there is one: if all processes of a
	// data centre have restarted, those elsewhere still know.
	removalPeers = 2
	// removalAttempts is the number of attempts in which all peers that answer
	// have started with the process, after which it takes it that all processes
	// have, so that nobody knows more. Peers that started up to startSpread before
	// the process count as started with it.
	removalAttempts = 3
	startSpread     = time.Second
	// gapAttempts is that number after a gap in the changes that the process has
	// followed. It is greater, because others may have seen the changes; within
	// ten attempts those that know them tell all that ask.
	gapAttempts = 10
	// removalsRetryInterval is the pause between two attempts. After a loss of all
	// VMs no search ends before the last attempt: with pauses of 200 ms the first
	// resets of dead flows came 0.5 s after the first view. gapRetryInterval is the
	// pause after a gap, in which the peers may have to learn the changes themselves.
	removalsRetryInterval = 60 * time.Millisecond
	gapRetryInterval      = 200 * time.Millisecond
	// minSettleTime is the time from the start in which the process hears agents
	// that no view names, before it takes it that nobody knows more. They send their
	// load to agents of their data centre every 100 ms.
	minSettleTime = 250 * time.Millisecond
	// maxRemovalsWait is how long the process looks for a peer that knows the
	// removals of the whole retention time, if others know only a part.
	maxRemovalsWait = 10 * time.Second
)

// errNoHistory is returned if a peer has no view yet, or is of a release that
// does not tell which entries were removed.
var errNoHistory = errors.New("peer does not know which entries were removed")

// errOtherEpoch is returned if a peer's view is of another epoch.
var errOtherEpoch = errors.New("peer's view is of another epoch of the platform")

// LearnRemovals makes the view know the entries that were removed, and the
// services to which addresses led, before the process started or in a gap of the
// changes that it has followed. A listing at the platform does not name them, and
// the targets may still run and hold flows.
func (s *Sync) LearnRemovals(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.firstView:
	}
	for ctx.Err() == nil {
		s.learnRemovals(ctx)
		select {
		case <-ctx.Done():
		case <-s.gaps:
		}
	}
	return ctx.Err()
}

// learnRemovals asks peers until the view knows the removals, or nobody knows more.
func (s *Sync) learnRemovals(ctx context.Context) {
	asked := map[netip.Addr]bool{}
	s.adoptsSettled = false
	for together := 0; ctx.Err() == nil && !s.removalsKnown(); {
		switch {
		case s.askForRemovals(ctx, asked):
			together++
		case s.adoptsSettled:
			// Some peer knows more and has not settled, or did not answer.
			together, s.adoptsSettled = 0, false
		}
		s.watchGap(ctx)
		_, gap := s.historyGap()
		if !gap && (together >= removalAttempts || s.Now() > maxRemovalsWait) || together >= gapAttempts {
			select {
			case <-ctx.Done():
			case <-time.After(minSettleTime - s.Now()):
			}
			s.settleRemovals()
			return
		}
		pause := removalsRetryInterval
		if gap {
			pause = gapRetryInterval
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// watchGap makes a reader watch the changes in a gap of its history, so that the
// processes that follow it get no gap.
func (s *Sync) watchGap(ctx context.Context) {
	s.Lock.Lock()
	from, reader := s.View.CompleteTo(s.Now()), s.Position().Reader
	gap := from != s.View.Progress() && from.Epoch == s.View.Progress().Epoch
	s.Lock.Unlock()
	if !reader || !gap {
		return
	}
	s.calls.Inc()
	d, _, err := s.Source.Watch(ctx, from, pollWait)
	if err != nil {
		s.Log.Info("cannot watch the changes in a gap of the history", zap.Uint64("after", from.Revision), telemetry.Error(err))
		return
	}
	d.WatchedAfter = from.Revision
	s.apply(d, "platform")
}

func (s *Sync) historyGap() (known time.Duration, gap bool) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.HistoryGap(s.Now())
}

// notifyGap makes LearnRemovals ask peers if the view does not know the removals.
// The caller holds Lock.
func (s *Sync) notifyGap() {
	if s.View.RemovalsKnown(s.Now()) {
		return
	}
	select {
	case s.gaps <- struct{}{}:
	default:
	}
}

// askForRemovals asks some peers for removed entries, until one of them knows
// those of the whole retention time. It reports whether the peers that have
// answered know no more than this process: they started with it or have the same
// gap, or all that were asked have found before that nobody knows more. It also does
// so if there is no other process. It records in asked whom it has asked,
// and prefers others. If the platform was disturbed recently, it lists few of the
// agents that run, so those that were asked say nothing about the others.
func (s *Sync) askForRemovals(ctx context.Context, asked map[netip.Addr]bool) (together bool) {
	own, gap := s.historyGap()
	if !gap {
		own = s.Now()
	}
	peers, alone, disturbed := s.removalCandidates(asked)
	answers, longest := 0, time.Duration(0)
	for _, peer := range peers {
		asked[peer] = true
		from := netip.AddrPortFrom(peer, s.PeerPort)
		told, err := s.pullRemovals(ctx, from)
		if err != nil {
			s.Log.Debug("peer does not tell which entries were removed", telemetry.Peer(from.String()), telemetry.Error(err))
			continue
		}
		answers++
		if !gap && told.settled && told.known > own+startSpread {
			s.adoptsSettled = true
		} else {
			longest = max(longest, told.known)
		}
		if s.removalsKnown() {
			break
		}
	}
	s.askSender(ctx)
	needed := 1
	if gap || s.adoptsSettled {
		needed = len(peers)
	}
	return alone || answers >= needed && longest <= own+startSpread && !disturbed
}

func (s *Sync) settleRemovals() {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	if _, gap := s.View.HistoryGap(s.Now()); gap {
		s.Log.Warn("no peer knows the skipped changes; the history counts as complete")
	}
	if s.adoptsSettled {
		s.View.AdoptSettledRemovals()
	} else {
		s.View.SettleRemovals()
	}
}

func (s *Sync) removalsKnown() bool {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.RemovalsKnown(s.Now())
}

// removalCandidates returns the peers to ask: agents of the local data centre and
// one of another, at random, those first that have not been asked. alone reports that
// there is no other process, and disturbed that the platform was disturbed recently.
func (s *Sync) removalCandidates(asked map[netip.Addr]bool) (peers []netip.Addr, alone, disturbed bool) {
	s.Lock.Lock()
	expected := s.View.ExpectsTargets(s.Now())
	disturbed = s.View.RecentlyDisturbed(s.Now())
	var near, far []netip.Addr
	for _, a := range s.View.Agents() {
		switch {
		case a == s.Self:
		case s.isLocal(a):
			near = append(near, a)
		default:
			far = append(far, a)
		}
	}
	heard := len(s.senders.recent) > 0
	s.Lock.Unlock()
	for _, list := range [][]netip.Addr{near, far} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		slices.SortStableFunc(list, func(a, b netip.Addr) int { return cmp.Compare(btoi(asked[a]), btoi(asked[b])) })
	}
	elsewhere := far[:min(len(far), max(1, removalPeers-len(near)))]
	peers = slices.Concat(near[:min(len(near), removalPeers-min(1, len(elsewhere)))], elsewhere)
	return peers, len(peers) == 0 && !expected && !heard, disturbed
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// toldRemovals says for how long before now a peer knows all removed entries, and
// whether it has found that nobody knows more.
type toldRemovals struct {
	known   time.Duration
	settled bool
}

// pullRemovals fetches the removed entries of a peer.
func (s *Sync) pullRemovals(ctx context.Context, from netip.AddrPort) (told toldRemovals, err error) {
	s.Lock.Lock()
	start, ago := s.View.HistoryStart(s.Now())
	s.Lock.Unlock()
	parameters := progressParameters(start)
	parameters[queryRemovals] = "1"
	parameters[queryAge] = strconv.FormatInt(ago.Milliseconds(), 10)
	d, err := s.get(ctx, from, parameters)
	if err != nil {
		return told, err
	}
	if d.RemovalsKnownMS == nil {
		return told, errNoHistory
	}
	if progress, _ := s.localProgress(); d.Epoch != progress.Epoch {
		// The view would ignore the entries.
		return told, errOtherEpoch
	}
	s.apply(d, from.String())
	s.Log.Info("removed entries learned", telemetry.Peer(from.String()), zap.Int("removed", len(d.Changes)), zap.Int64("known_ms", *d.RemovalsKnownMS), zap.Bool("settled", d.RemovalsSettled))
	return toldRemovals{time.Duration(*d.RemovalsKnownMS) * time.Millisecond, d.RemovalsSettled}, nil
}

// removals returns the entries that were removed lately, for a peer that has
// followed the changes from a state on for the time ago.
func (s *Sync) removals(start fleet.Progress, ago time.Duration) fleet.Delta {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	return s.View.Removals(s.Now(), start, ago)
}
