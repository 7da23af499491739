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

const ms = time.Millisecond

var (
	balancer = netip.MustParseAddr("10.1.0.1")
	tag      = relay.ServiceTag("booking")
)

// fixture is agent 0 of a service with three agents.
type fixture struct {
	*testing.T
	*Machine
	now time.Duration
	out plane.Out
}

func newFixture(t *testing.T, firstStart bool) *fixture {
	v := fleettest.View(0, fleettest.Target(0, fleet.Ready), fleettest.Target(1, fleet.Ready), fleettest.Target(2, fleet.Ready))
	f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), FirstStart: firstStart, Codec: flowtest.Codec{}, View: v})}
	f.heartbeats(1, 2)
	return f
}

// heartbeats delivers heartbeats of idle peers.
func (f *fixture) heartbeats(peers ...byte) {
	for _, n := range peers {
		f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent, Slots: 4}}, &f.out)
	}
}

func (f *fixture) heartbeat(n byte, busy uint16) {
	f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent, Slots: 4, Busy: busy}}, &f.out)
}

// fillPeers reports that the other targets have no free slot, so that flows wait
// at this one.
func (f *fixture) fillPeers() {
	f.heartbeat(1, 20)
	f.heartbeat(2, 20)
}

func (f *fixture) balancerSends(kind relay.Kind, p flow.Packet) {
	f.out.Clear()
	f.FromPeer(f.now, balancer, &relay.Message{Kind: kind, Service: tag, Origin: balancer, Home: fleettest.Agent(0), Body: flowtest.Encode(p)}, &f.out)
}

func (f *fixture) targetSends(p flow.Packet) {
	f.out.Clear()
	f.FromTarget(f.now, flowtest.Encode(p), &f.out)
}

func (f *fixture) advance(d time.Duration) {
	f.out.Clear()
	f.now += d
	f.Tick(f.now, &f.out)
}

// openFlow opens a flow at the agent's own target and sends its first request.
func (f *fixture) openFlow(port uint16) {
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
	assert.Equal(f, len(f.out.ToTarget), 1)
	f.targetSends(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 101, Ack: 5001, Len: 10})
	assert.Equal(f, len(f.out.ToTarget), 1)
}

func (f *fixture) sentKinds() (kinds []relay.Kind) {
	for _, s := range f.out.Sends {
		kinds = append(kinds, s.Message.Kind)
	}
	return kinds
}

// Guards against a new flow that goes to a busy target while another target is
// idle.
func TestPlacedByLoad(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeat(1, 4)
	f.heartbeat(2, 0)
	for port := uint16(1); port < 5; port++ {
		f.openFlow(port)
	}
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(9), Open: true, Seq: 1})
	assert.Equal(t, len(f.out.Sends), 1)
	assert.Equal(t, f.out.Sends[0].To, fleettest.Agent(2))
}

// Guards against a home that places flows in quick succession and sends all of
// them to the target that was the best at its last report, as all other homes do.
func TestQuickFlowsAreSpread(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeat(1, 1)
	f.heartbeat(2, 0)
	for range 2000 {
		f.placed.Add(f.now)
	}
	chosen := map[netip.Addr]int{}
	const flows = 300
	for port := uint16(100); port < 100+flows; port++ {
		to, ok := f.choose(f.now, fleettest.Key(port), nil)
		assert.Assert(t, ok)
		chosen[to]++
	}
	for n := range byte(3) {
		assert.Assert(t, chosen[fleettest.Agent(n)] > flows/5, "%v", chosen)
	}
}

// Guards against an offered slot that is not used.
func TestOfferedSlotIsUsed(t *testing.T) {
	f := newFixture(t, true)
	f.heartbeat(1, 1)
	f.offerFrom(2, 0)
	for port := uint16(1); port < 5; port++ {
		f.openFlow(port)
	}
	to, ok := f.choose(f.now, fleettest.Key(9), nil)
	assert.Assert(t, ok)
	assert.Equal(t, to, fleettest.Agent(2))
	assert.Assert(t, !f.offers.Has(f.now, fleettest.Agent(2)))
}

