package ownership

import (
	"fmt"
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

const (
	// otherService is the second service of a split route. The numbers of its
	// agents start at firstOther.
	otherService = "seats"
	firstOther   = 10
	agentsEach   = 3
)

var heldPacket = flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}

func splitRoutes(weight, otherWeight int) []fleet.Route {
	return []fleet.Route{{Name: "r", Address: fleettest.Address, Split: []fleet.WeightedService{
		{Service: fleettest.Service, Weight: weight}, {Service: otherService, Weight: otherWeight},
	}}}
}

func routesTo(service string) []fleet.Route {
	return []fleet.Route{{Name: "r", Address: fleettest.Address, Service: service}}
}

// newSplitCluster returns a cluster of two services whose agents share a view
// with the routes.
func newSplitCluster(t *testing.T, routes []fleet.Route) *cluster {
	s := newCluster(t, 1, agentsEach)
	view := s.agents[fleettest.Agent(0)].View
	d := &fleet.Delta{Revision: fleettest.Revision}
	for n := byte(firstOther); n < firstOther+agentsEach; n++ {
		target := fleettest.Target(n, fleet.Ready)
		target.Service, target.DataCentre = otherService, "dc-0"
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: fleettest.Revision, Target: target})
		s.agents[target.Agent()] = New(0, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: target.Service,
			Target: target.Address, FirstStart: true, Codec: flowtest.Codec{}, View: view})
	}
	view.Apply(0, d)
	s.setRoutes(routes)
	return s
}

// setRoutes brings a new version of the routes into force.
func (s *cluster) setRoutes(routes []fleet.Route) {
	view := s.agents[fleettest.Agent(0)].View
	version := view.Version() + 1
	view.Apply(0, &fleet.Delta{Revision: view.Revision(), Config: &fleet.Config{Version: version, Routes: routes}})
}

// openAt opens a flow at the target of an agent.
func (s *cluster) openAt(n byte) {
	m := s.agents[fleettest.Agent(n)]
	var out plane.Out
	open := flow.Packet{Key: heldPacket.Key, Open: true, Seq: 100}
	m.FromPeer(0, balancer, &relay.Message{Kind: relay.Place, Service: m.serviceTag, Origin: balancer, Body: flowtest.Encode(open)}, &out)
	m.FromTarget(0, flowtest.Encode(flow.Packet{Key: heldPacket.Key, Open: true, Seq: 5000, Ack: 101}), &out)
}

func (s *cluster) packetsToTargets() (n int) {
	for _, count := range s.toTarget {
		n += count
	}
	return n
}

// Guards against an open flow that is reset because a new version of the routes
// sends its packets to a service that does not hold it. The balancer does not
// know the owner, as after a restart.
func TestFlowStaysAfterChangeOfItsRoute(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions [][]fleet.Route
	}{
		{"weights", [][]fleet.Route{splitRoutes(1, 9), splitRoutes(9, 1)}},
		{"no weight left", [][]fleet.Route{splitRoutes(0, 1), splitRoutes(1, 0)}},
		{"service replaced", [][]fleet.Route{routesTo(otherService), routesTo(fleettest.Service)}},
		{"service left the split", [][]fleet.Route{splitRoutes(1, 1), routesTo(fleettest.Service)}},
		{"route removed", [][]fleet.Route{splitRoutes(1, 1), nil}},
		{"route removed and added", [][]fleet.Route{routesTo(otherService), nil, routesTo(fleettest.Service)}},
	} {
		for owner := byte(firstOther); owner < firstOther+agentsEach; owner++ {
			s := newSplitCluster(t, c.versions[0])
			s.openAt(owner)
			for _, routes := range c.versions[1:] {
				s.setRoutes(routes)
			}
			s.send(0, relay.Packet, heldPacket)
			assert.Equal(t, s.resets, 0, c.name)
			assert.Equal(t, s.toTarget[fleettest.Agent(owner)], 1, c.name)
			assert.Equal(t, s.packetsToTargets(), 1, c.name)
			assert.Equal(t, s.reporter, fleettest.Agent(owner), c.name)
			assert.Equal(t, s.reported.Service, relay.ServiceTag(otherService), c.name)
		}
	}
}

// Guards against a flow that nobody holds and that is never reset, because the
// services of its route send its packets to each other, and against messages
// that grow with such exchanges.
func TestFlowThatNoServiceHoldsIsReset(t *testing.T) {
	s := newSplitCluster(t, splitRoutes(1, 1))
	for n := byte(1); n <= 3; n++ {
		before := s.localDatagrams
		s.send(0, relay.Packet, heldPacket)
		assert.Equal(t, s.resets, int(n))
		assert.Assert(t, s.localDatagrams-before <= 2+2*2*(agentsEach-1))
		assert.Equal(t, s.packetsToTargets(), 0)
	}
}

// Guards against a reset although there are more services than a datagram can
// list, and against packets that circulate among so many.
func TestMoreServicesThanADatagramLists(t *testing.T) {
	for _, services := range []byte{relay.MaxDeniedServices + 1, relay.MaxDeniedServices + 2, 3 * relay.MaxDeniedServices} {
		s := newCluster(t, 1, 1)
		view := s.agents[fleettest.Agent(0)].View
		route := fleet.Route{Name: "r", Address: fleettest.Address, Split: []fleet.WeightedService{{Service: fleettest.Service, Weight: 1}}}
		d := &fleet.Delta{Revision: fleettest.Revision}
		for n := byte(1); n < services; n++ {
			target := fleettest.Target(n, fleet.Ready)
			target.Service, target.DataCentre = fmt.Sprint(n), "dc-0"
			d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: fleettest.Revision, Target: target})
			route.Split = append(route.Split, fleet.WeightedService{Service: target.Service})
			s.agents[target.Agent()] = New(0, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: target.Service,
				Target: target.Address, FirstStart: true, Codec: flowtest.Codec{}, View: view})
		}
		view.Apply(0, d)
		s.setRoutes([]fleet.Route{route})
		s.send(0, relay.Packet, heldPacket)
		if services <= relay.MaxDeniedServices+1 {
			assert.Equal(t, s.resets, 1)
		} else {
			assert.Equal(t, s.resets, 0)
		}
	}
}

