package packetplane

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restarted balancer that finds no process to fetch a view from
// while the platform refuses its calls.
func TestSilentChildrenAreNotified(t *testing.T) {
	c := newChildren()
	requesting, restarted := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	c.recordRequest(0, requesting)
	c.recordRequest(0, restarted)
	var notified []time.Duration
	const step = 100 * time.Millisecond
	for now := step; now <= childRetention+time.Second; now += step {
		if now%(4*step) == 0 {
			c.recordRequest(now, requesting)
		}
		for _, to := range c.silentDue(now) {
			assert.Equal(t, to, restarted)
			notified = append(notified, now)
		}
	}
	assert.Assert(t, notified[0] <= childTimeout+childNotifyInterval)
	assert.Assert(t, notified[1]-notified[0] >= childNotifyInterval)
	assert.Assert(t, notified[len(notified)-1] <= childRetention)
	assert.Equal(t, len(c.lastRequest), 1)
}

// Guards against a table that grows with every process that ever sent a request.
func TestChildrenAreBounded(t *testing.T) {
	c := newChildren()
	for n := range 2 * maxChildren {
		c.recordRequest(0, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	assert.Equal(t, len(c.lastRequest), maxChildren)
}

// Guards against announcing a change to processes that now send their requests
// to other parents.
func TestActiveChildren(t *testing.T) {
	c := newChildren()
	gone, requesting := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	c.recordRequest(0, gone)
	c.recordRequest(childTimeout, requesting)
	active := c.active(childTimeout + 1)
	assert.Equal(t, len(active), 1)
	assert.Equal(t, active[0], requesting)
}