// Guards against a home and a balancer to which the owner is not reported, so
// that the balancer keeps sending packets through the home.
func TestOwnerReports(t *testing.T) {
	f := newFixture(t, true)
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Place, Service: tag, Origin: balancer, Home: fleettest.Agent(1),
		Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})}, &f.out)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	assert.Equal(t, len(f.out.Sends), 2)
	assert.Equal(t, f.out.Sends[0].To, balancer)
	assert.Equal(t, f.out.Sends[1].To, fleettest.Agent(1))
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Owner, relay.Owner})
}

// Guards against a packet that acknowledges another target's data and reaches
// this target.
func TestPacketOfAnotherTargetsFlow(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 777_001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Search, relay.Search})
}

// Guards against a packet for another service that reaches the target.
func TestOtherServiceIsDropped(t *testing.T) {
	f := newFixture(t, false)
	for _, kind := range []relay.Kind{relay.Open, relay.Place, relay.Packet, relay.Search, relay.Probe} {
		f.out.Clear()
		f.FromPeer(f.now, balancer, &relay.Message{Kind: kind, Service: tag + 1, Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: kind <= relay.Place})}, &f.out)
		assert.Equal(t, len(f.out.ToTarget)+len(f.out.Sends), 0)
	}
}

// Guards against callers that must wait for their next copy because the target
// is dead.
func TestSilentTargetHandsOver(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	f.advance(acceptTimeout)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	f.heartbeats(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	// The target answers again.
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101})
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(3), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against an agent that is down and still gets new flows.
func TestAgentThatDoesNotReportIsAvoided(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	gone := f.out.Sends[0].To
	f.advance(minOwnerTimeout)
	assert.Equal(t, len(f.out.Sends), 1)
	assert.Assert(t, f.out.Sends[0].To != gone)
	f.heartbeats(1, 2)
	for port := uint16(2); port < 20; port++ {
		f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		assert.Assert(t, f.out.Sends[0].To != gone)
	}
}

// Guards against new flows at a draining target, even if the balancer and the
// home do not know yet that it drains.
func TestDrainingTargetTakesNothingNew(t *testing.T) {
	f := newFixture(t, true)
	f.openFlow(1)
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: "a", Revision: 200, Target: fleettest.Target(0, fleet.Draining)}}})
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(2), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a flow that is lost because its home has no record of it and
// drops the packet.
func TestSearchFindsOwner(t *testing.T) {
	home, owner := newFixture(t, true), newFixture(t, true)
	owner.openFlow(1)
	home.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.DeepEqual(t, home.sentKinds(), []relay.Kind{relay.Search, relay.Search})
	search := home.out.Sends[0].Message
	owner.out.Clear()
	owner.FromPeer(owner.now, fleettest.Agent(1), &search, &owner.out)
	assert.Equal(t, len(owner.out.ToTarget), 1)
	assert.DeepEqual(t, owner.sentKinds(), []relay.Kind{relay.Owner, relay.Owner})
	answer := owner.out.Sends[1].Message
	home.FromPeer(home.now, fleettest.Agent(2), &answer, &home.out)
	home.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 121, Ack: 5001, Len: 10})
	assert.Equal(t, home.out.Sends[0].To, fleettest.Agent(2))
	assert.Equal(t, home.out.Sends[0].Message.Kind, relay.Packet)
}

func (f *fixture) peerAnswers(n byte, kind relay.Kind, port uint16) {
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: kind, Service: tag, Flow: fleettest.Key(port), Load: relay.Load{Flags: relay.FlagAgent, Slots: 4}}, &f.out)
}

// Guards against a reset of a flow that a target may hold, and against a caller
// that waits although no target holds its flow.
func TestResetOnlyIfNobodyHoldsTheFlow(t *testing.T) {
	f := newFixture(t, true)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
	// One agent does not answer.
	p.Key = fleettest.Key(2)
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 2)
	f.advance(searchTimeout)
	assert.Equal(t, len(f.out.ToCaller), 0)
}

// Guards against callers that wait for their next retransmission after an
// outage in which all targets lost their flows.
func TestResetAfterAllProbesFail(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.MaybeOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Probe})
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 0)
	p.Returned = true
	f.targetSends(p)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against a probed agent that does not report what its target answered.
