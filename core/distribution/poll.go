package distribution

import (
	"time"

	"trefoilweir.example/core/config"
)

func (m *Machine) startPoll(now time.Duration) {
	if !m.started || m.polling || now < m.nextPoll || !m.haveVMs {
		return
	}
	m.pollID++
	m.polling, m.pollFrom, m.pollSince = true, m.pollSource(), now
	m.emit(Poll{ID: m.pollID, From: m.pollFrom, Have: m.have()})
}

func (m *Machine) polled(now time.Duration, ev Polled) {
	m.recordHead(ev.From, ev.Head)
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling, m.lastPollOK, m.pollFails, m.nextPoll = false, now, 0, now
	if config.HeadLess(m.have(), ev.Head) || now-m.pollSince >= minPollInterval {
		m.emptyPolls = 0
		return
	}
	if m.emptyPolls++; m.emptyPolls > maxEmptyPolls {
		m.nextPoll = now + minPollInterval
	}
}

func (m *Machine) pollFailed(now time.Duration, ev PollFailed) {
	if ev.ID != m.pollID || !m.polling {
		return
	}
	m.polling = false
	m.parentIndex++
	m.pollFails++
	m.nextPoll = now
	// The second parent is polled at once. After both have failed, random peers
	// are queried, so that a change is found before the next exchange.
	if m.position.Reader || m.pollFails%2 == 0 {
		m.nextPoll = now + m.backoff()
		m.queryPeers(2)
	}
}

// backoff returns the wait before the next poll. It doubles with each failure,
// with a jitter of one half, so that the children of a failed parent do not
// retry together.
func (m *Machine) backoff() time.Duration {
	d := min(minBackoff<<min(m.pollFails, 10), maxBackoff)
	return d/2 + time.Duration(m.random.Int64N(int64(d/2)+1))
}

// pollSource returns the source to poll.
func (m *Machine) pollSource() Source {
	if len(m.position.Parents) == 0 {
		return Platform
	}
	return m.position.Parents[m.parentIndex%len(m.position.Parents)]
}
