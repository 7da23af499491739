package ownership

import (
	"slices"
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

// offerFrom delivers the offer of a free slot.
func (f *fixture) offerFrom(n byte, busy uint16) {
	f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag,
		Load: relay.Load{Flags: relay.FlagAgent | relay.FlagSlotFree, Slots: 4, Busy: busy}}, &f.out)
}

// offersSent returns the agents to which free slots were offered.
func (f *fixture) offersSent() (to []uint16) {
	for _, s := range f.out.Sends {
		if s.Message.Kind == relay.Heartbeat && s.Message.Load.Flags&relay.FlagSlotFree != 0 {
			to = append(to, uint16(s.To.As4()[3]))
		}
	}
	return to
}

// placeFrom delivers an opening packet that a home has placed here.
func (f *fixture) placeFrom(home byte, p flow.Packet) {
	f.FromPeer(f.now, fleettest.Agent(home), &relay.Message{Kind: relay.Place, Hops: 1, Service: tag, Origin: balancer, Home: fleettest.Agent(home), Body: flowtest.Encode(p)}, &f.out)
}

func (f *fixture) eventReasons(kind plane.EventKind) (reasons []string) {
	for _, e := range f.out.Events {
		if e.Kind == kind {
			reasons = append(reasons, e.Reason)
		}
	}
	return reasons
}

