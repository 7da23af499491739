package returnpath

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// naive is the reference model of a Set: a plain list of all balancers that is
// scanned in full. The balancer heard from last is at the end.
type naive struct {
	limits       Limits
	known        []naiveEntry
	lastResponse time.Duration
	lastPing     time.Duration
}

type naiveEntry struct {
	addr               netip.AddrPort
	heard, leavingSeen time.Duration
	leaving, stale     bool
}

func (n *naive) heard(now time.Duration, a netip.AddrPort, leaving bool) {
	e := naiveEntry{addr: a}
	if i := slices.IndexFunc(n.known, func(e naiveEntry) bool { return e.addr == a }); i >= 0 {
		e = n.known[i]
		n.known = slices.Delete(n.known, i, i+1)
	} else if len(n.known) == n.limits.Max {
		n.known = n.known[1:]
	}
	e.heard, e.stale = now, false
	if leaving {
		e.leaving, e.leavingSeen = true, now
	} else if now > e.leavingSeen+n.limits.LeavingHold {
		e.leaving = false
	}
	n.known = append(n.known, e)
}

func (n *naive) usable(now time.Duration) (out []netip.AddrPort) {
	for _, e := range n.known {
		if !e.leaving && !e.stale && e.heard >= now-n.limits.AliveTimeout {
			out = append(out, e.addr)
		}
	}
	return out
}

// TestAgainstNaive guards against a Set that breaks its invariants when datagrams
// are lost, duplicated or reordered, and when the process pauses.
func TestAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Max: rapid.IntRange(2, 8).Draw(t, "max"), Spread: rapid.IntRange(1, 4).Draw(t, "spread")}.withDefaults()
		s, n := New(limits), &naive{limits: limits, lastResponse: -1, lastPing: -time.Hour}
		var now time.Duration
		check := func(t *rapid.T) {
			usable := n.usable(now)
			seen := map[netip.AddrPort]bool{}
			for range limits.Spread {
				got, ok := s.Next(now)
				n.lastResponse = now
				switch {
				case ok != (len(n.known) > 0):
					t.Fatalf("ok %v with %d known", ok, len(n.known))
				case !ok:
				case len(usable) > 0 && !slices.Contains(usable, got):
					t.Fatalf("%v is not usable, %v are", got, usable)
				case len(usable) == 0 && got != n.known[len(n.known)-1].addr:
					t.Fatalf("%v is not the balancer heard from last", got)
				}
				seen[got] = true
			}
			if want := min(limits.Spread, len(usable)); want > 0 && len(seen) != want {
				t.Fatalf("%d balancers share the responses, want %d", len(seen), want)
			}
			if s.Len() != len(n.known) {
				t.Fatalf("%d known, want %d", s.Len(), len(n.known))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"heard": func(t *rapid.T) {
				// A duplicated or reordered datagram is a further call with the
				// flag of an earlier one.
				a := addr(rapid.IntRange(1, 10).Draw(t, "balancer"))
				leaving := rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				s.Heard(now, a, leaving)
				n.heard(now, a, leaving)
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{1, 49, 50, 100, 249, 250, 251, 501, 1001}).Draw(t, "ms")) * ms
			},
			"next": check,
			"resume": func(t *rapid.T) {
				s.Resumed(now)
				for i := range n.known {
					n.known[i].stale = true
				}
				if n.lastResponse >= 0 {
					n.lastResponse = now
				}
				n.lastPing = -time.Hour
			},
			"pings": func(t *rapid.T) {
				got := s.Pings(now)
				due := n.lastResponse >= 0 && now-n.lastResponse <= limits.IdleTimeout && now-n.lastPing >= limits.PingEvery
				if !due {
					if len(got) > 0 {
						t.Fatalf("pings %v are not due", got)
					}
					return
				}
				n.lastPing = now
				var stay, need []netip.AddrPort
				alive := 0
				for _, e := range n.known {
					if !e.leaving {
						stay = append(stay, e.addr)
						if !e.stale && now-e.heard < limits.PingEvery/2 {
							alive++
						}
						if e.stale || now-e.heard >= limits.PingEvery/2 {
							need = append(need, e.addr)
						}
					}
				}
				if alive >= limits.Spread {
					need, stay = nil, nil
				}
				for i, a := range got {
					if !slices.Contains(need, a) || slices.Contains(got[:i], a) {
						t.Fatalf("%v needs no ping: %v", a, got)
					}
				}
				if len(got) > limits.PingMax || len(stay) <= limits.PingMax && len(got) != len(need) {
					t.Fatalf("%d pings for %d balancers, %d of them need one", len(got), len(stay), len(need))
				}
			},
		})
	})
}