func TestProbedAgentAnswers(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(2), &relay.Message{Kind: relay.Probe, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
	assert.Equal(t, len(f.out.ToTarget), 1)
	held := p
	held.Key = fleettest.Key(2)
	p.Returned = true
	f.targetSends(p)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.NotOwner})
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(2), &relay.Message{Kind: relay.Probe, Service: tag, Origin: balancer, Body: flowtest.Encode(held)}, &f.out)
	f.targetSends(flow.Packet{Key: fleettest.Key(2), Seq: 5001, Ack: 121, Len: 5})
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Owner, relay.Owner})
}

// Guards against packets of one flow that reach three wrong targets while the
// agent of the right one is down.
func TestProbesAreBounded(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	misdelivered := 0
	for range 20 {
		f.balancerSends(relay.Packet, p)
		f.peerAnswers(1, relay.MaybeOwner, 1)
		misdelivered += len(f.out.ToTarget)
		f.advance(searchTimeout)
		misdelivered += len(f.out.ToTarget)
		for _, k := range f.sentKinds() {
			if k == relay.Probe {
				misdelivered++
			}
		}
		if f.now > 2*time.Second {
			break
		}
		f.advance(100 * ms)
	}
	assert.Assert(t, misdelivered > 0 && misdelivered <= probeBudget, "%d packets reached other targets", misdelivered)
}

// Guards against flows that are lost although only the agent restarted.
func TestRestartedAgentLearnsItsFlows(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 9001, Len: 10}
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToTarget), 1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 9001, Ack: 121, Len: 100})
	assert.Equal(t, len(f.out.ToCaller), 1)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 121, Ack: 9101, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against a caller that waits until its deadline because the target
// restarted and lost its flow.
func TestTargetThatLostAFlow(t *testing.T) {
	f := newFixture(t, true)
	f.openFlow(1)
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Returned: true, Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToCaller), 1)
	assert.Equal(t, f.Flows(), 0)
}

// Guards against an opening packet that the target returned and the agent drops
// although another target can take the flow.
func TestFullTargetHandsOver(t *testing.T) {
	f := newFixture(t, true)
	p := flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100}
	f.balancerSends(relay.Place, p)
	p.Returned = true
	f.targetSends(p)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	body, err := flowtest.Codec{}.FromCaller(f.out.Sends[0].Message.Body)
	assert.NilError(t, err)
	assert.Assert(t, !body.Returned)
}

// Guards against an agent without a view that refuses flows which its own
// target can take. An agent that has restarted waits for a view for a bounded time,
// because the target may be in a drained data centre.
func TestAgentWithoutViewServes(t *testing.T) {
	for _, firstStart := range []bool{false, true} {
		m := New(0, Options{Self: fleettest.Agent(0), Service: "booking", Target: netip.AddrPortFrom(fleettest.Agent(0), 80), FirstStart: firstStart, Codec: flowtest.Codec{}, View: fleet.New()})
		var out plane.Out
		open := func(now time.Duration, port uint16) {
			m.FromPeer(now, balancer, &relay.Message{Kind: relay.Open, Service: tag, Origin: balancer,
				Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 1})}, &out)
		}
		open(0, 1)
		if !firstStart {
			m.Tick(viewWait-ms, &out)
			assert.Equal(t, len(out.ToTarget), 0)
			assert.Assert(t, m.HasTimeouts())
			m.Tick(viewWait, &out)
		}
		assert.Equal(t, len(out.ToTarget), 1)
		assert.Equal(t, len(out.ToCaller), 0)
		open(viewWait, 2)
		assert.Equal(t, len(out.ToTarget), 2)
	}
}

// Guards against load counts that stay above zero after flows end in unusual
// ways.
func TestLoadReturnsToZero(t *testing.T) {
	f := newFixture(t, true)
	large := fleettest.Target(0, fleet.Ready)
	large.Slots = 20
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: "a", Revision: 200, Target: large}}})
	for port := uint16(1); port < 10; port++ {
		f.openFlow(port)
	}
	assert.Equal(t, f.Load().Busy, uint16(9))
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Len: 10})
	f.targetSends(flow.Packet{Key: fleettest.Key(2), Reset: true, Seq: 5001})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(3), Reset: true, Seq: 111})
	f.targetSends(flow.Packet{Key: fleettest.Key(4), Returned: true, Seq: 111, Ack: 5001, Len: 1})
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(5), Open: true, Seq: 777})
	f.targetSends(flow.Packet{Key: fleettest.Key(5), Returned: true, Open: true, Seq: 777})
	assert.Equal(t, f.Load().Busy, uint16(4))
	f.advance(3 * defaultIdleTTL)
	assert.Equal(t, f.Load().Busy, uint16(0))
	assert.Equal(t, f.Flows(), 0)
	for _, r := range f.stats.routes {
		assert.Equal(t, r.open(), 0)
	}
}

