package fleetsync

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/node/telemetry"
)

const (
	// maxSenders bounds the senders that are kept.
	maxSenders = 4
	// senderPullDelay is how long after its start a process without a view begins to
	// request one from processes that send it packets: the platform answers sooner
	// unless it is disturbed. senderPullInterval is the time between two requests.
	senderPullDelay    = hedgeDelay
	senderPullInterval = 100 * time.Millisecond
)

// senders has the processes that have sent datagrams to this one while it did not
// know which entries were removed. A process that starts in an outage of the platform,
// or right after one in which entries have lapsed, lists no other process or few, but
// those that send it packets may know all.
type senders struct {
	// recent has up to maxSenders of them. The one at oldest is replaced next.
	recent []netip.Addr
	oldest int
	// asked counts the requests for removed entries. lastPull is when a sender was
	// last asked for its view.
	asked    int
	lastPull time.Duration
}

// NoteSender records that a datagram of another process came. The caller holds Lock.
func (s *Sync) NoteSender(from netip.Addr) {
	if s.View.RemovalsKnown(s.Now()) {
		return
	}
	s.senders.add(from)
	if !s.View.Usable() {
		s.requestViewFrom(from)
	}
}

func (l *senders) add(from netip.Addr) {
	switch {
	case slices.Contains(l.recent, from):
	case len(l.recent) < maxSenders:
		l.recent = append(l.recent, from)
	default:
		l.recent[l.oldest] = from
		l.oldest = (l.oldest + 1) % maxSenders
	}
}

// requestViewFrom makes FetchFromPeers request a view from a sender, unless the
// platform may still answer or a sender was asked just now. The caller holds Lock.
func (s *Sync) requestViewFrom(from netip.Addr) {
	now := s.Now()
	if s.FirstStart || now < senderPullDelay || now-s.senders.lastPull < senderPullInterval {
		return
	}
	s.senders.lastPull = now
	select {
	// Any version is newer than none.
	case s.hints <- hint{netip.AddrPortFrom(from, s.PeerPort), fleet.Progress{Version: 1}}:
	default:
		// A fetch is pending.
	}
}

// askSender asks one sender for removed entries, each in turn, unless all are known.
// What it tells is used, but what it does not know says nothing about the agents.
func (s *Sync) askSender(ctx context.Context) {
	from, ok := s.nextSender()
	if !ok || s.removalsKnown() {
		return
	}
	if _, err := s.pullRemovals(ctx, from); err != nil {
		s.Log.Debug("sender does not tell which entries were removed", telemetry.Peer(from.String()), zap.Error(err))
	}
}

// nextSender returns the next sender to ask and whether there is one.
func (s *Sync) nextSender() (from netip.AddrPort, ok bool) {
	s.Lock.Lock()
	defer s.Lock.Unlock()
	recent := s.senders.recent
	if len(recent) == 0 {
		return from, false
	}
	a := recent[s.senders.asked%len(recent)]
	s.senders.asked++
	return netip.AddrPortFrom(a, s.PeerPort), true
}
