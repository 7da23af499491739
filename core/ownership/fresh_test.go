package ownership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// Guards against a storm of probes after the loss of all VMs, and against an
// agent that denies flows of its target because the time of day jumped between
// their starts. In the storm no restarted agent knew what its target held, so
// each packet of 1,975 lost flows went to every target of the service.
func TestTargetThatStartedWithItsAgent(t *testing.T) {
	const started = 1_000_000
	for name, c := range map[string]struct {
		startUnixMS   int64
		warmup        int
		listedAtFirst bool
		answer        relay.Kind
	}{
		"with the agent":                             {started - maxStartSkew.Milliseconds(), 1500, false, relay.NotOwner},
		"after the agent":                            {started + 3000, 1500, false, relay.NotOwner},
		"before the agent":                           {started - maxStartSkew.Milliseconds() - 1, 1500, false, relay.MaybeOwner},
		"time of day is off, not warming up":         {started + 5000, 0, false, relay.MaybeOwner},
		"time of day is off, listed before":          {started + 1000, 1500, true, relay.MaybeOwner},
		"long before the agent, still warming up":    {started - 60_000, 100, false, relay.MaybeOwner},
		"start time is missing":                      {0, 1500, false, relay.MaybeOwner},
		"with the agent, but listed before its view": {started - 1, 1500, true, relay.MaybeOwner},
	} {
		t.Run(name, func(t *testing.T) {
			target := fleettest.Target(0, fleet.Ready)
			target.StartUnixMS, target.WarmupMS = c.startUnixMS, c.warmup
			first := fleettest.Target(0, fleet.Ready)
			if c.listedAtFirst {
				first = target
			}
			v := fleettest.View(0, first, fleettest.Target(1, fleet.Ready))
			f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: fleettest.DataCentre, Service: fleettest.Service,
				Target: netip.AddrPortFrom(fleettest.Agent(0), 80), StartedMS: started, Codec: flowtest.Codec{}, View: v})}
			f.advance(10 * time.Millisecond)
			v.Apply(f.now, &fleet.Delta{Revision: fleettest.Revision + 1, Changes: []fleet.Change{{ID: target.ID, Revision: fleettest.Revision + 1, Target: target}}})
			f.advance(10 * time.Millisecond)
			f.balancerSends(relay.Search, flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 5001, Len: 10})
			assert.DeepEqual(t, f.sentKinds(), []relay.Kind{c.answer})
			assert.Equal(t, len(f.out.ToTarget), 0)
		})
	}
}

// Guards against probes for seconds after a loss of all VMs, if the target writes
// its entry before its agent has a view. The entry counts only together with peers
// that have started with the agent too, because the time of day may have jumped.
func TestEntryOfFirstViewCountsIfAllStartedTogether(t *testing.T) {
	const started = 1_000_000
	for name, c := range map[string]struct {
		startUnixMS int64
		warmup      int
		settled     bool
		// others is the remaining warm-up of the two other targets.
		others [2]int
		fresh  bool
	}{
		"all started together":           {started - 20, 1500, true, [2]int{1500, 1400}, true},
		"a peer knows the time before":   {started - 20, 1500, false, [2]int{1500, 1400}, false},
		"target is older":                {started - maxStartSkew.Milliseconds() - 1, 1500, true, [2]int{1500, 1400}, false},
		"target is not warming up":       {started - 20, 0, true, [2]int{1500, 1400}, false},
		"start lies in the future":       {started + 2000, 1500, true, [2]int{1500, 1400}, false},
		"start time of the entry is 0":   {0, 1500, true, [2]int{1500, 1400}, false},
		"target started after its agent": {started + 30, 1500, true, [2]int{1500, 1400}, true},
		"only the processes were killed": {started - 20, 1500, true, [2]int{0, 0}, false},
		"another target lived on":        {started - 20, 1500, true, [2]int{0, 1500}, false},
	} {
		t.Run(name, func(t *testing.T) {
			target := fleettest.Target(0, fleet.Ready)
			target.StartUnixMS, target.WarmupMS = c.startUnixMS, c.warmup
			v := fleet.New()
			f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: fleettest.DataCentre, Service: fleettest.Service,
				Target: netip.AddrPortFrom(fleettest.Agent(0), 80), StartedMS: started, Codec: flowtest.Codec{}, View: v})}
			v.Apply(0, &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1, Changes: []fleet.Change{
				{ID: "a", Revision: 3, Target: target}, {ID: "b", Revision: 4, Target: warming(1, c.others[0])}, {ID: "c", Revision: 5, Target: warming(2, c.others[1])}}})
			f.advance(50 * ms)
			// Peers that started earlier say nothing about the target of this agent,
			// also if they have settled.
			v.AdoptSettledRemovals()
			f.advance(50 * ms)
			assert.Assert(t, f.mayHoldUnknownFlows(f.now))
			if c.settled {
				v.SettleRemovals()
			}
			f.advance(50 * ms)
			assert.Equal(t, f.mayHoldUnknownFlows(f.now), !c.fresh)
			assert.Equal(t, f.Load().Flags&relay.FlagFresh != 0, c.fresh)
		})
	}
}

