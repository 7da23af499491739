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

// centres are the data centres of targets 0 to 3 in these tests.
var centres = [...]string{"dc", "dc", "east", "west"}

// drainedFixture is agent 0 in data centre dc, with the targets of centres.
func drainedFixture(t *testing.T) *fixture {
	v := fleet.New()
	v.NothingRemovedBefore(0)
	d := &fleet.Delta{Revision: 100, ConfigRevision: 2, Drains: &fleet.Drains{Revision: 100},
		Config: &fleet.Config{Version: 3, Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: "booking"}}}}
	for n, name := range centres {
		target := fleettest.Target(byte(n), fleet.Ready)
		target.DataCentre = name
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: uint64(3 + n), Target: target})
	}
	v.Apply(0, d)
	f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), FirstStart: true, Codec: flowtest.Codec{}, View: v})}
	f.heartbeats(1, 2, 3)
	return f
}

// drain makes the agent know the requests to drain some data centres.
func (f *fixture) drain(names ...string) {
	s := &fleet.Drains{Revision: f.View.Revision() + 1}
	for _, name := range names {
		s.Requests = append(s.Requests, fleet.DrainRequest{DataCentre: name, Revision: s.Revision})
	}
	f.View.Apply(f.now, &fleet.Delta{Revision: s.Revision, Drains: s})
}

func (f *fixture) opening(kind relay.Kind, port uint16, copies uint32) {
	f.balancerSends(kind, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100, Ack: copies})
}

// busyPeers reports that the other targets have no free slot, so that flows wait at
// this one.
func (f *fixture) busyPeers() {
	f.fillPeers()
	f.heartbeat(3, 20)
}

func (f *fixture) refusals() (reasons []string) {
	for _, e := range f.out.Events {
		if e.Kind == plane.EventRefused {
			reasons = append(reasons, e.Reason)
		}
	}
	return reasons
}

// Guards against a home that places new flows in a drained data centre.
func TestHomeSkipsDrained(t *testing.T) {
	f := drainedFixture(t)
	placedAt := func(port uint16) netip.Addr {
		f.opening(relay.Open, port, 0)
		if len(f.out.ToTarget) > 0 || f.out.Sends[0].Message.Kind == relay.Waiting {
			return f.Self
		}
		assert.Equal(t, f.out.Sends[0].Message.Kind, relay.Place)
		return f.out.Sends[0].To
	}
	for port, step := range []struct {
		drained []string
		allowed []byte
	}{
		{[]string{"dc"}, []byte{2, 3}},
		{[]string{"east", "nowhere"}, []byte{0, 1, 3}},
		{[]string{"dc", "east"}, []byte{3}},
		{[]string{"east", "west"}, []byte{0, 1}},
		{nil, []byte{0, 1, 2, 3}},
	} {
		f.drain(step.drained...)
		for n := range uint16(20) {
			at := placedAt(uint16(port)*100 + n)
			ok := false
			for _, a := range step.allowed {
				ok = ok || at == fleettest.Agent(a)
			}
			assert.Assert(t, ok, "%v: placed at %v", step.drained, at)
		}
	}
}

// Guards against a home that uses a target in a drained data centre after its entry
// has lapsed, or because its own agent is the only one that it has heard of.
func TestHomeSkipsDrainedLapsedAndUnheard(t *testing.T) {
	f := drainedFixture(t)
	f.drain("dc", "west")
	f.now += 10 * time.Second
	f.opening(relay.Open, 1, 0)
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
	f.View.RecordDisturbance(f.now)
	revision := f.View.Revision() + 1
	f.View.Apply(f.now, &fleet.Delta{Revision: revision, ListingRevision: revision, Full: true, Drains: f.View.Since(f.now, fleet.Progress{}).Drains})
	f.heartbeats(1, 2, 3)
	f.opening(relay.Open, 2, 0)
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
}

