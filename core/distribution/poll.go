package distribution

import (
	"time"

	"trefoilweir.example/core/config"
)

func (m *Machine) startPoll(now time.Duration) {
	if !m.started || m.polling || now < m.pollAfter || !m.listed {
		return
	}
	m.pollID++
	m.polling, m.pollFrom, m.pollSince = true, m.pollOrigin(), now
	m.emit(Poll{ID: m.pollID, From: m.pollFrom, Have: m.have()})
}

func (m *Machine) polled(now time.Duration, ev Polled) {
	m.seen(ev.From, ev.Head)
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling, m.pollOK, m.pollFails, m.pollAfter = false, now, 0, now
	if config.HeadLess(m.have(), ev.Head) || now-m.pollSince >= minPoll {
		m.emptyPolls = 0
		return
	}
	if m.emptyPolls++; m.emptyPolls > freePolls {
		m.pollAfter = now + minPoll
	}
}

func (m *Machine) pollFailed(now time.Duration, ev PollFailed) {
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling = false
	m.parent++
	m.pollFails++
	m.pollAfter = now
	// The second parent is tried at once. After both, random peers show
	// whether there is a change, without waiting for the next exchange.
	if m.place.Reader || m.pollFails%2 == 0 {
		m.pollAfter = now + m.backoff()
		m.askPeers(2)
	}
}

// backoff doubles with each failure, with a jitter of one half, so that the
// children of a failed parent do not return together.
func (m *Machine) backoff() time.Duration {
	d := min(minBackoff<<min(m.pollFails, 10), maxBackoff)
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// pollOrigin returns whom to poll.
func (m *Machine) pollOrigin() Source {
	if len(m.place.Parents) == 0 {
		return Platform
	}
	return m.place.Parents[m.parent%len(m.place.Parents)]
}
