package distribution

import (
	"slices"
	"time"

	"trefoilweir.example/core/config"
)

// recordHead records that a source has a head. A head above the current one
// becomes a candidate for a fetch.
func (m *Machine) recordHead(from Source, head config.Head) {
	m.checkConflict(from, head)
	if from == Platform && !head.IsZero() && config.HeadLess(head, m.current) {
		m.emit(Alarm{Kind: AlarmStale, From: from, Head: head})
	}
	if !config.HeadLess(m.current, head) || slices.Contains(m.rejected, head) {
		return
	}
	s := candidate{head, from}
	if slices.Contains(m.candidates, s) || (m.fetching && m.fetch == s) {
		return
	}
	m.candidates = append(m.candidates, s)
	if len(m.candidates) > maxCandidates {
		m.dropLowest()
	}
}

func (m *Machine) dropLowest() {
	lowest := 0
	for i, s := range m.candidates {
		if config.HeadLess(s.head, m.candidates[lowest].head) {
			lowest = i
		}
	}
	m.candidates = slices.Delete(m.candidates, lowest, lowest+1)
}

// checkConflict reports a head with the current version and another hash, once
// per head.
func (m *Machine) checkConflict(from Source, head config.Head) {
	if head.IsZero() || head.Version != m.current.Version || head == m.current || slices.Contains(m.conflicts, head) {
		return
	}
	m.conflicts = appendBounded(m.conflicts, head)
	m.emit(Alarm{Kind: AlarmConflict, From: from, Head: head})
}

func appendBounded(heads []config.Head, head config.Head) []config.Head {
	if len(heads) == maxRejected {
		heads = slices.Delete(heads, 0, 1)
	}
	return append(heads, head)
}

// startFetch fetches the highest candidate. It prefers a peer to the platform,
// whose calls are limited.
func (m *Machine) startFetch(now time.Duration) {
	m.candidates = slices.DeleteFunc(m.candidates, func(s candidate) bool {
		return !config.HeadLess(m.current, s.head) || slices.Contains(m.rejected, s.head)
	})
	if m.fetching || len(m.candidates) == 0 {
		return
	}
	best := m.candidates[0]
	for _, s := range m.candidates[1:] {
		if c := config.CompareHeads(s.head, best.head); c > 0 || (c == 0 && best.from == Platform) {
			best = s
		}
	}
	if best.from == Platform && m.waitsForPeers(now) {
		return
	}
	m.fetching, m.fetch = true, best
	m.emit(Fetch{From: best.from, Head: best.head})
}

// waitsForPeers reports whether a starting process does not fetch from the
// platform yet, but waits for a peer. When a whole fleet starts, the readers
// fetch from the platform and the others from them.
func (m *Machine) waitsForPeers(now time.Duration) bool {
	return !m.ready && !m.position.Reader && now < m.startDeadline
}

func (m *Machine) endFetch(from Source, head config.Head) {
	m.candidates = slices.DeleteFunc(m.candidates, func(s candidate) bool { return s == candidate{head, from} || s == m.fetch })
	m.fetching = false
}

func (m *Machine) fetched(ev Fetched) {
	m.endFetch(ev.From, ev.Head)
	m.checkConflict(ev.From, ev.Head)
	if !config.HeadLess(m.current, ev.Head) {
		return
	}
	m.current = ev.Head
	m.emit(Adopt{Head: ev.Head})
}

func (m *Machine) fetchFailed(now time.Duration, ev FetchFailed) {
	m.endFetch(ev.From, ev.Head)
	// The poll in progress may already have this head as its Have, and would
	// not report it again. Another poll replaces it.
	if m.polling && m.pollFrom == ev.From {
		m.polling, m.nextPoll = false, now+m.backoff()
	}
}

func (m *Machine) invalid(ev Invalid) {
	m.endFetch(ev.From, ev.Head)
	if !slices.Contains(m.rejected, ev.Head) {
		m.rejected = appendBounded(m.rejected, ev.Head)
		m.emit(Alarm{Kind: AlarmInvalid, From: ev.From, Head: ev.Head})
	}
}