// Guards against a target whose queue grows until every request is late.
func TestBusyTargetHoldsNewFlows(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(1); port <= 5; port++ {
		f.openFlow(port)
	}
	f.fillPeers()
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(6), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Waiting})
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(6), Open: true, Seq: 100, Ack: 1})
	assert.Equal(t, len(f.out.ToTarget), 0)
	// The first answer frees a slot.
	f.targetSends(flow.Packet{Key: fleettest.Key(1), Seq: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	// A flow that cannot be served in time is refused at once.
	f.targetSends(flow.Packet{Key: fleettest.Key(6), Open: true, Seq: 5000, Ack: 101})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(6), Seq: 101, Ack: 5001, Len: 10})
	for copies, wait := range []time.Duration{0, firstCopyAge, secondCopyAge - firstCopyAge} {
		f.advance(wait)
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(7), Open: true, Seq: 100, Ack: uint32(copies)})
		assert.Equal(t, len(f.out.ToTarget)+len(f.out.ToCaller), 0)
	}
	f.advance(defaultTimeout - secondCopyAge + ms)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against flows that stay queued for a target that starts to drain.
func TestWaitingFlowsLeaveDrainingTarget(t *testing.T) {
	f := newFixture(t, true)
	f.fillPeers()
	for port := uint16(1); port <= 6; port++ {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
	}
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: "a", Revision: 200, Target: fleettest.Target(0, fleet.Draining)}}})
	f.advance(ms)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
}

// Guards against a home that suspects the agent at which a flow is queued and
// places the flow twice.
func TestHomeKnowsOfWaitingFlow(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	to := f.out.Sends[0].To
	f.out.Clear()
	f.FromPeer(f.now, to, &relay.Message{Kind: relay.Waiting, Service: tag, Flow: fleettest.Key(1), Load: relay.Load{Flags: relay.FlagAgent}}, &f.out)
	f.advance(minOwnerTimeout)
	assert.Equal(t, len(f.out.Sends), 0)
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: 1})
	assert.Equal(t, f.out.Sends[0].To, to)
}

// Guards against a target that resets its flows at once, so that it looks idle
// and fast and attracts all flows.
func TestFailingTargetIsAvoided(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(1); port <= failuresInRow; port++ {
		f.openFlow(port)
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Reset: true, Seq: 5001})
	}
	assert.Assert(t, f.Load().Flags&relay.FlagFailing != 0)
	f.heartbeats(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(20), Open: true, Seq: 100})
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
	// Only flows that may be repeated go to a failing target as a test.
	f.advance(failingRetryInterval)
	f.heartbeats(1, 2)
	for port := uint16(21); port < 21+successesInRow; port++ {
		assert.Assert(t, f.Load().Flags&relay.FlagFailing != 0)
		f.openFlow(port)
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Len: 10, Seq: 5001})
	}
	assert.Assert(t, f.Load().Flags&relay.FlagFailing == 0)
}

// Guards against a lost request: one that must not be repeated does not go to a
// target that may still fail.
func TestFailingTargetIsNotProbedWithUnrepeatable(t *testing.T) {
	f := newFixture(t, true)
	f.View.Apply(f.now, &fleet.Delta{Revision: 300, ConfigRevision: 300, Config: &fleet.Config{Version: 9,
		Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: "booking", Kind: fleet.NotIdempotent}}}})
	for port := uint16(1); port <= failuresInRow; port++ {
		f.openFlow(port)
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Reset: true, Seq: 5001})
	}
	f.advance(2 * failingRetryInterval)
	f.heartbeats(1, 2)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(20), Open: true, Seq: 100})
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Place})
}

