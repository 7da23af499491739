package packetplane

import (
	"net/netip"
	"time"
)

const (
	// childTimeout is the time without a request after which a child may have
	// restarted. A child sends requests to each of two parents in turn.
	childTimeout = 1300 * time.Millisecond
	// childRetention is how long a child without requests is remembered.
	childRetention = 30 * time.Second
	// childNotifyInterval is the time between heartbeats to silent children.
	childNotifyInterval = 500 * time.Millisecond
	// maxChildren bounds the number of children that are remembered.
	maxChildren = 64
)

// children are the processes that request the age of this process's view. A
// child that has fallen silent gets heartbeats with the revision for a while: if
// it restarted and cannot reach the platform, it learns from them which process
// has a view to fetch.
type children struct {
	lastRequest  map[netip.Addr]time.Duration
	lastNotified time.Duration
}

func newChildren() children { return children{lastRequest: map[netip.Addr]time.Duration{}} }

// recordRequest records a request of a child.
func (c *children) recordRequest(now time.Duration, from netip.Addr) {
	if _, known := c.lastRequest[from]; known || len(c.lastRequest) < maxChildren {
		c.lastRequest[from] = now
	}
}

// active returns the children that sent a request within childTimeout.
func (c *children) active(now time.Duration) (to []netip.Addr) {
	for child, requested := range c.lastRequest {
		if now-requested <= childTimeout {
			to = append(to, child)
		}
	}
	return to
}

// silentDue returns the silent children that are due a heartbeat, and removes
// those whose retention has passed.
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
