package returnpath

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countPings returns the number of pings that an agent sends in 10 s if every
// balancer answers them. Without traffic, the agent sent its last response at
// time zero.
func countPings(balancers int, traffic bool) int {
	s := New(Limits{})
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	for i := range balancers {
		s.Heard(0, addr(i), false)
	}
	s.Next(0)
	count := 0
	for now := time.Duration(0); now < 10*time.Second; now += 25 * time.Millisecond {
		if traffic {
			s.Next(now)
		}
		for _, to := range slices.Clone(s.Pings(now)) {
			count++
			s.Heard(now+time.Millisecond, to, false)
		}
	}
	return count
}

// Guards against pings that grow with the number of balancers beyond PingMax
// every PingEvery, and against pings later than 500 ms after the last response.
// Reports the rate of pings, which docs/CAPACITY.md uses.
func TestPingsPerSecond(t *testing.T) {
	for _, n := range []int{1, 4, 6, 12, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			busy, idle := countPings(n, true), countPings(n, false)
			t.Logf("slope: %d balancers: %.1f pings/s with traffic, %d pings in 10 s without", n, float64(busy)/10, idle)
			most := 10 * min(n, DefaultPingMax) * int(time.Second/DefaultPingEvery)
			assert.Assert(t, busy <= most, "%d pings", busy)
			assert.Assert(t, idle <= min(n, DefaultPingMax)*(int(DefaultIdleTimeout/DefaultPingEvery)+1), "%d pings", idle)
		})
	}
}

// Guards against pings when datagrams of callers already show which balancers
// are alive (1,750 flows through 600 balancers, each with a datagram per
// second), and against missing pings when they do not (10 such flows through 3
// balancers). For flows that send only a keep-alive every 15 s, the test checks
// the upper bound and reports the rate of pings.
func TestTrafficReplacesPings(t *testing.T) {
	most := 10 * DefaultPingMax * int(time.Second/DefaultPingEvery)
	for _, c := range []struct{ balancers, perSecond, least, most int }{
		{600, 1750, 0, 0}, {600, 1750 / 15, 0, most}, {3, 10, 100, most / 2},
	} {
		pings := countPingsUnderLoad(c.balancers, c.perSecond)
		t.Logf("slope: %d balancers, %d datagrams/s of callers: %.1f pings/s", c.balancers, c.perSecond, float64(pings)/10)
		assert.Assert(t, pings <= c.most && pings >= c.least, "%d pings in 10 s", pings)
	}
}

// countPingsUnderLoad returns the number of pings in 10 s, after 1 s of warm-up.
// Datagrams of callers arrive as a Poisson process through random balancers, and
// the agent sends a response to each.
func countPingsUnderLoad(balancers, perSecond int) int {
	s := New(Limits{})
	random := rand.New(rand.NewPCG(1, 0))
	pings, next := 0, time.Duration(0)
	for now := time.Duration(0); now < 11*time.Second; now += time.Millisecond {
		for ; next <= now; next += time.Duration(random.ExpFloat64() / float64(perSecond) * float64(time.Second)) {
			s.Heard(now, addr(random.IntN(balancers)), false)
			s.Next(now)
		}
		if now%(25*ms) != 0 {
			continue
		}
		for _, to := range slices.Clone(s.Pings(now)) {
			s.Heard(now, to, false)
			if now >= time.Second {
				pings++
			}
		}
	}
	return pings
}
