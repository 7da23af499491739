package placement

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRankAgainstSort guards against candidates that differ from the first
// targets of a full sort by score.
func TestRankAgainstSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := targets(rapid.IntRange(0, 40).Draw(t, "targets"))
		id := rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "dcid")
		service := rapid.Uint32().Draw(t, "service")
		n := rapid.IntRange(0, 20).Draw(t, "n")
		got := Rank(nil, service, id, all, n)
		flow := flowHash(service, id)
		slices.SortFunc(all, func(a, b Target) int {
			if score(flow, a.Agent, a.Weight) > score(flow, b.Agent, b.Weight) {
				return -1
			}
			return 1
		})
		if len(got) != min(n, MaxCandidates, len(all)) {
			t.Fatalf("Rank returned %d candidates", len(got))
		}
		for i := range got {
			if got[i] != all[i].Agent {
				t.Fatalf("candidate %d is %v, want %v", i, got[i], all[i].Agent)
			}
		}
	})
}

// naiveAgent records the times of all unanswered echoes.
type naiveAgent struct {
	echoes   []time.Duration
	lastPing time.Duration
	draining bool
}

type naiveHealth map[netip.AddrPort]*naiveAgent

func (n naiveHealth) suspect(now time.Duration, a netip.AddrPort) bool {
	return n[a] != nil && len(n[a].echoes) >= 3 && now >= n[a].echoes[0]+300*ms
}

// choose returns the first agent that is usable, or else the first that is not
// draining, or else the first.
func (n naiveHealth) choose(now time.Duration, candidates []netip.AddrPort) (agent, probe netip.AddrPort) {
	draining := func(a netip.AddrPort) bool { return n[a] != nil && n[a].draining }
	usable := slices.IndexFunc(candidates, func(a netip.AddrPort) bool { return !n.suspect(now, a) && !draining(a) })
	skipped := candidates
	if usable >= 0 {
		skipped = candidates[:usable]
	}
	for _, a := range skipped {
		if !probe.IsValid() && now >= n[a].lastPing+time.Second {
			probe = a
		}
	}
	if usable >= 0 {
		return candidates[usable], probe
	}
	if i := slices.IndexFunc(candidates, func(a netip.AddrPort) bool { return !draining(a) }); i >= 0 {
		return candidates[i], probe
	}
	return candidates[0], probe
}

// TestHealthAgainstNaive guards against a Health that violates its invariants
// when echoes and answers are lost, duplicated or late, or when the process is
// paused.
func TestHealthAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h, n := NewHealth(HealthLimits{}), naiveHealth{}
		var now, lastTick time.Duration
		// A gap of more than 1 s between ticks is a pause of this process.
		detectPause := func() {
			if now-lastTick > time.Second {
				lastTick = now
				for _, a := range n {
					a.echoes = nil
				}
			}
		}
		drawAgent := func(t *rapid.T) netip.AddrPort { return agent(rapid.IntRange(1, 4).Draw(t, "agent")) }
		echoSent := func(a netip.AddrPort) {
			if n[a] == nil {
				n[a] = &naiveAgent{lastPing: now - time.Second}
			}
			n[a].echoes = append(n[a].echoes, now)
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				detectPause()
				for i := range 5 {
					if got, want := h.Suspect(now, agent(i)), n.suspect(now, agent(i)); got != want {
						t.Fatalf("agent %d: suspect %v, want %v", i, got, want)
					}
				}
			},
			"wait": func(t *rapid.T) {
				now += time.Duration(rapid.SampledFrom([]int{1, 50, 99, 100, 300, 999, 1001}).Draw(t, "ms")) * ms
			},
			"echoed": func(t *rapid.T) {
				detectPause()
				a := drawAgent(t)
				h.EchoSent(now, 7, a)
				echoSent(a)
			},
			"heard": func(t *rapid.T) {
				detectPause()
				a, draining := drawAgent(t), rapid.IntRange(0, 4).Draw(t, "draining") == 0
				h.Heard(now, a, draining)
				if n[a] != nil {
					n[a].echoes, n[a].draining = nil, draining
				}
			},
			"tick": func(t *rapid.T) {
				detectPause()
				lastTick = now
				got := map[netip.AddrPort]bool{}
				for _, p := range h.Tick(now) {
					got[p.Agent] = true
				}
				for a, x := range n {
					want := len(x.echoes) > 0 && len(x.echoes) < 3 && now-max(x.echoes[0], x.lastPing) >= 100*ms
					if got[a] != want {
						t.Fatalf("agent %v is pinged: %v, want %v", a, got[a], want)
					}
					if want {
						x.lastPing = now
						echoSent(a)
					}
				}
			},
			"choose": func(t *rapid.T) {
				detectPause()
				candidates := rapid.Permutation([]netip.AddrPort{agent(1), agent(2), agent(3), agent(4)}).Draw(t, "candidates")
				candidates = candidates[:rapid.IntRange(1, 4).Draw(t, "n")]
				got, probe, ok := h.Choose(now, candidates)
				want, wantProbe := n.choose(now, candidates)
				if !ok || got != want || probe != wantProbe {
					t.Fatalf("Choose returned agent %v and probe %v, want %v and %v", got, probe, want, wantProbe)
				}
				if probe.IsValid() {
					n[probe].lastPing = now
					echoSent(probe)
				}
			},
			"retain": func(t *rapid.T) {
				gone := drawAgent(t)
				h.Retain(func(a netip.AddrPort) bool { return a != gone })
				delete(n, gone)
			},
		})
	})
}
