// Package fleettest provides a small fleet for tests of the decision machines:
// one service with one address, and targets numbered from 0.
package fleettest

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

// The names, sizes and revisions of the fleet.
const (
	Service    = "booking"
	DataCentre = "dc"
	// Slots is the number of slots of each target.
	Slots = 4
	// Revision is the initial revision of a View.
	Revision = 100
	// Version is the version of the routes of a View.
	Version = 3
)

// Address is the address of the service.
var Address = netip.MustParseAddrPort("198.18.0.1:443")

// Agent returns the address of the VM of agent n.
func Agent(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, 10 + n}) }

// Target returns target n in a state. Its ID is a letter.
func Target(n byte, state fleet.TargetState) *fleet.Target {
	return &fleet.Target{
		ID: string('a' + rune(n)), Service: Service, Address: netip.AddrPortFrom(Agent(n), 80),
		DataCentre: DataCentre, Slots: Slots, State: state, StartUnixMS: 1,
	}
}

// Ready returns count targets that take new flows.
func Ready(count byte) (targets []*fleet.Target) {
	for n := range count {
		targets = append(targets, Target(n, fleet.Ready))
	}
	return targets
}

// View returns a view that was confirmed at the time now, before which no entry
// was removed. It has the targets and one route to the service.
func View(now time.Duration, targets ...*fleet.Target) *fleet.View {
	v := fleet.New()
	v.NothingRemovedBefore(now)
	d := &fleet.Delta{
		Revision: Revision, ConfigRevision: 2,
		Config: &fleet.Config{Version: Version, Routes: []fleet.Route{{Name: "r", Address: Address, Service: Service}}},
	}
	for i, t := range targets {
		d.Changes = append(d.Changes, fleet.Change{ID: t.ID, Revision: uint64(3 + i), Target: t})
	}
	v.Apply(now, d)
	return v
}

// Key returns the key of a flow from a port of a caller to the service.
func Key(port uint16) flow.Key {
	return flow.Key{CallerIP: [4]byte{100, 64, 0, 7}, CallerPort: port, ServiceIP: Address.Addr().As4(), ServicePort: Address.Port()}
}
