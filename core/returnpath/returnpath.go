// Package returnpath selects the balancer that forwards an agent's next response
// datagram. The agent hears from a balancer when it receives a datagram from
// it. It sends responses to balancers that it heard from recently and that are
// not leaving (stopping as planned). Responses therefore get through after the
// loss of any balancer, without a list of balancers and without a shared view.
//
// The package is pure: it has no clock and no I/O. A Set is not safe for
// concurrent use.
//
// Invariants:
//   - Next returns a usable balancer whenever there is one: it is not leaving
//     and was heard from within Limits.AliveTimeout. Otherwise Next returns the
//     balancer heard from most recently.
//   - Next returns false only if no balancer was ever heard from.
//   - A Set stores at most Limits.Max balancers, and never removes the one heard
//     from most recently.
package returnpath

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"
	"time"
)

// Limits bound a Set. A zero field takes its default.
type Limits struct {
	// AliveTimeout is how long a balancer counts as alive after a datagram from
	// it. Default 250 ms.
	AliveTimeout time.Duration
	// Spread is the number of balancers that share the responses. Default 4.
	Spread int
	// IdleTimeout is how long the agent sends pings after its last response
	// datagram. Default 500 ms.
	IdleTimeout time.Duration
	// PingEvery is the interval between rounds of pings. Default 100 ms.
	PingEvery time.Duration
	// PingMax is the maximum number of balancers pinged in one round: those in
	// use and spares. Default 6, which is under 6 KB/s in each direction with
	// IP and UDP headers. Pings to every balancer of a large region would
	// exceed the budget for control traffic.
	PingMax int
	// LeavingHold is how long a balancer stays excluded after a datagram with
	// the Leaving flag, even if a datagram without the flag follows. A
	// reordered datagram must not re-enable a balancer that is stopping.
	// Default 1 s.
	LeavingHold time.Duration
	// Max is the maximum number of stored balancers. Default 4096.
	Max int
}

// The defaults of Limits.
const (
	DefaultAliveTimeout = 250 * time.Millisecond
	DefaultSpread       = 4
	DefaultIdleTimeout  = 500 * time.Millisecond
	DefaultPingEvery    = 100 * time.Millisecond
	DefaultPingMax      = 6
	DefaultLeavingHold  = time.Second
	DefaultMax          = 4096
)

func (l Limits) withDefaults() Limits {
	l.AliveTimeout = cmp.Or(l.AliveTimeout, DefaultAliveTimeout)
	l.Spread = cmp.Or(l.Spread, DefaultSpread)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, DefaultIdleTimeout)
	l.PingEvery = cmp.Or(l.PingEvery, DefaultPingEvery)
	l.PingMax = cmp.Or(l.PingMax, DefaultPingMax)
	l.LeavingHold = cmp.Or(l.LeavingHold, DefaultLeavingHold)
	l.Max = cmp.Or(l.Max, DefaultMax)
	return l
}

type entry struct {
	addr    netip.AddrPort
	heard   time.Duration
	epoch   uint64
	leaving bool
	// leavingSeen is when the Leaving flag was last received.
	leavingSeen time.Duration
	// inRotation reports that the entry is in Set.rotation.
	inRotation bool
}

// Set is an agent's view of its balancers.
type Set struct {
	limits  Limits
	entries map[netip.AddrPort]*list.Element
	// recent holds every entry, ordered from the one heard from most recently.
	recent *list.List
	// rotation holds the balancers of the round robin, at most Limits.Spread.
	// After each call of refreshRotation, it holds only usable balancers, and
	// every usable one unless it is full.
	rotation []*entry
	cursor   int
	// refill reports that an entry of the rotation was removed from the Set.
	refill bool
	// epoch counts pauses of the process. A datagram received in an earlier
	// epoch does not show that its balancer is alive.
	epoch uint64

	now          time.Duration
	lastResponse optionalTime
	lastPing     optionalTime
	batch        []netip.AddrPort
}

// optionalTime is a time that may be unset.
type optionalTime struct {
	at  time.Duration
	set bool
}

// New returns an empty Set.
func New(limits Limits) *Set {
	return &Set{
		limits:  limits.withDefaults(),
		entries: make(map[netip.AddrPort]*list.Element),
		recent:  list.New(),
	}
}

// Heard records an authenticated datagram from a balancer.
func (s *Set) Heard(now time.Duration, balancer netip.AddrPort, leaving bool) {
	s.advance(now)
	e := s.touch(balancer)
	e.heard, e.epoch = s.now, s.epoch
	if leaving {
		e.leaving, e.leavingSeen = true, s.now
	} else if e.leaving && s.now-e.leavingSeen > s.limits.LeavingHold {
		e.leaving = false
	}
	s.addToRotation(e)
}

// Next returns the balancer for the next response datagram, and false if no
// balancer was heard from yet. A call counts as sending a response.
func (s *Set) Next(now time.Duration) (netip.AddrPort, bool) {
	s.advance(now)
	s.lastResponse = optionalTime{s.now, true}
	s.refreshRotation()
	if len(s.rotation) == 0 {
		front := s.recent.Front()
		if front == nil {
			return netip.AddrPort{}, false
		}
		return front.Value.(*entry).addr, true
	}
	if s.cursor >= len(s.rotation) {
		s.cursor = 0
	}
	e := s.rotation[s.cursor]
	s.cursor++
	return e.addr, true
}

