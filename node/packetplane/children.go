package packetplane

import (
	"net/netip"
	"time"
)

const (
	// childSilent is the silence after which a process that asked for the age
	// of the view may have restarted. It asks each of two parents in turn.
	childSilent = 1300 * time.Millisecond
	// childFor is how long a silent process is remembered.
	childFor = 30 * time.Second
	// childEvery is the time between two words to silent processes.
	childEvery = 500 * time.Millisecond
	// maxChildren bounds the processes that are remembered.
	maxChildren = 64
)

// children are the processes that ask this one for the age of its view. One
// that has fallen silent is told the revision for a while: if it restarted and
// cannot reach the platform, it learns from that whom to ask for the view.
type children struct {
	heard map[netip.Addr]time.Duration
	told  time.Duration
}

func newChildren() children { return children{heard: map[netip.Addr]time.Duration{}} }

// asked notes a question.
func (c *children) asked(now time.Duration, from netip.Addr) {
	if _, known := c.heard[from]; known || len(c.heard) < maxChildren {
		c.heard[from] = now
	}
}

// present returns the processes that have asked lately.
func (c *children) present(now time.Duration) (to []netip.Addr) {
	for child, heard := range c.heard {
		if now-heard <= childSilent {
			to = append(to, child)
		}
	}
	return to
}

// silent returns the processes to be told now.
func (c *children) silent(now time.Duration) (to []netip.Addr) {
	if now-c.told < childEvery {
		return nil
	}
	c.told = now
	for child, heard := range c.heard {
		switch quiet := now - heard; {
		case quiet > childFor:
			delete(c.heard, child)
		case quiet > childSilent:
			to = append(to, child)
		}
	}
	return to
}
