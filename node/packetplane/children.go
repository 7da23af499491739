package packetplane

import (
	"net/netip"
	"time"
)

const (
	// childTimeout is the silence after which a process that asked for the age
	// of the view may have restarted. It asks each of two parents in turn.
	childTimeout = 1300 * time.Millisecond
	// childRetention is how long a silent process is remembered.
	childRetention = 30 * time.Second
	// childNotifyInterval is the time between two words to silent processes.
	childNotifyInterval = 500 * time.Millisecond
	// maxChildren bounds the processes that are remembered.
	maxChildren = 64
)

// children are the processes that ask this one for the age of its view. One
// that has fallen silent is told the revision for a while: if it restarted and
// cannot reach the platform, it learns from that whom to ask for the view.
type children struct {
	lastRequest  map[netip.Addr]time.Duration
	lastNotified time.Duration
}

func newChildren() children { return children{lastRequest: map[netip.Addr]time.Duration{}} }

// recordRequest notes a question.
func (c *children) recordRequest(now time.Duration, from netip.Addr) {
	if _, known := c.lastRequest[from]; known || len(c.lastRequest) < maxChildren {
		c.lastRequest[from] = now
	}
}

// active returns the processes that have asked lately.
func (c *children) active(now time.Duration) (to []netip.Addr) {
	for child, requested := range c.lastRequest {
		if now-requested <= childTimeout {
			to = append(to, child)
		}
	}
	return to
}

// silentDue returns the processes to be told now.
func (c *children) silentDue(now time.Duration) (to []netip.Addr) {
	if now-c.lastNotified < childNotifyInterval {
		return nil
	}
	c.lastNotified = now
	for child, requested := range c.lastRequest {
		switch silence := now - requested; {
		case silence > childRetention:
			delete(c.lastRequest, child)
		case silence > childTimeout:
			to = append(to, child)
		}
	}
	return to
}