// Guards against a flow that waits for its deadline although no target can get it,
// and against targets that stay unused after the undrain.
func TestAllDrained(t *testing.T) {
	f := drainedFixture(t)
	f.drain("dc", "east", "west")
	for _, kind := range []relay.Kind{relay.Open, relay.Place} {
		f.opening(kind, uint16(kind), 0)
		assert.Equal(t, len(f.out.ToCaller), 1)
		assert.Equal(t, len(f.out.ToTarget), 0)
		assert.DeepEqual(t, f.refusals(), []string{"drained"})
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Refused})
	}
	f.drain("east", "west")
	f.opening(relay.Place, 9, 0)
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against an agent that gives a new flow to its drained target because the
// home does not know of the drain, and against peers that go on to choose it.
func TestDrainedAgentCorrectsHome(t *testing.T) {
	f := drainedFixture(t)
	f.drain("dc")
	f.opening(relay.Place, 1, 0)
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Assert(t, f.out.Sends[0].To != fleettest.Agent(1))
	assert.Equal(t, f.out.Sends[0].Message.RefusedBy, f.Self)
	assert.Assert(t, f.Load().Flags&relay.FlagDraining != 0)
	f.drain()
	assert.Assert(t, f.Load().Flags&relay.FlagDraining == 0)
}

// Guards against a drain that ends or moves open flows, or that leaves requests on
// them unanswered.
func TestDrainKeepsOpenFlows(t *testing.T) {
	f := drainedFixture(t)
	f.openFlow(1)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})
	f.drain("dc", "east", "west")
	// The target has got the second flow and accepts it after the drain.
	f.targetSends(flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 7000, Ack: 101})
	assert.Equal(t, len(f.out.ToCaller), 1)
	for port, ack := range map[uint16]uint32{1: 5001, 2: 7001} {
		f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: ack, Len: 10})
		assert.Equal(t, len(f.out.ToTarget), 1)
	}
	f.balancerSends(relay.Search, flow.Packet{Key: fleettest.Key(1), Seq: 121, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against the reset of a flow whose target has got the opening packet: by a
// duplicate of the network, or by a copy of the caller that comes after the drain.
func TestDrainDoesNotRefuseOfferedFlow(t *testing.T) {
	for _, copies := range []uint32{0, 1} {
		for _, accepted := range []bool{false, true} {
			f := drainedFixture(t)
			f.opening(relay.Place, 1, 0)
			if accepted {
				f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
			}
			f.drain("dc", "east", "west")
			f.opening(relay.Place, 1, copies)
			assert.Equal(t, len(f.out.ToCaller), 0)
			assert.Equal(t, len(f.out.ToTarget), 1)
		}
	}
}

// Guards against the reset of a flow that another target may have accepted: the
// caller has sent copies, another home did not report, or the agent that hands over
// or the home has tried another target before.
func TestDrainDoesNotRefuseCopies(t *testing.T) {
	dropped := func(f *fixture) {
		f.Helper()
		assert.Equal(f, len(f.out.ToCaller)+len(f.out.ToTarget), 0)
		assert.DeepEqual(f, f.sentKinds(), []relay.Kind{relay.Refused})
	}
	for _, kind := range []relay.Kind{relay.Open, relay.Place} {
		f := drainedFixture(t)
		f.drain("dc", "east", "west")
		f.opening(kind, 1, 1)
		dropped(f)
		f.out.Clear()
		f.FromPeer(f.now, balancer, &relay.Message{Kind: kind, Service: tag, Origin: balancer, Home: f.Self, RefusedBy: fleettest.Agent(3),
			Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})}, &f.out)
		dropped(f)
	}
	// The home tells the second target that it has tried another one.
	f := drainedFixture(t)
	f.drain("dc")
	f.opening(relay.Open, 1, 0)
	first := f.out.Sends[0].To
	f.advance(maxOwnerTimeout)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Assert(t, f.out.Sends[0].To != first)
	assert.Equal(t, f.out.Sends[0].Message.RefusedBy, first)
	// The home learns of the drain while it waits for a report.
	f = drainedFixture(t)
	f.drain("dc")
	f.opening(relay.Open, 1, 0)
	f.drain("dc", "east", "west")
	f.advance(maxOwnerTimeout)
	dropped(f)
}

