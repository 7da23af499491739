// Package fleettest has a small fleet for tests of decisions: one service with
// one address, and targets that are numbered from 0.
package fleettest

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

// The names of the fleet.
const (
	Service    = "booking"
	DataCentre = "dc"
	// Slots of each target.
	Slots = 4
	// Revision is the first one of a View.
	Revision = 100
	// Version is that of the routes of a View.
	Version = 3
)

// Address is that of the service.
var Address = netip.MustParseAddrPort("198.18.0.1:443")

// Agent returns the address of an agent's VM.
func Agent(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, 10 + n}) }

// Target returns a target. Its ID is a letter.
func Target(n byte, state fleet.TargetState) *fleet.Target {
	return &fleet.Target{
		ID: string('a' + rune(n)), Service: Service, Address: netip.AddrPortFrom(Agent(n), 80),
		DataCentre: DataCentre, Slots: Slots, State: state, StartUnixMS: 1,
	}
}

// Ready returns a number of targets that take flows.
func Ready(count byte) (targets []*fleet.Target) {
	for n := range count {
		targets = append(targets, Target(n, fleet.Ready))
	}
	return targets
}

// View returns a view with a route to the service that was confirmed at a time.
func View(now time.Duration, targets ...*fleet.Target) *fleet.View {
	v := fleet.New()
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

// Key returns the key of a flow to the service from a caller's port.
func Key(port uint16) flow.Key {
	return flow.Key{CallerIP: [4]byte{100, 64, 0, 7}, CallerPort: port, ServiceIP: Address.Addr().As4(), ServicePort: Address.Port()}
}
