package agent

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// redirectTTL is how long the agent chosen for a first flight is
	// remembered. A caller repeats its first flight within a few seconds.
	redirectTTL = 10 * time.Second
	// maxRedirects limits the remembered flights. At 1,000 new flows per second
	// and agent, they cover 10 s.
	maxRedirects = 10_000
	// maxConnectionIDLen is the length of the longest connection ID of QUIC
	// version 1, in bytes.
	maxConnectionIDLen = 20
)

type flightID struct {
	length uint8
	bytes  [maxConnectionIDLen]byte
}

// redirectCache remembers which agent takes a first flight, by the destination
// connection ID of its packets. All datagrams of a flight then go to the same
// agent. The zero address stands for this agent. A redirectCache is safe for
// concurrent use.
type redirectCache struct {
	mu      sync.Mutex
	choices map[flightID]netip.AddrPort
	// order lists the remembered flights, oldest first.
	order []redirectEntry
}

type redirectEntry struct {
	id flightID
	at time.Duration
}

func newRedirectCache() *redirectCache {
	return &redirectCache{choices: make(map[flightID]netip.AddrPort)}
}

// choose returns the agent that is remembered for the flight. If there is none,
// it calls decide and remembers the result.
func (r *redirectCache) choose(now time.Duration, destination []byte, decide func() netip.AddrPort) netip.AddrPort {
	id := flightID{length: uint8(min(len(destination), maxConnectionIDLen))}
	copy(id.bytes[:], destination)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if choice, ok := r.choices[id]; ok {
		return choice
	}
	choice := decide()
	r.choices[id] = choice
	r.order = append(r.order, redirectEntry{id, now})
	return choice
}

func (r *redirectCache) expire(now time.Duration) {
	expired := 0
	for expired < len(r.order) && (now-r.order[expired].at > redirectTTL || len(r.order)-expired >= maxRedirects) {
		delete(r.choices, r.order[expired].id)
		expired++
	}
	r.order = r.order[expired:]
}
