package returnpath

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 7000)
}

func next(t *testing.T, s *Set, now time.Duration) netip.AddrPort {
	t.Helper()
	got, ok := s.Next(now)
	assert.Assert(t, ok)
	return got
}

// Guards against sending responses to a balancer that has failed or is
// stopping.
func TestNextPrefersFreshAndStaying(t *testing.T) {
	s := New(Limits{})
	_, ok := s.Next(0)
	assert.Assert(t, !ok)

	s.Heard(0, addr(1), false)
	s.Heard(0, addr(2), false)
	first, second := next(t, s, ms), next(t, s, ms)
	assert.Assert(t, first != second, "not in round robin")

	s.Heard(200*ms, addr(2), false)
	assert.Equal(t, next(t, s, 250*ms), addr(1), "a balancer is usable for 250 ms")
	for range 3 {
		assert.Equal(t, next(t, s, 251*ms), addr(2), "silent for over 250 ms")
	}

	s.Heard(300*ms, addr(1), false)
	s.Heard(300*ms, addr(2), true)
	s.Heard(300*ms, addr(2), false)
	for range 3 {
		assert.Equal(t, next(t, s, 300*ms), addr(1), "a reordered datagram re-enabled a leaving balancer")
	}
	assert.Equal(t, next(t, s, 900*ms), addr(2), "without a usable balancer, the one heard from most recently is used")
	s.Heard(1400*ms, addr(2), false)
	s.Heard(1400*ms, addr(2), false)
	assert.Equal(t, next(t, s, 1400*ms), addr(2), "a restarted balancer is used again after LeavingHold")
}

// Guards against a usable balancer that is never selected because the rotation
// was full when it was heard from.
func TestRoundRobinIsRefilled(t *testing.T) {
	s := New(Limits{Spread: 2})
	for i := range 4 {
		s.Heard(0, addr(i), false)
	}
	s.Heard(200*ms, addr(2), false)
	s.Heard(200*ms, addr(3), false)
	seen := map[netip.AddrPort]bool{}
	for range 4 {
		seen[next(t, s, 300*ms)] = true
	}
	assert.Assert(t, len(seen) == 2 && seen[addr(2)] && seen[addr(3)], "%v", seen)
}

// Guards against pings of idle agents, missing pings of busy ones, and more than
// PingMax pings in a round.
func TestPings(t *testing.T) {
	s := New(Limits{PingMax: 5})
	for i := range 10 {
		s.Heard(0, addr(i), i == 0)
	}
	assert.Equal(t, len(s.Pings(100*ms)), 0, "no response was sent")
	next(t, s, 100*ms)
	got := s.Pings(100 * ms)
	assert.Equal(t, len(got), 5)
	assert.Equal(t, len(s.Pings(150*ms)), 0, "before the interval")
	s.Heard(190*ms, addr(1), false)
	assert.Equal(t, len(s.Pings(200*ms)), 4, "heard from 10 ms ago")
	assert.Equal(t, len(s.Pings(601*ms)), 0, "idle for over 500 ms")
}

// Guards against a process that relies on datagrams from before a pause.
func TestResumed(t *testing.T) {
	s := New(Limits{})
	s.Heard(0, addr(1), false)
	s.Heard(0, addr(2), false)
	next(t, s, 0)
	s.Resumed(10 * ms)
	assert.Equal(t, len(s.Pings(10*ms)), 2, "pings are due at once")
	for range 2 {
		assert.Equal(t, next(t, s, 10*ms), addr(2), "no balancer is known to be alive")
	}
	s.Heard(12*ms, addr(1), false)
	for range 2 {
		assert.Equal(t, next(t, s, 12*ms), addr(1))
	}
}

// Guards against memory that grows with the number of balancers ever heard
// from.
func TestBounded(t *testing.T) {
	s := New(Limits{Max: 8})
	for i := range 1000 {
		s.Heard(time.Duration(i), addr(i), false)
	}
	assert.Equal(t, s.Len(), 8)
	assert.Equal(t, next(t, s, time.Hour), addr(999))
}

// Guards against a rotation that stays empty after its only balancer was removed
// from a full Set, although another one is usable.
func TestForgottenBalancerIsReplaced(t *testing.T) {
	s := New(Limits{Max: 2, Spread: 1})
	s.Heard(0, addr(1), false)
	s.Heard(0, addr(2), false)
	s.Heard(0, addr(3), true)
	assert.Equal(t, next(t, s, 0), addr(2))
}

func BenchmarkNext(b *testing.B) {
	s := New(Limits{})
	for i := range 100 {
		s.Heard(0, addr(i), false)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Heard(0, addr(3), false)
		s.Next(0)
	}
}