// Guards against homes that choose by loads that are 100 ms old while a slot is
// free: a target offers its free slots, each to one agent, and not more of them
// than it has.
func TestFreeSlotsAreOffered(t *testing.T) {
	f := newFixture(t, true)
	f.advance(ms)
	assert.Equal(t, len(f.offersSent()), 0, "there is no home yet")
	f.placeFrom(1, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	assert.Equal(t, len(f.offersSent()), f.slots()-1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	f.advance(ms)
	assert.Equal(t, len(f.offersSent()), 0, "offered twice")
	// An offer that nobody has used is repeated.
	f.advance(160 * ms)
	assert.Assert(t, len(f.offersSent()) > 0)
	// A home that places no more flows is offered nothing.
	f.advance(time.Second)
	f.advance(160 * ms)
	assert.Equal(t, len(f.offersSent()), 0)
}

// Guards against flows that wait at one target while another one has a free
// slot: the agent at which they wait is offered it, and hands one over.
func TestOfferGoesWhereFlowsWait(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeat(2, 20)
	f.placeFrom(1, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	to := f.offersSent()
	assert.Assert(t, len(to) > 0)
	want := uint16(fleettest.Agent(2).As4()[3])
	assert.Assert(t, !slices.ContainsFunc(to, func(a uint16) bool { return a != want }), "%v", to)
}

// queueOne fills the target and lets one flow wait.
func (f *fixture) queueOne() flow.Packet {
	f.fillPeers()
	for port := uint16(100); port < 105; port++ {
		f.openFlow(port)
	}
	p := flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100}
	f.placeFrom(1, p)
	assert.Equal(f, f.Queued(), 1)
	f.out.Clear()
	return p
}

// Guards against a flow that waits although a slot was offered, and against the
// copy of its opening packet that a second target accepts.
func TestWaitingFlowTakesOfferedSlot(t *testing.T) {
	f := newFixture(t, true)
	p := f.queueOne()
	f.offerFrom(2, 0)
	assert.Equal(t, f.Queued(), 0)
	assert.DeepEqual(t, f.eventReasons(plane.EventHandedOver), []string{"slot_offered"})
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
	assert.Equal(t, f.out.Sends[0].Message.Home, fleettest.Agent(1))
	assert.Equal(t, f.out.Sends[0].Message.RefusedBy, fleettest.Agent(0))
	f.out.Clear()
	// The copy follows, also if a slot is free here by then.
	f.targetSends(flow.Packet{Key: fleettest.Key(100), Seq: 5001, Len: 10})
	f.targetSends(flow.Packet{Key: fleettest.Key(101), Seq: 5001, Len: 10})
	f.out.Clear()
	p.Ack = 1
	f.placeFrom(1, p)
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
	// If the other agent is gone, a later copy is not sent there.
	f.advance(maxOwnerTimeout)
	p.Ack = 2
	f.out.Clear()
	f.placeFrom(1, p)
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a flow that is lost because its home has handed it over to an
// agent that has just died.
func TestHomePlacesHandedOverFlowAgain(t *testing.T) {
	f := newFixture(t, true)
	f.fillPeers()
	for port := uint16(100); port < 105; port++ {
		f.openFlow(port)
	}
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	assert.Equal(t, f.Queued(), 1)
	f.offerFrom(2, 0)
	assert.Equal(t, f.Queued(), 0)
	f.heartbeat(1, 0)
	f.heartbeat(2, 0)
	f.advance(maxOwnerTimeout)
	var to []uint16
	for _, s := range f.out.Sends {
		if s.Message.Kind == relay.Place {
			to = append(to, uint16(s.To.As4()[3]))
		}
	}
	assert.DeepEqual(t, to, []uint16{uint16(fleettest.Agent(1).As4()[3])})
}

// Guards against a flow that leaves its place in the queue for a target that
// serves it later: handing over to any free slot lost on slow targets.
func TestSlowSlotIsNotTaken(t *testing.T) {
	f := newFixture(t, true)
	f.stats.reportedTime = 20 * ms
	f.queueOne()
	f.FromPeer(f.now, fleettest.Agent(2), &relay.Message{Kind: relay.Heartbeat, Service: tag,
		Load: relay.Load{Flags: relay.FlagAgent | relay.FlagSlotFree, Slots: 4, ServiceTime: 1000}}, &f.out)
	assert.Equal(t, f.Queued(), 1)
	assert.Equal(t, len(f.eventReasons(plane.EventHandedOver)), 0)
}

// Guards against a flow that is handed over to a target that takes none, and
// against one that goes back to where it came from.
func TestOfferOfUnusableTarget(t *testing.T) {
	for _, c := range []struct {
		name string
		with func(f *fixture)
	}{
		{"leaving", func(f *fixture) {
			f.FromPeer(f.now, fleettest.Agent(2), &relay.Message{Kind: relay.Heartbeat, Service: tag,
				Load: relay.Load{Flags: relay.FlagAgent | relay.FlagSlotFree | relay.FlagLeaving, Slots: 4}}, &f.out)
		}},
		{"draining", func(f *fixture) {
			f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: "c", Revision: 200, Target: fleettest.Target(2, fleet.Draining)}}})
			f.offerFrom(2, 0)
		}},
		{"handed over by it", func(f *fixture) {
			f.queue.Value(fleettest.Key(1)).msg.RefusedBy = fleettest.Agent(2)
			f.offerFrom(2, 0)
		}},
		{"forwarded often", func(f *fixture) {
			f.queue.Value(fleettest.Key(1)).msg.Hops = maxOfferHops + 1
			f.offerFrom(2, 0)
		}},
	} {
		f := newFixture(t, true)
		f.queueOne()
		c.with(f)
		assert.Equal(t, f.Queued(), 1, c.name)
	}
}

// Guards against a full target that lets a flow wait while others seem to have
// free slots, and against a flow that is handed over again and again.
func TestFullTargetHandsOverOnce(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(100); port < 105; port++ {
		f.openFlow(port)
	}
	f.out.Clear()
	f.placeFrom(1, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	assert.DeepEqual(t, f.eventReasons(plane.EventHandedOver), []string{"target_busy"})
	p := flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100}
	f.FromPeer(f.now, fleettest.Agent(2), &relay.Message{Kind: relay.Place, Hops: 2, Service: tag, Origin: balancer, Home: fleettest.Agent(1), RefusedBy: fleettest.Agent(2), Body: flowtest.Encode(p)}, &f.out)
	assert.Equal(t, f.Queued(), 1)
}

// Guards against an agent whose target takes no flows and that offers its slots.
func TestNoOfferWithoutTarget(t *testing.T) {
	f := newFixture(t, true)
	f.placeFrom(1, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	f.Leave()
	f.advance(200 * ms)
	assert.Equal(t, len(f.offersSent()), 0)
}