// Guards against refusing all flows when every target counts as failing.
func TestAllTargetsFail(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(1); port <= failuresInRow; port++ {
		f.openFlow(port)
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Reset: true, Seq: 5001})
	}
	for n := byte(1); n <= 2; n++ {
		f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent | relay.FlagFailing, Slots: 4}}, &f.out)
	}
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(20), Open: true, Seq: 100})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against an agent that drops the state of an open flow because its
// opening packet was placed there a second time. The packets of the flow were
// then reset as unknown.
func TestLateCopyOfOpeningPacket(t *testing.T) {
	f := newFixture(t, true)
	f.openFlow(1)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: 1})
	assert.Equal(t, len(f.out.ToTarget), 0)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Owner})
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, len(f.out.ToTarget), 1)
	// Another sequence number means another flow with the same addresses.
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 900})
	assert.Equal(t, len(f.out.ToTarget), 1)
}

// Guards against homes that place each flow at several targets when all
// processes are slow.
func TestOwnerTimeoutAdaptsToSlowReports(t *testing.T) {
	f := newFixture(t, true)
	f.Leave()
	for port := uint16(1); port < 20; port++ {
		f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		to := f.out.Sends[0].To
		f.now += 70 * ms
		f.heartbeats(1, 2)
		f.peerAnswers(to.As4()[3]-10, relay.Owner, port)
	}
	f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(30), Open: true, Seq: 100})
	f.advance(60 * ms)
	assert.Equal(t, len(f.out.Sends), 0)
}

// Guards against packets that reach other targets although the balancer named
// the right one. Its agent had just restarted, like some others.
func TestRestartedOwnerAsksItsOwnTargetFirst(t *testing.T) {
	f := newFixture(t, false)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 9001, Len: 10}
	f.out.Clear()
	f.FromPeer(f.now, balancer, &relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Equal(t, len(f.out.Sends), 0)
	// The target does not hold the flow.
	p.Returned = true
	f.targetSends(p)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Search, relay.Search})
	f.peerAnswers(1, relay.MaybeOwner, 1)
	f.advance(searchTimeout)
	probes := 0
	for _, k := range f.sentKinds() {
		if k == relay.Probe {
			probes++
		}
	}
	assert.Equal(t, probes, 1)
}

// Guards against a burst of packets that all reach the target before it has
// returned the first one.
func TestBurstAtRestartedAgent(t *testing.T) {
	f := newFixture(t, false)
	f.out.Clear()
	for n := range uint32(8) {
		body := flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Seq: 111 + 10*n, Ack: 9001, Len: 10})
		f.FromPeer(f.now, balancer, &relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: body}, &f.out)
	}
	assert.Equal(t, len(f.out.ToTarget), probeBudget)
}

// Guards against a loop in which two agents' records name each other and the
// flow's packets are lost.
func TestRecordsInALoop(t *testing.T) {
	f := newFixture(t, true)
	f.peerAnswers(1, relay.Owner, 1)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Packet, Hops: maxHops, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}, &f.out)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Search, relay.Search})
}

// completeRequest opens a flow, and the target answers its request after a
// time.
func (f *fixture) completeRequest(port uint16, took time.Duration, length int) {
	f.openFlow(port)
	f.now += took
	f.targetSends(flow.Packet{Key: fleettest.Key(port), Seq: 5001, Len: length})
	f.heartbeats(1, 2)
}

// Guards against a target that answers errors at once, so that it looks idle
// and fast and attracts all flows. Also guards against a target that counts as
// failing because some answers are short or quick.
func TestTargetThatAnswersErrors(t *testing.T) {
	f := newFixture(t, true)
	for port := uint16(1); port <= 10; port++ {
		f.completeRequest(port, 40*ms, 1200)
	}
	for port := uint16(11); port <= 20; port++ {
		f.completeRequest(port, 2*ms, 1200)
		f.completeRequest(port+100, 40*ms, 150)
	}
	assert.Assert(t, f.Load().Flags&relay.FlagFailing == 0)
	for port := uint16(21); port < 21+failuresInRow; port++ {
		f.completeRequest(port, ms, 150)
	}
	assert.Assert(t, f.Load().Flags&relay.FlagFailing != 0)
	f.advance(failingRetryInterval)
	f.heartbeats(1, 2)
	for port := uint16(40); port < 40+successesInRow; port++ {
		assert.Assert(t, f.Load().Flags&relay.FlagFailing != 0)
		f.completeRequest(port, 40*ms, 1200)
	}
	assert.Assert(t, f.Load().Flags&relay.FlagFailing == 0)
}
