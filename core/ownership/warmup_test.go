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

const warmupPerSecond = 5

// warmupView has a service with a limit and three targets that are cold for some
// milliseconds.
func warmupView(coldMS ...int) *fleet.View {
	v := fleet.New()
	v.NothingRemovedBefore(0)
	d := &fleet.Delta{Revision: 100, ConfigRevision: 2, Config: &fleet.Config{Version: 3,
		Routes:   []fleet.Route{{Name: "r", Address: fleettest.Address, Service: "booking"}},
		Services: []fleet.Service{{Name: "booking", WarmupPerSecond: warmupPerSecond}}}}
	for n, ms := range coldMS {
		target := fleettest.Target(byte(n), fleet.Ready)
		target.WarmupMS, target.Slots = ms, 100
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: uint64(3 + n), Target: target})
	}
	v.Apply(0, d)
	return v
}

func warmupFixture(t *testing.T, firstStart bool, coldMS ...int) *fixture {
	f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), FirstStart: firstStart, Codec: flowtest.Codec{}, View: warmupView(coldMS...)})}
	f.heartbeats(1, 2)
	return f
}

// givenOver opens flows at a rate for a time, as a home that places them here, and
// returns when the target got them, and how many were
// opened and handed over.
func (f *fixture) givenOver(d, interval time.Duration) (given []time.Duration, opened, handedOver int) {
	f.Helper()
	next := f.now
	for end := f.now + d; f.now < end; {
		f.advance(10 * ms)
		f.heartbeats(1, 2)
		if f.now >= next {
			next += interval
			opened++
			// Each flow has a port of its own.
			port := uint16(f.now / (10 * ms))
			f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.Place, Service: tag, Origin: balancer, Home: fleettest.Agent(1),
				Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})}, &f.out)
		}
		for range f.out.ToTarget {
			given = append(given, f.now)
		}
		for _, e := range f.out.Events {
			if e.Kind == plane.EventHandedOver {
				assert.Equal(f, e.Reason, "warming_up")
				handedOver++
			}
		}
		// The target accepts what it got.
		for _, raw := range f.out.ToTarget {
			p, err := flowtest.Codec{}.FromCaller(raw)
			assert.NilError(f, err)
			var out plane.Out
			f.FromTarget(f.now, flowtest.Encode(flow.Packet{Key: p.Key, Open: true, Seq: 5000, Ack: 101}), &out)
		}
	}
	return given, opened, handedOver
}

func checkLimit(t *testing.T, given []time.Duration) {
	t.Helper()
	for i := range given {
		if j := i + warmupPerSecond; j < len(given) {
			assert.Assert(t, given[j]-given[i] > time.Second, "%d flows from %v to %v", warmupPerSecond+1, given[i], given[j])
		}
	}
}

// Guards against more new flows for a cold target in a second than its service
// allows, and against flows that are refused although a warm target can take them.
func TestWarmupLimitHandsOver(t *testing.T) {
	f := warmupFixture(t, true, 4000, 0, 4000)
	given, opened, handedOver := f.givenOver(3900*ms, 50*ms)
	checkLimit(t, given)
	assert.Assert(t, len(given) >= 3*warmupPerSecond, "%d flows", len(given))
	assert.Equal(t, f.Queued(), 0)
	assert.Equal(t, len(given)+handedOver, opened)
	// After the warm-up all flows go to the target.
	f.advance(200 * ms)
	given, opened, handedOver = f.givenOver(time.Second, 50*ms)
	assert.Equal(t, len(given), opened)
	assert.Equal(t, handedOver, 0)
}

// Guards against flows that go around between cold targets, and against flows beyond
// the limit that are refused although they can wait.
func TestWarmupLimitWaits(t *testing.T) {
	f := warmupFixture(t, true, 60_000, 60_000, 60_000)
	given, _, handedOver := f.givenOver(4*time.Second, 250*ms)
	checkLimit(t, given)
	assert.Equal(t, handedOver, 0)
	assert.Assert(t, len(given) >= 14, "%d flows", len(given))
	// A flow that another target has handed over waits here.
	f = warmupFixture(t, false, 60_000, 0, 0)
	f.FromPeer(0, fleettest.Agent(1), &relay.Message{Kind: relay.Place, Service: tag, Origin: balancer, Home: fleettest.Agent(1), RefusedBy: fleettest.Agent(2),
		Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})}, &f.out)
	assert.Equal(t, f.Queued(), 1)
	assert.Equal(t, len(f.out.ToTarget), 0)
}

// Guards against a restarted agent that gives its target a second share of the
// limit, before or after its first view, or while its target is not listed.
func TestWarmupLimitAfterRestart(t *testing.T) {
	f := warmupFixture(t, false, 60_000, 60_000, 60_000)
	given, _, _ := f.givenOver(1000*ms, 50*ms)
	assert.Equal(t, len(given), 0)
	given, _, _ = f.givenOver(2*time.Second, 50*ms)
	assert.Assert(t, len(given) > 0)
	checkLimit(t, given)

	without := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking",
		Target: netip.AddrPortFrom(fleettest.Agent(0), 80), Codec: flowtest.Codec{}, View: fleet.New()})}
	given, _, _ = without.givenOver(50*ms, 10*ms)
	assert.Equal(t, len(given), 0)
	d := warmupView(60_000, 60_000, 60_000).Since(0, fleet.Progress{})
	d.Changes = d.Changes[1:]
	without.View.Apply(without.now, &d)
	given, _, _ = without.givenOver(900*ms, 50*ms)
	assert.Equal(t, len(given), 0)
}

// Guards against a delay of the first flows after a loss of all VMs: a target that
// started with its agent has got none before.
func TestWarmupLimitOfFreshTarget(t *testing.T) {
	f := warmupFixture(t, false, 0, 0, 0)
	f.StartedMS = 1_000_000
	f.advance(10 * ms)
	target := fleettest.Target(0, fleet.Ready)
	target.Slots, target.WarmupMS, target.StartUnixMS = 100, 3000, 999_900
	f.View.Apply(f.now, &fleet.Delta{Revision: 200, Changes: []fleet.Change{{ID: target.ID, Revision: 200, Target: target}}})
	f.advance(10 * ms)
	given, _, _ := f.givenOver(300*ms, 50*ms)
	assert.Equal(t, len(given), warmupPerSecond)
}

// Guards against copies of an accepted flow that wait at a full target and are
// refused in the end, and that count as new flows of the warm-up limit.
func TestCopyOfOfferedFlowDoesNotWait(t *testing.T) {
	f := warmupFixture(t, true, 60_000, 60_000, 60_000)
	for port := range uint16(warmupPerSecond) {
		f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		f.targetSends(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101})
	}
	assert.Assert(t, f.mustWait(f.now))
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100, Ack: 1})
	assert.Equal(t, len(f.out.ToTarget), 1)
	assert.Equal(t, f.Queued(), 0)
	f.balancerSends(relay.Place, flow.Packet{Key: fleettest.Key(99), Open: true, Seq: 100})
	assert.Equal(t, f.Queued(), 1)
}
