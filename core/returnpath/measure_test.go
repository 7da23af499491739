package returnpath

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// pingsIn counts the pings of ten seconds of an agent that every balancer
// answers. Without traffic, the agent sent its last response at time zero.
func pingsIn(balancers int, traffic bool) int {
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

// Guards against pings that grow with the number of balancers, and reports
// the number that docs/CAPACITY.md uses: PingMax every PingEvery while there
// are responses, and none half a second after the last.
func TestPingsPerSecond(t *testing.T) {
	for _, n := range []int{1, 4, 6, 12, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			busy, idle := pingsIn(n, true), pingsIn(n, false)
			t.Logf("slope: %d balancers: %.1f pings/s with traffic, %d pings in 10 s without", n, float64(busy)/10, idle)
			most := 10 * min(n, DefaultPingMax) * int(time.Second/DefaultPingEvery)
			assert.Assert(t, busy <= most, "%d pings", busy)
			assert.Assert(t, idle <= min(n, DefaultPingMax)*(int(DefaultActive/DefaultPingEvery)+1), "%d pings", idle)
		})
	}
}