func warming(n byte, leftMS int) *fleet.Target {
	t := fleettest.Target(n, fleet.Ready)
	t.WarmupMS = leftMS
	return t
}

// Guards against an agent that doubts its target although the VM has just
// started, and against one that trusts a target because it does not know when the
// VM started, or because the VM has run for longer than an agent needs to restart.
func TestAgentThatStartedWithItsVM(t *testing.T) {
	for since, fresh := range map[time.Duration]bool{0: false, ms: true, maxStartSkew: true, maxStartSkew + ms: false} {
		m := New(0, Options{Self: fleettest.Agent(0), Service: fleettest.Service, SinceBoot: since, Codec: flowtest.Codec{}, View: fleet.New()})
		assert.Equal(t, m.mayHoldUnknownFlows(0), !fresh, "%v", since)
		var out plane.Out
		m.Tick(ms, &out)
		m.Tick(2*ms, &out)
		assert.Equal(t, len(out.Events) == 1, fresh, "%v", since)
	}
}

// Guards against an agent that goes on to say that its target may hold a flow,
// because it has said so before it knew that the target is fresh.
func TestFreshTargetEndsDoubt(t *testing.T) {
	f := restartedFixture(t)
	f.balancerSends(relay.Search, unknownPacket)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.MaybeOwner})
	f.recordFresh(f.now, "test", 0, &f.out)
	f.balancerSends(relay.Search, unknownPacket)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})
}

// Guards against an agent that takes its target for new because the agent's
// first view was older than the agent: the target was listed only after that
// view, and had flows before the agent restarted.
func TestFreshTargetNeedsCurrentView(t *testing.T) {
	const started = 1_000_000
	v := fleettest.View(0, fleettest.Target(0, fleet.Ready))
	f := &fixture{T: t, now: time.Second, Machine: New(time.Second, Options{Self: fleettest.Agent(0), DataCentre: fleettest.DataCentre, Service: fleettest.Service,
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), StartedMS: started, Codec: flowtest.Codec{}, View: v})}
	f.advance(10 * time.Millisecond)
	target := fleettest.Target(0, fleet.Ready)
	target.StartUnixMS, target.WarmupMS = started+1000, 1500
	v.Apply(f.now, &fleet.Delta{Revision: fleettest.Revision + 1, Changes: []fleet.Change{{ID: target.ID, Revision: fleettest.Revision + 1, Target: target}}})
	f.advance(10 * time.Millisecond)
	assert.Assert(t, f.mayHoldUnknownFlows(f.now))
}

// Guards against probes after the loss of all VMs, in the order of events that
// the users' platform has: the first view of an agent lists the lost target, and
// the new one registers a moment later. An agent whose first view lists the new
// target costs one probe of each lost flow.
func TestProbesAfterLossOfAllVMs(t *testing.T) {
	const agents, flows, started = 8, 50, 1_000_000
	for _, lateAgents := range []int{0, 1} {
		s := newRestartedFleet(t, func(byte) string { return "dc-0" }, agents)
		s.agents = map[netip.Addr]*Machine{}
		for n := range byte(agents) {
			target := fleettest.Target(n, fleet.Ready)
			target.DataCentre, target.StartUnixMS, target.WarmupMS = "dc-0", started-1, 1500
			v := fleettest.View(0, s.view.Targets(fleettest.Service)...)
			s.agents[target.Agent()] = New(0, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: fleettest.Service,
				Target: target.Address, StartedMS: started, Codec: flowtest.Codec{}, View: v})
			if int(n) >= lateAgents {
				s.agents[target.Agent()].Tick(0, &plane.Out{})
			}
			revision := v.Revision() + 1
			v.Apply(0, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: target.ID, Revision: revision, Target: target}}})
		}
		s.advance(10 * ms)
		for port := range uint16(flows) {
			m := relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Home: fleettest.Agent(byte(port % agents)),
				Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: 5001, Len: 10})}
			s.deliver(balancer, m.Home, m)
		}
		assert.Equal(t, s.resets, flows)
		assert.Equal(t, len(s.misdelivered), lateAgents*flows)
	}
}
