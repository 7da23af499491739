package dispatch

import (
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

// drainedView has targets 0 and 1 in data centre dc, 2 and 3 in east, and requests
// to drain some data centres.
func drainedView(drained ...string) *fleet.View {
	targets := fleettest.Ready(4)
	targets[2].DataCentre, targets[3].DataCentre = "east", "east"
	v := fleettest.View(0, targets...)
	drain(v, drained...)
	return v
}

func drain(v *fleet.View, names ...string) {
	s := &fleet.Drains{Revision: v.Revision() + 1}
	for _, name := range names {
		s.Requests = append(s.Requests, fleet.DrainRequest{DataCentre: name, Revision: s.Revision})
	}
	v.Apply(0, &fleet.Delta{Revision: s.Revision, Drains: s})
}

func refusals(out *plane.Out) (reasons []string) {
	for _, e := range out.Events {
		if e.Kind == plane.EventRefused {
			reasons = append(reasons, e.Reason)
		}
	}
	return reasons
}

// Guards against a home in a drained data centre that has not learned of the drain
// and gives new flows to its own target, and against packets of open flows that
// miss the record of their home.
func TestHomesOfNewFlowsAreNotDrained(t *testing.T) {
	m := New(self, "dc", flowtest.Codec{}, drainedView("dc"))
	east := []netip.Addr{fleettest.Agent(2), fleettest.Agent(3)}
	for port := range uint16(30) {
		var out plane.Out
		m.FromCaller(0, openPacket(port, 0), &out)
		assert.Assert(t, slices.Contains(east, out.Sends[0].To))
		out.Clear()
		m.FromCaller(0, dataPacket(100+port), &out)
		assert.Assert(t, !slices.Contains(east, out.Sends[0].To))
	}
}

// Guards against new flows that wait for an answer although every data centre is
// drained, against the reset of one that a target may have accepted, and against
// refusals because of a view that may be out of date.
func TestAllDrained(t *testing.T) {
	v := drainedView()
	m := New(self, "dc", flowtest.Codec{}, v)
	var out plane.Out
	m.FromCaller(0, openPacket(1, 0), &out)
	m.FromCaller(0, openPacket(2, 0), &out)
	m.FromPeer(ms, fleettest.Agent(2), &relay.Message{Kind: relay.Owner, Flow: fleettest.Key(2)}, &out)
	drain(v, "dc", "east")
	out.Clear()
	m.FromCaller(2*ms, openPacket(3, 0), &out)
	assert.Equal(t, len(out.ToCaller), 1)
	assert.DeepEqual(t, refusals(&out), []string{"drained"})
	out.Clear()
	// A copy, and duplicates of packets that were forwarded.
	m.FromCaller(2*ms, openPacket(4, 1), &out)
	m.FromCaller(2*ms, openPacket(1, 0), &out)
	m.FromCaller(2*ms, openPacket(2, 0), &out)
	m.FromCaller(2*ms, flowtest.Encode(flow.Packet{Key: fleettest.Key(2), Seq: 101, Ack: 1, Len: 10}), &out)
	assert.Equal(t, len(out.ToCaller), 0)
	assert.Equal(t, len(out.Sends), 3)
	out.Clear()
	m.FromCaller(maxFreshAge+ms, openPacket(5, 0), &out)
	assert.Equal(t, len(out.ToCaller), 0)
	assert.Equal(t, len(out.Sends), 1)
	drain(v, "dc")
	out.Clear()
	m.FromCaller(maxFreshAge+ms, openPacket(6, 0), &out)
	assert.Equal(t, len(out.ToCaller), 0)
}

// Guards against a second home that refuses a flow which the first one has given to
// a target: the report of its owner was lost.
func TestNextHomeKnowsOfTheFirst(t *testing.T) {
	m := New(self, "dc", flowtest.Codec{}, drainedView())
	var out plane.Out
	m.FromCaller(0, openPacket(1, 0), &out)
	first := out.Sends[0]
	assert.Assert(t, !first.Message.RefusedBy.IsValid())
	out.Clear()
	m.Tick(maxHomeTimeout, &out)
	assert.Equal(t, out.Sends[0].Message.RefusedBy, first.To)
	assert.Assert(t, out.Sends[0].To != first.To)
}

// Guards against targets that are expected to be listed again and are refused for,
// because those that are listed are drained.
func TestLapsedTargetsOutsideDrainedDataCentre(t *testing.T) {
	v := drainedView("dc")
	v.RecordDisturbance(time.Second)
	v.Apply(time.Second, &fleet.Delta{Revision: 300, Changes: []fleet.Change{{ID: "c", Revision: 300}, {ID: "d", Revision: 300}}})
	m := New(self, "dc", flowtest.Codec{}, v)
	var out plane.Out
	m.FromCaller(time.Second, openPacket(1, 0), &out)
	assert.Equal(t, len(out.ToCaller), 0)
	assert.Equal(t, len(out.Sends), 1)
}

// Guards against new flows of a route whose allowed regions have no target that may
// get them, and that wait for an answer.
func TestNoTargetInAllowedRegions(t *testing.T) {
	v := drainedView()
	regions := func(version uint64, allowed ...string) {
		v.Apply(0, &fleet.Delta{Revision: v.Revision() + 1, ConfigRevision: v.Revision() + 1, Config: &fleet.Config{Version: version,
			Routes: []fleet.Route{{Name: "r", Address: fleettest.Address, Service: fleettest.Service, AllowedRegions: allowed}}}})
	}
	v.SetRegions(map[string]string{"dc": "north", "east": "south"})
	m := New(self, "dc", flowtest.Codec{}, v)
	outcome := func(port uint16) []string {
		var out plane.Out
		m.FromCaller(0, openPacket(port, 0), &out)
		assert.Equal(t, len(out.Sends)+len(out.ToCaller), 1)
		return refusals(&out)
	}
	regions(10, "south")
	assert.Equal(t, len(outcome(1)), 0)
	drain(v, "east")
	assert.DeepEqual(t, outcome(2), []string{"drained"})
	regions(11, "elsewhere")
	assert.DeepEqual(t, outcome(3), []string{"region_not_allowed"})
	regions(12, "elsewhere", "north")
	assert.Equal(t, len(outcome(4)), 0)
}