// Pings returns the balancers to ping now. Call it on every tick. It returns none
// while the agent is idle and before the ping interval has passed. Balancers
// heard from within half an interval need no ping.
//
// Pings also returns none while datagrams of callers alone show that enough
// balancers are alive: one of those replaces a balancer in use that becomes
// silent. An agent with many flows through many balancers therefore sends no
// pings.
//
// Balancers in use are pinged first. The rest of PingMax is for the balancers
// heard from most recently, so that replacements are known to be alive when one
// in use is lost. The result is valid until the next call.
func (s *Set) Pings(now time.Duration) []netip.AddrPort {
	s.advance(now)
	if !s.lastResponse.set || s.now-s.lastResponse.at > s.limits.IdleTimeout {
		return nil
	}
	if s.lastPing.set && s.now-s.lastPing.at < s.limits.PingEvery {
		return nil
	}
	s.lastPing = optionalTime{s.now, true}
	s.refreshRotation()
	s.batch = s.batch[:0]
	if s.trafficSuffices() {
		return nil
	}
	budget := s.limits.PingMax
	for _, e := range s.rotation {
		s.addPing(e, &budget)
	}
	for el := s.recent.Front(); el != nil && budget > 0; el = el.Next() {
		if e := el.Value.(*entry); !e.inRotation && !e.leaving {
			s.addPing(e, &budget)
		}
	}
	return s.batch
}

// trafficSuffices reports whether at least Limits.Spread balancers that are not
// leaving were heard from within half a ping interval. A Pong of the previous
// round is older than that, so answers to pings alone do not suppress pings.
func (s *Set) trafficSuffices() bool {
	heard := 0
	for el := s.recent.Front(); el != nil && heard < s.limits.Spread; el = el.Next() {
		e := el.Value.(*entry)
		if e.epoch != s.epoch || s.now-e.heard >= s.limits.PingEvery/2 {
			break
		}
		if !e.leaving {
			heard++
		}
	}
	return heard >= s.limits.Spread
}

// addPing takes one ping from the budget for a balancer, even if the balancer was
// heard from so recently that it needs none.
func (s *Set) addPing(e *entry, budget *int) {
	if *budget == 0 {
		return
	}
	*budget--
	if e.epoch != s.epoch || s.now-e.heard >= s.limits.PingEvery/2 {
		s.batch = append(s.batch, e.addr)
	}
}

// Resumed records that the process was paused. No balancer counts as alive until
// it is heard from again. If the agent ever sent a response, the next call of
// Pings returns balancers to ping at once.
func (s *Set) Resumed(now time.Duration) {
	s.advance(now)
	s.epoch++
	s.lastResponse.at = s.now
	s.lastPing = optionalTime{}
}

// Len returns the number of stored balancers.
func (s *Set) Len() int { return s.recent.Len() }

func (s *Set) advance(now time.Duration) { s.now = max(s.now, now) }

// touch moves the entry of a balancer to the front of the list. It adds a new
// balancer, and removes the last one of a full list to make room.
func (s *Set) touch(balancer netip.AddrPort) *entry {
	if el := s.entries[balancer]; el != nil {
		s.recent.MoveToFront(el)
		return el.Value.(*entry)
	}
	e := &entry{addr: balancer}
	if s.recent.Len() >= s.limits.Max {
		s.remove(s.recent.Back())
	}
	s.entries[balancer] = s.recent.PushFront(e)
	return e
}

func (s *Set) remove(el *list.Element) {
	e := el.Value.(*entry)
	if i := slices.Index(s.rotation, e); i >= 0 {
		s.rotation = slices.Delete(s.rotation, i, i+1)
		s.refill = true
	}
	delete(s.entries, e.addr)
	s.recent.Remove(el)
}

func (s *Set) alive(e *entry) bool {
	return e.epoch == s.epoch && s.now-e.heard <= s.limits.AliveTimeout
}

func (s *Set) addToRotation(e *entry) {
	if !e.inRotation && !e.leaving && len(s.rotation) < s.limits.Spread {
		e.inRotation = true
		s.rotation = append(s.rotation, e)
	}
}

// refreshRotation removes silent and leaving balancers from the rotation, and
// refills it with usable ones.
func (s *Set) refreshRotation() {
	kept := s.rotation[:0]
	for _, e := range s.rotation {
		if e.inRotation = s.alive(e) && !e.leaving; e.inRotation {
			kept = append(kept, e)
		}
	}
	refill := s.refill || len(kept) < len(s.rotation)
	clear(s.rotation[len(kept):])
	s.rotation, s.refill = kept, false
	if !refill {
		return
	}
	// The list is ordered by time, so every balancer after the first silent
	// one is silent too.
	for el := s.recent.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if !s.alive(e) || len(s.rotation) == s.limits.Spread {
			return
		}
		s.addToRotation(e)
	}
}
