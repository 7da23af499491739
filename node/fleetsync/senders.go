package fleetsync

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
)

const (
	// maxSenders bounds the processes that are kept in place of listed agents.
	maxSenders = 4
	// senderPullDelay is how long after its start a process without a view begins to
	// request one from processes that send it packets: the platform answers sooner
	// unless it is disturbed. senderPullInterval is the time between two requests.
	senderPullDelay    = hedgeDelay
	senderPullInterval = 100 * time.Millisecond
)

// senders has the processes from which datagrams came while the view listed no other
// agent. A process that starts in an outage of the platform, or right after one in
// which all entries have lapsed, knows no other process, but those that send it
// packets know who runs.
type senders struct {
	// recent has the senders, the latest last.
	recent []netip.Addr
	// lastPull is when a sender was last asked for its view.
	lastPull time.Duration
}

// NoteSender records that a datagram of another process came. The caller holds Lock.
func (s *Sync) NoteSender(from netip.Addr) {
	if len(s.View.Agents()) > 1 {
		return
	}
	recent := slices.DeleteFunc(s.senders.recent, func(a netip.Addr) bool { return a == from })
	recent = append(recent, from)
	s.senders.recent = recent[max(0, len(recent)-maxSenders):]
	if !s.View.Usable() {
		s.requestViewFrom(from)
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
