package ownership

import (
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
)

// incompleteReason returns why the view may lack an agent whose target holds
// flows of the service, or an empty string if it does not.
func (m *Machine) incompleteReason(now time.Duration) string {
	switch {
	case !m.View.Usable():
		return "no_view"
	case m.View.Age(now) > maxSearchViewAge:
		return "old_view"
	case !m.View.RemovalsKnown(now):
		return "removals_not_known"
	}
	return ""
}

// peerAhead reports whether a peer has told of a later view, which may list more
// targets.
func (m *Machine) peerAhead(now time.Duration) bool {
	own := m.View.Progress()
	for _, p := range m.peers {
		if p.everHeard && now-p.lastHeard <= heartbeatTimeout && p.progress.LaterThan(own) {
			return true
		}
	}
	return false
}

// conclude ends a search in which no agent that was asked holds the flow. It
// resets the flow only if every agent that may hold it was asked. Otherwise the
// search goes on.
func (m *Machine) conclude(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	reason := m.incompleteReason(now)
	if reason == "" && m.peerAhead(now) {
		reason = "peer_ahead"
	}
	if reason != "" {
		out.Event(plane.Event{Kind: plane.EventUnresolved, Flow: key, Reason: reason, Value: int64(s.retries), Search: m.searchBasis(now, s)})
		return
	}
	m.resetUnowned(now, s, out)
}