// Guards against packets that circulate between services because the agents of
// each have outdated records of the flow.
func TestOutdatedRecordsInBothServices(t *testing.T) {
	s := newSplitCluster(t, splitRoutes(1, 1))
	for n := range byte(agentsEach) {
		for _, first := range []byte{0, firstOther} {
			next := fleettest.Agent(first + (n+1)%agentsEach)
			s.agents[fleettest.Agent(first+n)].records[heldPacket.Key] = &record{owner: next, confirmed: true}
		}
	}
	s.send(0, relay.Packet, heldPacket)
	assert.Equal(t, s.resets, 1)
}

// Guards against a reset although an agent of the other service has not
// answered, and its target may hold the flow.
func TestOtherServiceThatDoesNotAnswer(t *testing.T) {
	for away := byte(firstOther); away < firstOther+agentsEach; away++ {
		s := newSplitCluster(t, splitRoutes(1, 1))
		delete(s.agents, fleettest.Agent(away))
		for now := time.Duration(0); now < time.Second; now += 10 * ms {
			s.send(0, relay.Packet, heldPacket)
			s.tick(now)
		}
		assert.Equal(t, s.resets, 0)
	}
}

// doubt makes agents doubt which flows their targets hold, as after a restart
// without a flow table.
func (s *cluster) doubt(agents ...byte) {
	for _, n := range agents {
		s.agents[fleettest.Agent(n)].unknownFlowsUntil = defaultFlowTTL
	}
}

// Guards against packets of an open flow at targets of a service that does not hold
// it: new agents of that service cannot deny the flow, although the owner in the
// other service is known.
func TestOtherServiceIsAskedBeforeProbes(t *testing.T) {
	for owner := byte(firstOther); owner < firstOther+agentsEach; owner++ {
		s := newSplitCluster(t, splitRoutes(1, 1))
		s.doubt(0, 1, 2)
		s.openAt(owner)
		s.send(0, relay.Packet, heldPacket)
		assert.Equal(t, s.resets, 0)
		assert.Equal(t, s.toTarget[fleettest.Agent(owner)], 1)
		assert.Equal(t, s.packetsToTargets(), 1)
		assert.Equal(t, s.reporter, fleettest.Agent(owner))
	}
}

// Guards against two services that wait for each other if agents of both cannot
// deny the flow.
func TestServicesInDoubtDoNotWaitForEachOther(t *testing.T) {
	s := newSplitCluster(t, splitRoutes(1, 1))
	s.doubt(0, 1, 2, firstOther, firstOther+1, firstOther+2)
	s.send(0, relay.Packet, heldPacket)
	assert.Equal(t, s.packetsToTargets(), probeBudget)
	assert.Equal(t, s.toTarget[fleettest.Agent(0)]+s.toTarget[fleettest.Agent(1)]+s.toTarget[fleettest.Agent(2)], probeBudget, "probes in both services")
}

// Guards against more probes than the budget by two services together, while an
// agent that may hold the flow does not answer.
func TestServicesShareTheProbeBudget(t *testing.T) {
	s := newSplitCluster(t, splitRoutes(1, 1))
	s.doubt(0, 1, 2, firstOther, firstOther+1)
	delete(s.agents, fleettest.Agent(firstOther+2))
	for now := time.Duration(0); now < 2*time.Second; now += 10 * ms {
		s.tick(now)
		if now%(200*ms) == 0 {
			s.send(0, relay.Packet, heldPacket)
		}
	}
	assert.Equal(t, s.resets, 0)
	assert.Assert(t, s.packetsToTargets() > 0 && s.packetsToTargets() <= probeBudget, "%d probes", s.packetsToTargets())
}

// Guards against the reset of an open flow whose service is no longer named by the
// version that leads its route elsewhere.
func TestFlowStaysWhenItsServiceIsNoLongerNamed(t *testing.T) {
	for owner := byte(firstOther); owner < firstOther+agentsEach; owner++ {
		s := newSplitCluster(t, routesTo(otherService))
		s.openAt(owner)
		view := s.agents[fleettest.Agent(0)].View
		view.Apply(0, &fleet.Delta{Revision: view.Revision(), Config: &fleet.Config{Version: view.Version() + 1, Routes: routesTo(fleettest.Service), Services: []fleet.Service{{Name: fleettest.Service}}}})
		assert.Equal(t, len(view.Targets(otherService)), 0)
		s.send(0, relay.Packet, heldPacket)
		assert.Equal(t, s.resets, 0)
		assert.Equal(t, s.toTarget[fleettest.Agent(owner)], 1)
	}
}

// Guards against the reset of an open flow of a service that the view has forgotten,
// because the address has led to too many services since.
func TestFlowOfForgottenServiceIsNotReset(t *testing.T) {
	const manyServices = 16
	s := newSplitCluster(t, routesTo(otherService))
	s.openAt(firstOther)
	for n := range manyServices {
		s.setRoutes(routesTo(fmt.Sprint("service-", n)))
	}
	s.setRoutes(routesTo(fleettest.Service))
	for range 3 {
		s.send(0, relay.Packet, heldPacket)
		assert.Equal(t, s.resets, 0)
	}
	assert.Equal(t, s.packetsToTargets(), 0)
}
