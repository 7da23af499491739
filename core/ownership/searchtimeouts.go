package ownership

import (
	"bytes"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// retrySearches begins further rounds of incomplete searches, in which an agent
// did not answer or a probe was not returned. After an outage agents and targets
// come back one by one, and the caller's next packet may come too late. The order
// is that of the flows, because the first ones of a burst are searched for alone
// and a run in model time must be repeatable.
func (m *Machine) retrySearches(now time.Duration, out *plane.Out) {
	var due []flow.Key
	for key, s := range m.searches {
		if m.retryDue(now, s) {
			due = append(due, key)
		}
	}
	slices.SortFunc(due, func(a, b flow.Key) int { return bytes.Compare(a.Append(nil), b.Append(nil)) })
	for _, key := range due {
		s := m.searches[key]
		p, err := m.Codec.FromCaller(s.raw)
		if err != nil {
			continue
		}
		s.retries++
		s.onlySelfAsked = false
		m.searchAll(now, &p, &relay.Message{Origin: s.origin, Home: m.Self}, s, out)
	}
}

// retryDue reports whether another round of a search is due. A round that began
// without a sufficient view is followed by another as soon as the view is
// sufficient.
func (m *Machine) retryDue(now time.Duration, s *search) bool {
	if !s.done || s.found || s.noOwner || len(s.raw) == 0 || s.retries >= maxSearchRetries {
		return false
	}
	return s.incomplete != "" && m.incompleteReason(now) == "" || now-s.roundStart >= searchRetryDelay<<(s.retries/2)
}

// endCaughtUp ends the searches that waited only for the view to catch up with that
// of a peer.
func (m *Machine) endCaughtUp(now time.Duration, out *plane.Out) {
	for key, s := range m.searches {
		if s.behindPeer && s.done && !s.found && !s.noOwner && !s.peersKnow.AheadOf(m.View.Progress()) {
			m.conclude(now, key, s, out)
		}
	}
}

// checkSearches ends rounds that time out, starts further rounds, and drops old
// results. If an agent of the local data centre does not answer, the round still
// asks the other data centres, because the owner may be there.
func (m *Machine) checkSearches(now time.Duration, out *plane.Out) {
	m.endCaughtUp(now, out)
	m.retrySearches(now, out)
	for key, s := range m.searches {
		if s.batched {
			continue
		}
		m.endDeferral(now, key, s, out)
		if !s.done && !s.remote && now-s.roundStart >= searchTimeout {
			unanswered := len(s.asked)
			m.searchRemote(now, key, s, out)
			if len(s.asked) > unanswered {
				continue
			}
			s.roundStart = now - remoteSearchTimeout
		}
		switch {
		case !s.done && s.remote && now-s.roundStart >= remoteSearchTimeout:
			s.done = true
			m.probeMaybeOwners(now, key, s, out)
		case s.done && now-s.roundStart >= searchResultTTL && s.over(now):
			delete(m.searches, key)
		}
	}
}

// over reports whether nothing of a search is needed any more: neither its
// probes nor what the agent has told others.
func (s *search) over(now time.Duration) bool {
	doubted := s.doubted && now-s.doubtedAt <= doubtTTL
	return s.found || s.noOwner || s.probeCount(now) == 0 && !doubted
}
