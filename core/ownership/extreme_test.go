package ownership

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Guards against entries of another writer with extreme numbers that keep flows from
// being placed: with the largest number of slots every flow waited, because the sum of
// the slots and the flows beyond them overflowed. A reader passes on only targets that
// can be used.
func TestPlacementWithExtremeEntries(t *testing.T) {
	day := int((24 * time.Hour).Milliseconds())
	for name, change := range map[string]func(*fleet.Target){
		"most slots":       func(x *fleet.Target) { x.Slots = math.MaxInt },
		"usable slots":     func(x *fleet.Target) { x.Slots = math.MaxUint16 },
		"no slots":         func(x *fleet.Target) { x.Slots = 0 },
		"fewest slots":     func(x *fleet.Target) { x.Slots = math.MinInt },
		"endless warm-up":  func(x *fleet.Target) { x.WarmupMS = math.MaxInt },
		"usable warm-up":   func(x *fleet.Target) { x.WarmupMS = day },
		"negative warm-up": func(x *fleet.Target) { x.WarmupMS = math.MinInt },
		"latest start":     func(x *fleet.Target) { x.StartUnixMS = math.MaxInt64 },
		"earliest start":   func(x *fleet.Target) { x.StartUnixMS = math.MinInt64 },
	} {
		f := newFixture(t, true)
		odd := fleettest.Target(0, fleet.Ready)
		odd.ID = "x"
		change(odd)
		d := &fleet.Delta{Revision: fleettest.Revision + 1, Changes: []fleet.Change{{ID: odd.ID, Revision: fleettest.Revision + 1, Target: odd}}}
		d.DropUnusableTargets(time.UnixMilli(2))
		f.View.Apply(0, d)
		f.advance(ms)
		assert.Assert(t, !f.full(), name)
		assert.Assert(t, f.slots() >= 1 && f.Load().Slots >= 1, name)
		for port := uint16(1); port <= fleettest.Slots; port++ {
			f.openFlow(port)
		}
		to, ok := f.choose(f.now, fleettest.Key(9), nil)
		assert.Assert(t, ok && to.IsValid(), name)
		f.balancerSends(relay.Open, flow.Packet{Key: fleettest.Key(10), Open: true, Seq: 1})
		assert.Assert(t, len(f.out.Sends)+len(f.out.ToTarget) > 0, name)
	}
}

// Guards against a placement that does not end, or misses the others, with one extreme
// entry among 500.
func TestPlacementAmongManyWithAnExtremeEntry(t *testing.T) {
	const others = 500
	f := newFixture(t, true)
	d := &fleet.Delta{Revision: fleettest.Revision + others}
	for n := range others {
		x := fleettest.Target(byte(n), fleet.Ready)
		ip := x.Address.Addr().As4()
		ip[2] = byte(1 + n>>8)
		x.ID, x.Address = fmt.Sprint("t", n), netip.AddrPortFrom(netip.AddrFrom4(ip), 80)
		d.Changes = append(d.Changes, fleet.Change{ID: x.ID, Revision: uint64(fleettest.Revision + 1 + n), Target: x})
	}
	d.Changes[0].Target.Slots = math.MaxInt
	assert.Equal(t, d.DropUnusableTargets(time.UnixMilli(2)), 1)
	f.View.Apply(0, d)
	for i := range d.Changes[1:] {
		f.FromPeer(f.now, d.Changes[i+1].Target.Agent(), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent, Slots: fleettest.Slots}}, &f.out)
	}
	chosen := map[netip.Addr]bool{}
	for range 2000 {
		f.placed.Add(f.now)
	}
	for port := uint16(1); port <= others; port++ {
		to, ok := f.choose(f.now, fleettest.Key(port), nil)
		assert.Assert(t, ok)
		chosen[to] = true
	}
	assert.Assert(t, len(chosen) > others/10, "%d targets were chosen", len(chosen))
}
