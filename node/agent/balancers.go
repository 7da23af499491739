package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"trefoilweir.example/core/returnpath"
)

// balancers is the agent's view of the balancers that carry its responses. It
// is safe for concurrent use.
type balancers struct {
	mu  sync.Mutex
	set *returnpath.Set
	// sent is when the last response was sent.
	sent time.Duration
}

func newBalancers() *balancers {
	return &balancers{set: returnpath.New(returnpath.Limits{})}
}

func (b *balancers) heard(now time.Duration, from netip.AddrPort, leaving bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Heard(now, from, leaving)
}

// next selects the balancer for a response. An agent that has only received
// redirected datagrams knows no balancer yet and takes one of the VM list.
func (b *balancers) next(now time.Duration, listed []netip.AddrPort) (netip.AddrPort, bool) {
	b.mu.Lock()
	to, ok := b.set.Next(now)
	b.sent = now
	b.mu.Unlock()
	if !ok && len(listed) > 0 {
		return listed[rand.IntN(len(listed))], true
	}
	return to, ok
}

// pings returns the balancers to ping now. The caller owns the result.
func (b *balancers) pings(now time.Duration) []netip.AddrPort {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]netip.AddrPort(nil), b.set.Pings(now)...)
}

// idle says that no response was sent for so long that no ping is due.
func (b *balancers) idle(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now-b.sent > returnpath.DefaultIdleTimeout
}

func (b *balancers) resumed(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.set.Resumed(now)
}

func (b *balancers) known() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.set.Len()
}
