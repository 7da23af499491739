package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"trefoilweir.example/core/returnpath"
)

// balancerSet tracks the balancers that can carry the agent's responses. It is
// safe for concurrent use.
type balancerSet struct {
	mu  sync.Mutex
	set *returnpath.Set
	// lastSent is when the last response was sent.
	lastSent time.Duration
}

func newBalancerSet() *balancerSet {
	return &balancerSet{set: returnpath.New(returnpath.Limits{})}
}

func (b *balancerSet) recordHeard(now time.Duration, from netip.AddrPort, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Heard(now, from, leaving)
}

// next selects the balancer for a response. An agent that has received only
// redirected datagrams has not yet heard from a balancer, so next picks a
// random one of listed.
func (b *balancerSet) next(now time.Duration, listed []netip.AddrPort) (netip.AddrPort, bool) {
	b.mu.Lock()
	to, ok := b.set.Next(now)
	b.lastSent = now
	b.mu.Unlock()
	if !ok && len(listed) > 0 {
		return listed[rand.IntN(len(listed))], true
	}
	return to, ok
}

// duePings returns the balancers to ping now. The caller owns the result.
func (b *balancerSet) duePings(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]netip.AddrPort(nil), b.set.Pings(now)...)
}

// idle reports whether the last response was sent so long ago that no ping is
// due.
func (b *balancerSet) idle(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now-b.lastSent > returnpath.DefaultIdleTimeout
}

func (b *balancerSet) resumed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Resumed(now)
}

func (b *balancerSet) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set.Len()
}