// Guards against the refusal of a flow by its home when the network duplicates the
// opening packet: an agent in a drained data centre handed the flow over, and the
// next one gave it up because a target may have got it.
func TestHomeDoesNotRefuseFlowThatWasGivenUp(t *testing.T) {
	home, second := drainedFixture(t), drainedFixture(t)
	home.drain("dc")
	home.opening(relay.Open, 1, 0)
	assert.DeepEqual(t, home.sentKinds(), []relay.Kind{relay.Place})
	second.Self, second.DataCentre, second.Target = fleettest.Agent(2), "east", netip.AddrPortFrom(fleettest.Agent(2), 80)
	second.drain("dc", "east", "west")
	second.out.Clear()
	second.FromPeer(second.now, fleettest.Agent(3), &relay.Message{Kind: relay.Place, Hops: 2, Service: tag, Origin: balancer, Home: home.Self, RefusedBy: fleettest.Agent(3),
		Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})}, &second.out)
	for _, s := range second.out.Sends {
		if message := s.Message; s.To == home.Self {
			home.FromPeer(home.now, second.Self, &message, &home.out)
		}
	}
	home.drain("dc", "east", "west")
	home.opening(relay.Open, 1, 0)
	assert.Equal(t, len(home.out.ToCaller), 0)
}

// Guards against flows that wait at a drained target until their deadline, and
// against the reset of one whose copies may have been accepted elsewhere.
func TestWaitingFlowsOfDrainedTarget(t *testing.T) {
	fill := func(f *fixture) {
		for port := uint16(100); !f.full(); port++ {
			f.openFlow(port)
		}
		f.busyPeers()
		f.opening(relay.Place, 1, 0)
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Waiting})
	}
	f := drainedFixture(t)
	fill(f)
	f.drain("dc")
	f.advance(10 * ms)
	assert.Equal(t, f.Queued(), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Assert(t, f.out.Sends[0].To == fleettest.Agent(2) || f.out.Sends[0].To == fleettest.Agent(3))

	f = drainedFixture(t)
	fill(f)
	f.drain("dc", "east", "west")
	f.advance(10 * ms)
	assert.Equal(t, f.Queued(), 0)
	assert.DeepEqual(t, f.refusals(), []string{"drained"})

	f = drainedFixture(t)
	fill(f)
	f.drain("dc", "east", "west")
	f.advance(firstCopyAge + ms)
	assert.Equal(t, f.Queued(), 0)
	assert.Equal(t, len(f.out.ToCaller), 0)
	assert.Equal(t, len(f.out.ToTarget), 0)
}

// Guards against flows that are refused in a burst although they can wait at the
// remaining targets, and against flows that go to drained targets because the
// others are busy.
func TestBurstAtRemainingTargets(t *testing.T) {
	f := drainedFixture(t)
	f.drain("dc", "west")
	f.heartbeat(2, 200)
	f.heartbeat(1, 0)
	for port := range uint16(50) {
		f.opening(relay.Open, port, 0)
		assert.Equal(t, len(f.out.ToCaller), 0)
		assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
	}
}

