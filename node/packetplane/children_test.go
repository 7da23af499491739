package packetplane

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a restarted balancer that finds nobody to give it a view
// while the platform refuses it.
func TestSilentChildrenAreTold(t *testing.T) {
	c := newChildren()
	asks, restarted := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	c.asked(0, asks)
	c.asked(0, restarted)
	var told []time.Duration
	const step = 100 * time.Millisecond
	for now := step; now <= childFor+time.Second; now += step {
		if now%(4*step) == 0 {
			c.asked(now, asks)
		}
		for _, to := range c.silent(now) {
			assert.Equal(t, to, restarted)
			told = append(told, now)
		}
	}
	assert.Assert(t, told[0] <= childSilent+childEvery)
	assert.Assert(t, told[1]-told[0] >= childEvery)
	assert.Assert(t, told[len(told)-1] <= childFor)
	assert.Equal(t, len(c.heard), 1)
}

// Guards against a table that grows with everybody who ever asked.
func TestChildrenAreBounded(t *testing.T) {
	c := newChildren()
	for n := range 2 * maxChildren {
		c.asked(0, netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}))
	}
	assert.Equal(t, len(c.heard), maxChildren)
}

// Guards against a change that is told to processes which ask others now.
func TestPresentChildren(t *testing.T) {
	c := newChildren()
	gone, asks := netip.MustParseAddr("10.1.0.1"), netip.MustParseAddr("10.1.0.2")
	c.asked(0, gone)
	c.asked(childSilent, asks)
	present := c.present(childSilent + 1)
	assert.Equal(t, len(present), 1)
	assert.Equal(t, present[0], asks)
}
