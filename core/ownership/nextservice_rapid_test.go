package ownership

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"trefoilweir.example/core/dispatch"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// routeSim is a cluster of two services with a balancer, whose routes change.
type routeSim struct {
	*cluster
	balancer *dispatch.Machine
	// owners are the agents whose targets hold the open flows.
	owners map[flow.Key]netip.Addr
	opened uint16
}

func (s *routeSim) restartBalancer() {
	s.balancer = dispatch.New(balancer, "dc-0", flowtest.Codec{}, s.agents[fleettest.Agent(0)].View)
}

// fromCaller gives the balancer a packet and returns the agents whose targets
// got it.
func (s *routeSim) fromCaller(p flow.Packet) (receivers []netip.Addr) {
	clear(s.toTarget)
	var out plane.Out
	s.balancer.FromCaller(0, flowtest.Encode(p), &out)
	for _, send := range out.Sends {
		s.deliver(balancer, send.To, send.Message)
	}
	s.reportToBalancer()
	for a, count := range s.toTarget {
		for range count {
			receivers = append(receivers, a)
		}
	}
	return receivers
}

func (s *routeSim) reportToBalancer() {
	if s.reported.Kind == relay.Owner {
		var out plane.Out
		s.balancer.FromPeer(0, s.reporter, &s.reported, &out)
	}
	s.reported = relay.Message{}
}

// open opens a flow at the target that the agents choose, if the address has a
// route.
func (s *routeSim) open(t *rapid.T) {
	s.opened++
	key := fleettest.Key(s.opened)
	for _, a := range s.fromCaller(flow.Packet{Key: key, Open: true, Seq: 100}) {
		var out plane.Out
		s.agents[a].FromTarget(0, flowtest.Encode(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101}), &out)
		for _, send := range out.Sends {
			s.deliver(a, send.To, send.Message)
		}
		s.reportToBalancer()
		assert.Equal(t, s.owners[key], netip.Addr{})
		s.owners[key] = a
	}
}

// Guards against open flows that are reset, lose packets or have packets at
// other targets, in any order of changes of their route, restarts of the
// balancer and losses of records.
func TestOpenFlowsStayWhereTheyAre(t *testing.T) {
	versions := [][]fleet.Route{splitRoutes(1, 1), splitRoutes(1, 9), splitRoutes(9, 1), splitRoutes(1, 0), routesTo(fleettest.Service), routesTo(otherService), nil}
	rapid.Check(t, func(t2 *rapid.T) {
		s := &routeSim{cluster: newSplitCluster(t, versions[0]), owners: map[flow.Key]netip.Addr{}}
		s.restartBalancer()
		for range rapid.IntRange(1, 40).Draw(t2, "steps") {
			switch rapid.SampledFrom([]string{"open", "packet", "packet", "version", "balancer", "records"}).Draw(t2, "step") {
			case "open":
				s.open(t2)
			case "packet":
				key := fleettest.Key(rapid.Uint16Range(1, s.opened+1).Draw(t2, "flow"))
				if owner, ok := s.owners[key]; ok {
					receivers := s.fromCaller(flow.Packet{Key: key, Seq: 111, Ack: 5001, Len: 10})
					assert.Assert(t2, slices.Equal(receivers, []netip.Addr{owner}), "%s, want %s", receivers, owner)
				}
			case "version":
				s.setRoutes(rapid.SampledFrom(versions).Draw(t2, "routes"))
			case "balancer":
				s.restartBalancer()
			case "records":
				clear(s.agents[fleettest.Agent(rapid.SampledFrom([]byte{0, 1, 2, firstOther, firstOther + 1, firstOther + 2}).Draw(t2, "agent"))].records)
			}
			assert.Equal(t2, s.resets, 0)
		}
	})
}
