package ownership

import (
	"fmt"
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

// system is a service in several data centres whose agents exchange datagrams
// without loss. All agents of it started with their targets.
type system struct {
	*testing.T
	agents map[netip.Addr]*Machine
	// crossing counts the datagrams between data centres, inside the others.
	crossing, inside int
	resets           int
	reached          map[netip.Addr]int
}

func newSystem(t *testing.T, dataCentres, agentsEach byte) *system {
	s := &system{T: t, agents: map[netip.Addr]*Machine{}, reached: map[netip.Addr]int{}}
	targets := fleettest.Ready(dataCentres * agentsEach)
	for n, target := range targets {
		target.ID, target.DataCentre = fmt.Sprint(n), fmt.Sprint("dc-", n/int(agentsEach))
	}
	view := fleettest.View(0, targets...)
	for _, target := range targets {
		s.agents[target.Agent()] = New(0, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: fleettest.Service,
			Target: target.Address, FirstStart: true, Codec: flowtest.Codec{}, View: view})
	}
	return s
}

// send gives an agent a datagram of a balancer and delivers all that follows.
func (s *system) send(to byte, kind relay.Kind, p flow.Packet) {
	s.deliver(balancer, fleettest.Agent(to), relay.Message{Kind: kind, Service: tag, Origin: balancer, Home: fleettest.Agent(to), Body: flowtest.Encode(p)})
}

func (s *system) deliver(from, to netip.Addr, m relay.Message) {
	agent := s.agents[to]
	if agent == nil {
		return
	}
	if sender := s.agents[from]; sender != nil && sender.DataCentre != agent.DataCentre {
		s.crossing++
	} else {
		s.inside++
	}
	var out plane.Out
	agent.FromPeer(0, from, &m, &out)
	s.resets += len(out.ToCaller)
	s.reached[to] += len(out.ToTarget)
	for _, send := range out.Sends {
		s.deliver(to, send.To, send.Message)
	}
}

// Guards against searches whose messages between data centres grow with the
// service: after a loss of all VMs each lost flow is searched for, and at 109
// agents in five data centres that was half of all bytes between them.
func TestSearchCrossesBordersOnce(t *testing.T) {
	const dataCentres = 4
	for _, agentsEach := range []byte{3, 10, 40} {
		s := newSystem(t, dataCentres, agentsEach)
		p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
		s.send(0, relay.Packet, p)
		assert.Equal(t, s.resets, 1)
		assert.Equal(t, s.crossing, 2*(dataCentres-1))
		// Later packets of the flow need no search.
		before := s.inside
		s.send(0, relay.Packet, p)
		assert.Equal(t, s.resets, 2)
		assert.Equal(t, s.crossing, 2*(dataCentres-1))
		assert.Equal(t, s.inside, before+1)
	}
}

// Guards against an owner in another data centre that is not found.
func TestSurveyFindsOwner(t *testing.T) {
	const agentsEach = 5
	for owner := byte(0); owner < 3*agentsEach; owner++ {
		s := newSystem(t, 3, agentsEach)
		m := s.agents[fleettest.Agent(owner)]
		var out plane.Out
		s.send(owner, relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
		m.FromTarget(0, flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101}), &out)
		home := (owner + agentsEach) % (3 * agentsEach)
		before := s.reached[fleettest.Agent(owner)]
		s.send(home, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
		assert.Equal(t, s.resets, 0)
		assert.Equal(t, s.reached[fleettest.Agent(owner)], before+1)
		assert.Equal(t, s.agents[fleettest.Agent(home)].records[fleettest.Key(1)].owner, fleettest.Agent(owner))
	}
}

// Guards against a flow that is reset although somebody has not answered for
// it, or because an agent answers for a data centre that it does not know as
// well as the asker.
func TestIncompleteSurveyResetsNothing(t *testing.T) {
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	s := newSystem(t, 2, 4)
	delete(s.agents, fleettest.Agent(6))
	for range 5 {
		s.send(0, relay.Packet, p)
		var out plane.Out
		for _, m := range s.agents {
			m.Tick(farSearchTimeout, &out)
		}
		assert.Equal(t, s.resets, 0)
	}

	s = newSystem(t, 2, 4)
	// A newer view with the same agents is no reason to stay silent.
	newer := fleettest.View(0, s.agents[fleettest.Agent(0)].View.Targets(fleettest.Service)...)
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 1})
	for n := range byte(4) {
		s.agents[fleettest.Agent(n)].View = newer
	}
	s.send(0, relay.Packet, p)
	assert.Equal(t, s.resets, 1)
	joined := fleettest.Target(9, fleet.Ready)
	joined.DataCentre = "dc-1"
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 2, Changes: []fleet.Change{{ID: joined.ID, Revision: fleettest.Revision + 2, Target: joined}}})
	p.Key = fleettest.Key(2)
	s.send(0, relay.Packet, p)
	assert.Equal(t, s.resets, 1)
}

// Guards against an agent that restarted and is left out, so that the flow of
// its target is reset.
func TestSurveyNamesUnsureAgents(t *testing.T) {
	s := newSystem(t, 2, 4)
	s.agents[fleettest.Agent(6)].unsureUntil = defaultFlowTTL
	s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, s.resets, 0)
	assert.Equal(t, s.reached[fleettest.Agent(6)], 1)
}

// Guards against a search that waits because the agent asked first cannot
// answer for its data centre: right after an outage many have no view yet.
func TestDeclinedSurveyGoesElsewhere(t *testing.T) {
	const flows = 20
	s := newSystem(t, 2, 4)
	targets := s.agents[fleettest.Agent(0)].View.Targets(fleettest.Service)
	older, newer := fleettest.View(0, targets[:7]...), fleettest.View(0, targets...)
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 1})
	for a, m := range s.agents {
		m.View = newer
		if a == fleettest.Agent(4) {
			m.View = older
		}
	}
	for port := range uint16(flows) {
		s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: 5001, Len: 10})
	}
	assert.Equal(t, s.resets, flows)
}

// Guards against a search that asks a whole data centre again in each round
// because one agent there is away.
func TestSilentAgentIsAskedAlone(t *testing.T) {
	s := newSystem(t, 2, 10)
	// The agent that is asked last for its data centre.
	away := fleettest.Agent(10)
	for n := byte(10); n < 20; n++ {
		if hash := fleettest.Key(1).Hash(); fleet.Score(hash, fleettest.Agent(n)) < fleet.Score(hash, away) {
			away = fleettest.Agent(n)
		}
	}
	gone := s.agents[away]
	delete(s.agents, away)
	s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	const step, wait = 10 * ms, farSearchTimeout + 2*searchAgain
	now := time.Duration(0)
	for ; now <= farSearchTimeout; now += step {
		s.tick(now)
	}
	before := s.inside
	for ; now < wait; now += step {
		s.tick(now)
	}
	assert.Equal(t, s.resets, 0)
	assert.Equal(t, s.inside, before)
	s.agents[away] = gone
	for ; now < 3*wait; now += step {
		s.tick(now)
	}
	assert.Equal(t, s.resets, 1)
}

// tick passes time at all agents in order, and delivers what follows.
func (s *system) tick(now time.Duration) {
	for _, a := range slices.SortedFunc(maps.Keys(s.agents), netip.Addr.Compare) {
		var out plane.Out
		s.agents[a].Tick(now, &out)
		s.resets += len(out.ToCaller)
		for _, send := range out.Sends {
			s.deliver(a, send.To, send.Message)
		}
	}
}
