package placement

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7101)
}

func targets(n int) []Target {
	out := make([]Target, n)
	for i := range out {
		out[i] = Target{agent(i), float64(1 + i%4)}
	}
	return out
}

func dcid(i int) []byte { return binary.BigEndian.AppendUint64(nil, uint64(i)) }

// TestRankIsStable guards against balancers that choose different agents for one
// first flight because they hold the targets in another order or lack a target.
func TestRankIsStable(t *testing.T) {
	all := targets(16)
	r := rand.New(rand.NewPCG(1, 2))
	for i := range 500 {
		want := Rank(nil, 7, dcid(i), all, 16)
		assert.Equal(t, len(want), 16)
		shuffled := slices.Clone(all)
		r.Shuffle(len(shuffled), func(a, b int) { shuffled[a], shuffled[b] = shuffled[b], shuffled[a] })
		assert.Assert(t, slices.Equal(Rank(nil, 7, dcid(i), shuffled, 16), want))
		assert.Assert(t, slices.Equal(Rank(nil, 7, dcid(i), all, 3), want[:3]))
		gone := slices.DeleteFunc(shuffled, func(x Target) bool { return x.Agent == want[1] })
		assert.Assert(t, slices.Equal(Rank(nil, 7, dcid(i), gone, 2), []netip.AddrPort{want[0], want[2]}))
	}
}

// TestRankFollowsWeights guards against shares of new flows that differ from the
// weights, and against the same order of targets for every service.
func TestRankFollowsWeights(t *testing.T) {
	all := targets(10)
	total := 0.0
	for _, x := range all {
		total += x.Weight
	}
	const flows = 40000
	count := map[netip.AddrPort]float64{}
	differ := 0
	for i := range flows {
		first := Rank(nil, 1, dcid(i), all, 1)[0]
		count[first]++
		if Rank(nil, 2, dcid(i), all, 1)[0] != first {
			differ++
		}
	}
	for _, x := range all {
		p := x.Weight / total
		sigma := math.Sqrt(flows * p * (1 - p))
		assert.Assert(t, math.Abs(count[x.Agent]-flows*p) < 5*sigma, "%v: %v, want %v", x.Agent, count[x.Agent], flows*p)
	}
	assert.Assert(t, differ > flows/2)
}

// TestRankLimits guards against candidates without a usable weight and against
// more candidates than the limits allow.
func TestRankLimits(t *testing.T) {
	odd := []Target{{agent(1), 0}, {agent(2), -1}, {agent(3), math.NaN()}, {agent(4), math.Inf(1)}, {agent(5), 1}}
	assert.DeepEqual(t, len(Rank(nil, 1, dcid(1), odd, 9)), 1)
	assert.Equal(t, len(Rank(nil, 1, nil, targets(40), 99)), MaxCandidates)
	assert.Equal(t, len(Rank(nil, 1, make([]byte, 300), nil, 3)), 0)
	assert.Equal(t, len(Rank(nil, 1, nil, targets(3), -1)), 0)
}

// TestRankDoesNotAllocate guards against an allocation for each new flow.
func TestRankDoesNotAllocate(t *testing.T) {
	all, id := targets(16), dcid(9)
	dst := make([]netip.AddrPort, 0, 4)
	assert.Equal(t, testing.AllocsPerRun(100, func() { dst = Rank(dst, 1, id, all, 4) }), 0.0)
}

func BenchmarkRank16(b *testing.B) {
	all, id := targets(16), dcid(9)
	dst := make([]netip.AddrPort, 0, 4)
	b.ReportAllocs()
	for b.Loop() {
		dst = Rank(dst, 1, id, all, 4)
	}
}

func choose(t *testing.T, h *Health, now time.Duration, c ...netip.AddrPort) (agent, probe netip.AddrPort) {
	t.Helper()
	agent, probe, ok := h.Choose(now, c)
	assert.Assert(t, ok)
	return agent, probe
}

// run ticks every 100 ms, so that no pause is detected, and returns the number of
// pings.
func run(h *Health, from, to time.Duration) (pings int) {
	for now := from; now <= to; now += 100 * ms {
		pings += len(h.Tick(now))
	}
	return pings
}

// TestSuspect guards against new flows that are sent to a dead agent, and against
// an agent that is suspect before it had time to answer.
func TestSuspect(t *testing.T) {
	a, b := agent(1), agent(2)
	h := NewHealth(HealthLimits{})
	run(h, 0, 10000*ms)
	for range 5 {
		h.EchoSent(10000*ms, 7, a)
	}
	assert.Assert(t, !h.Suspect(10010*ms, a), "the agent is suspect before it had time to answer")
	run(h, 10100*ms, 10300*ms)
	got, probe := choose(t, h, 10300*ms, a, b)
	assert.Equal(t, got, b)
	assert.Equal(t, probe, a, "the excluded agent must be probed")
	_, probe = choose(t, h, 10301*ms, a, b)
	assert.Assert(t, !probe.IsValid(), "the agent is probed twice within 1 s")
	got, _ = choose(t, h, 10302*ms, a)
	assert.Equal(t, got, a, "a suspect agent must be chosen if every candidate is suspect")
	h.Heard(10310*ms, a, false)
	got, _ = choose(t, h, 10310*ms, a, b)
	assert.Equal(t, got, a)
	_, _, ok := h.Choose(10310*ms, nil)
	assert.Assert(t, !ok)
}

// TestOneUnansweredEchoIsConfirmed guards against slow detection of a dead agent
// with few new flows. One lost echo must make the agent suspect in under 1 s.
func TestOneUnansweredEchoIsConfirmed(t *testing.T) {
	h := NewHealth(HealthLimits{})
	h.EchoSent(0, 7, agent(1))
	assert.Equal(t, run(h, 0, 900*ms), 2)
	assert.Assert(t, h.Suspect(900*ms, agent(1)))
}

// TestPauseClearsSuspicion guards against a balancer that suspects every agent
// when it resumes after a pause.
func TestPauseClearsSuspicion(t *testing.T) {
	h := NewHealth(HealthLimits{})
	for range 3 {
		h.EchoSent(0, 7, agent(1))
		h.EchoSent(0, 7, agent(2))
	}
	run(h, 0, 400*ms)
	assert.Assert(t, h.Suspect(400*ms, agent(1)))
	got, _ := choose(t, h, 1401*ms, agent(1), agent(2))
	assert.Equal(t, got, agent(1), "the choice used counts from before the pause")
	assert.Equal(t, len(h.Tick(1401*ms)), 0)
}

// TestDraining guards against new flows to an agent that reports that it is
// draining, and against an agent that stays excluded after the drain.
func TestDraining(t *testing.T) {
	a, b := agent(1), agent(2)
	h := NewHealth(HealthLimits{})
	h.Heard(0, a, true)
	assert.Equal(t, len(h.Status(0)), 0, "an agent that was never chosen uses memory")
	h.EchoSent(0, 7, a)
	h.Heard(ms, a, true)
	got, probe := choose(t, h, 2*ms, a, b)
	assert.Equal(t, got, b)
	assert.Equal(t, probe, a)
	h.Heard(3*ms, a, false)
	got, _ = choose(t, h, 4*ms, a, b)
	assert.Equal(t, got, a)
	h.Retain(func(x netip.AddrPort) bool { return x != a })
	assert.Equal(t, len(h.Status(4*ms)), 0)
}