// Guards against agents with different views of the drain requests that pass a flow
// around without end: each knows the others as drained.
func TestHandOverOfDrainedFlowsEnds(t *testing.T) {
	const others = 3
	agents := map[netip.Addr]*fixture{}
	for n := range byte(others) {
		f := drainedFixture(t)
		f.Self, f.DataCentre, f.Target = fleettest.Agent(n+1), centres[n+1], netip.AddrPortFrom(fleettest.Agent(n+1), 80)
		f.heartbeats(0, 1, 2, 3)
		// Each knows its own drain only.
		f.drain(centres[n+1])
		agents[f.Self] = f
	}
	f := drainedFixture(t)
	f.drain("dc")
	agents[f.Self] = f
	f.opening(relay.Open, 1, 0)
	pending, steps := f.out.Sends, 0
	ended := 0
	for len(pending) > 0 {
		s := pending[0]
		pending = pending[1:]
		to := agents[s.To]
		if to == nil || s.Message.Kind != relay.Place {
			continue
		}
		steps++
		assert.Assert(t, steps < 20)
		to.out = plane.Out{}
		message := s.Message
		to.FromPeer(0, f.Self, &message, &to.out)
		assert.Equal(t, len(to.out.ToTarget), 0)
		for _, e := range to.out.Events {
			if e.Kind == plane.EventRefused || e.Kind == plane.EventDropped {
				ended++
			}
		}
		pending = append(pending, to.out.Sends...)
	}
	assert.Equal(t, ended, 1)
}

// Guards against a restarted agent in a drained data centre that gives flows to its
// target before its first view tells it of the drain.
func TestRestartedAgentInDrainedDataCentre(t *testing.T) {
	full := drainedFixture(t)
	full.drain("dc")
	d := full.View.Since(0, fleet.Progress{})
	f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), Codec: flowtest.Codec{}, View: fleet.New()})}
	f.opening(relay.Open, 1, 0)
	assert.Equal(t, len(f.out.ToTarget), 0)
	f.View.Apply(50*ms, &d)
	f.advance(50 * ms)
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, f.Queued(), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
}

// allowRegions publishes a version whose route allows some regions.
func (f *fixture) allowRegions(version uint64, regions ...string) {
	f.View.SetRegions(map[string]string{"dc": "north", "east": "south", "west": "south"})
	f.View.Apply(f.now, &fleet.Delta{Revision: f.View.Revision() + 1, ConfigRevision: f.View.Revision() + 1, Config: &fleet.Config{Version: version,
		Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: "booking", AllowedRegions: regions}}}})
}

// Guards against a new flow that is placed outside the allowed regions of its route,
// by its home or by a home that does not know them, and against one that waits
// although the allowed regions have no target that may get it.
func TestAllowedRegions(t *testing.T) {
	f := drainedFixture(t)
	f.allowRegions(10, "south")
	for port := range uint16(20) {
		f.opening(relay.Open, port, 0)
		assert.Equal(t, len(f.out.ToTarget), 0)
		assert.Assert(t, f.out.Sends[0].To == fleettest.Agent(2) || f.out.Sends[0].To == fleettest.Agent(3))
	}
	f.opening(relay.Place, 50, 0)
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.Equal(t, f.out.Sends[0].Message.Kind, relay.Place)
	f.drain("east")
	f.opening(relay.Open, 51, 0)
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(3))
	f.drain("east", "west")
	f.opening(relay.Open, 52, 0)
	assert.DeepEqual(t, f.refusals(), []string{"drained"})
	f.drain()
	f.allowRegions(11, "elsewhere")
	for _, kind := range []relay.Kind{relay.Open, relay.Place} {
		f.opening(kind, 60+uint16(kind), 0)
		assert.DeepEqual(t, f.refusals(), []string{"region_not_allowed"})
		f.opening(kind, 70+uint16(kind), 1)
		assert.Equal(t, len(f.out.ToCaller), 0)
	}
	f.allowRegions(12)
	f.opening(relay.Place, 80, 0)
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a version of the routes that ends open flows outside the allowed
// regions, and against a waiting flow that such a target gets later.
func TestAllowedRegionsOfWaitingAndOpenFlows(t *testing.T) {
	f := drainedFixture(t)
	for port := uint16(100); !f.full(); port++ {
		f.openFlow(port)
	}
	f.busyPeers()
	f.opening(relay.Place, 1, 0)
	assert.Equal(t, f.Queued(), 1)
	f.allowRegions(10, "south")
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(100), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.targetSends(flow.Packet{Key: fleettest.Key(100), Reset: true, Seq: 5001})
	assert.Equal(t, f.Queued(), 0)
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
}
