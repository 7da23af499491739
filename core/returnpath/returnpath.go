// Package returnpath selects the balancer that carries an agent's next
// response datagram. An agent uses balancers that it heard from recently and
// that are not leaving, so a response survives the loss of any balancer
// without a list of balancers and without a shared view.
//
// The package is pure: it has no clock and no I/O. A Set is not safe for
// concurrent use.
//
// Invariants:
//   - Next returns a balancer that is not leaving and was heard from within
//     Limits.Fresh whenever there is one, and otherwise the balancer heard
//     from most recently.
//   - Next reports false only if nothing was ever heard.
//   - A Set holds at most Limits.Max balancers, and never drops the one heard
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
	// AliveTimeout is how long after a datagram a balancer counts as alive. Default
	// 250 ms.
	AliveTimeout time.Duration
	// Spread is how many balancers share the responses. Default 4.
	Spread int
	// IdleTimeout is how long after a response datagram pings go on. Default
	// 500 ms.
	IdleTimeout time.Duration
	// PingEvery is the interval of pings. Default 100 ms.
	PingEvery time.Duration
	// PingMax is how many balancers are pinged in one round: those in use and
	// spares. Default 6, which is under 6 KB/s in each direction with IP and
	// UDP headers; pinging every balancer of a large region would be over
	// the budget for control traffic.
	PingMax int
	// LeavingHold is how long after a datagram with the Leaving flag the
	// balancer stays excluded, even if a datagram without the flag follows: a
	// reordered datagram must not bring back a balancer that is stopping.
	// Default 1 s.
	LeavingHold time.Duration
	// Max is how many balancers are remembered. Default 4096.
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
	// leavingSeen is when the Leaving flag was last seen.
	leavingSeen time.Duration
	inRotation  bool
}

// Set is an agent's view of its balancers.
type Set struct {
	limits  Limits
	entries map[netip.AddrPort]*list.Element
	// recent holds every entry, the one heard from most recently first.
	recent *list.List
	// rotation holds the balancers in the round robin. Every usable balancer is
	// in it, or it is full, after each call of dropUnusable.
	rotation []*entry
	cursor   int
	// refill says that an entry in the round robin was forgotten.
	refill bool
	// epoch counts pauses. What was heard in an earlier epoch says nothing
	// about the present.
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

// Next returns the balancer for the next response datagram, and false if
// nothing was heard yet. It counts as sending a response.
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

// Pings returns the balancers to ping now. Call it on every tick; it returns
// none while the agent sends no responses or before the interval has passed.
// Balancers heard from within half an interval need no ping, and none is
// pinged while callers' datagrams alone show that enough balancers are alive:
// a balancer in use that falls silent is then replaced by one of those. An
// agent with many flows behind many balancers so sends no pings. The rest of
// the budget goes to the balancers heard from most recently, so that replacements
// are known to be alive when one in use is lost. The result is valid until
// the next call.
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

// trafficSuffices says that as many balancers as share the responses were
// heard from within half a ping interval. A Pong of the last round is older, so
// that answers to pings alone do not stretch the interval.
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

// addPing spends one unit of the budget on a balancer, also if it was heard from
// so recently that it needs no addPing.
func (s *Set) addPing(e *entry, budget *int) {
	if *budget == 0 {
		return
	}
	*budget--
	if e.epoch != s.epoch || s.now-e.heard >= s.limits.PingEvery/2 {
		s.batch = append(s.batch, e.addr)
	}
}

// Resumed tells the Set that the process was paused. No balancer counts as
// alive until it is heard from again, and the next call of Pings asks them if
// the agent ever sent a response.
func (s *Set) Resumed(now time.Duration) {
	s.advance(now)
	s.epoch++
	s.lastResponse.at = s.now
	s.lastPing = optionalTime{}
}

// Len returns how many balancers are remembered.
func (s *Set) Len() int { return s.recent.Len() }

func (s *Set) advance(now time.Duration) { s.now = max(s.now, now) }

// touch moves the entry of a balancer to the front, and makes room for it if
// it is new.
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

// refreshRotation removes balancers from the round robin that are silent or
// leaving, and fills it up again.
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
	// The list is ordered by time, so the scan ends at the first silent one.
	for el := s.recent.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		if !s.alive(e) || len(s.rotation) == s.limits.Spread {
			return
		}
		s.addToRotation(e)
	}
}
