package ownership

import (
	"maps"
	"net/netip"
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

// restartedFleet is a service whose agents have all restarted alone. Agent 0
// holds the only flow and does not answer, because it is restarting again. The
// other targets return all packets.
type restartedFleet struct {
	*testing.T
	now          time.Duration
	view         *fleet.View
	agents       map[netip.Addr]*Machine
	misdelivered []time.Duration
	resets       int
}

func newRestartedFleet(t *testing.T, dataCentreOf func(n byte) string, agents byte) *restartedFleet {
	targets := fleettest.Ready(agents)
	for n, target := range targets {
		target.DataCentre = dataCentreOf(byte(n))
	}
	s := &restartedFleet{T: t, view: fleettest.View(0, targets...), agents: map[netip.Addr]*Machine{}}
	for _, target := range targets[1:] {
		s.restart(target)
	}
	return s
}

func (s *restartedFleet) restart(target *fleet.Target) {
	s.agents[target.Agent()] = New(s.now, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: fleettest.Service,
		Target: target.Address, Codec: flowtest.Codec{}, View: s.view})
}

func (s *restartedFleet) carryOut(a netip.Addr, out *plane.Out) {
	s.resets += len(out.ToCaller)
	for _, raw := range out.ToTarget {
		s.misdelivered = append(s.misdelivered, s.now)
		p, _ := flowtest.Codec{}.FromCaller(slices.Clone(raw))
		p.Returned = true
		var next plane.Out
		s.agents[a].FromTarget(s.now, flowtest.Encode(p), &next)
		s.carryOut(a, &next)
	}
	for _, send := range out.Sends {
		s.deliver(a, send.To, send.Message)
	}
}

func (s *restartedFleet) deliver(from, to netip.Addr, m relay.Message) {
	if agent := s.agents[to]; agent != nil {
		var out plane.Out
		agent.FromPeer(s.now, from, &m, &out)
		s.carryOut(to, &out)
	}
}

// advance advances the time in steps of the shortest timeout.
func (s *restartedFleet) advance(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 10 * ms
		for _, a := range slices.SortedFunc(maps.Keys(s.agents), netip.Addr.Compare) {
			var out plane.Out
			s.agents[a].Tick(s.now, &out)
			s.carryOut(a, &out)
		}
	}
}

// send delivers a packet of the flow to an agent, as its owner or as its home.
func (s *restartedFleet) send(to byte, asOwner bool) {
	m := relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})}
	if !asOwner {
		m.Home = fleettest.Agent(to)
	}
	s.deliver(balancer, fleettest.Agent(to), m)
}

// mostInWindow returns the greatest number of packets that reached other targets
// within probeWindow.
func (s *restartedFleet) mostInWindow() (most int) {
	for i, first := range s.misdelivered {
		n := 0
		for _, at := range s.misdelivered[i:] {
			if at-first <= probeWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against three packets of a flow at other targets while its agent is
// restarting. The packets come to several homes because balancers or their views
// change, or to an agent that a balancer takes for the owner. Each of these
// agents searches for the flow.
func TestProbesOfSeveralSearchersAreBounded(t *testing.T) {
	one := func(byte) string { return "dc-0" }
	two := func(n byte) string { return []string{"dc-0", "dc-1"}[n/6] }
	for name, c := range map[string]struct {
		dataCentreOf func(byte) string
		agents       byte
		homes        []byte
		asOwner      bool
	}{
		"homes in one data centre":            {one, 8, []byte{1, 2, 3}, false},
		"homes in two data centres":           {two, 12, []byte{1, 7, 2, 8}, false},
		"an owner according to a balancer":    {one, 8, []byte{1, 2, 3}, true},
		"owners in two data centres":          {two, 12, []byte{7, 1, 8}, true},
		"one home that sends several packets": {one, 8, []byte{1, 1, 1, 1, 1, 1, 1, 1, 1, 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newRestartedFleet(t, c.dataCentreOf, c.agents)
			for i, home := range c.homes {
				s.send(home, c.asOwner && i == 0)
				s.advance(400 * ms)
			}
			assert.Assert(t, len(s.misdelivered) > 0)
			assert.Assert(t, s.mostInWindow() <= probeBudget, "packets reached other targets at %v", s.misdelivered)
			assert.Equal(t, s.resets, 0)
		})
	}
}

// Guards against probes that add up over the end of the window: the budget was
// renewed at once although the last probe was a moment ago.
func TestProbeWindowSlides(t *testing.T) {
	s := newRestartedFleet(t, func(byte) string { return "dc-0" }, 2)
	for range 23 {
		s.send(1, false)
		s.advance(100 * ms)
	}
	assert.Equal(t, len(s.misdelivered), 1)
	s.join(2)
	s.send(1, false)
	s.advance(250 * ms)
	assert.Equal(t, len(s.misdelivered), 2)
	s.join(3)
	s.join(4)
	for range 5 {
		s.send(1, false)
		s.advance(100 * ms)
	}
	assert.Assert(t, s.mostInWindow() <= probeBudget, "packets reached other targets at %v", s.misdelivered)
}

// join adds a target whose agent has restarted.
func (s *restartedFleet) join(n byte) {
	target := fleettest.Target(n, fleet.Ready)
	target.DataCentre = "dc-0"
	revision := s.view.Revision() + 1
	s.view.Apply(s.now, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: target.ID, Revision: revision, Target: target}}})
	s.restart(target)
}

// Guards against flows that are not found once all agents have answered, because
// earlier probes have used up the budget.
func TestCompleteSearchProbesAll(t *testing.T) {
	s := newRestartedFleet(t, func(byte) string { return "dc-0" }, 8)
	s.send(1, false)
	s.advance(200 * ms)
	s.restart(s.view.TargetAt(fleettest.Agent(0)))
	s.send(2, false)
	s.advance(300 * ms)
	assert.Equal(t, len(s.misdelivered), 8)
	assert.Assert(t, s.resets > 0)
}

// Guards against a search that gives a target the same packet in each round. The
// target may hold the flow and be silent, because it works on the request. After
// a kill of all processes, the repeated packets made targets count as failing.
func TestSilentTargetIsProbedOnce(t *testing.T) {
	f := newFixture(t, true)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	probes := 0
	for end := f.now + probeRepeatInterval; f.now < end; f.advance(20 * ms) {
		if f.now%(400*ms) == 0 {
			f.balancerSends(relay.Packet, p)
		}
		asked := f.searchedAgents()
		for _, a := range asked {
			kind := map[netip.Addr]relay.Kind{fleettest.Agent(1): relay.NotOwner, fleettest.Agent(2): relay.MaybeOwner}[a]
			f.peerAnswers(a.As4()[3]-10, kind, 1)
			for _, k := range f.sentKinds() {
				if k == relay.Probe {
					probes++
				}
			}
		}
	}
	assert.Equal(t, probes, 1)
	// The caller's next packet goes to the target.
	p.Seq += 10
	f.balancerSends(relay.Packet, p)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.MaybeOwner, 1)
	assert.DeepEqual(t, f.sentKinds(), []relay.Kind{relay.Probe})
}
