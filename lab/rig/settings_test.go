package rig

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two callers with the same address, which kept a soak with 336
// callers per zone from starting.
func TestCallerAddressesDiffer(t *testing.T) {
	s := New(Options{SecondOctet: 1})
	seen := map[netip.Addr]bool{}
	const zones, callersPerZone = 4, 1000
	for zone := range zones {
		for n := range callersPerZone {
			a := s.callerAddress(zone, n)
			assert.Assert(t, !seen[a], "address %s is assigned twice", a)
			seen[a] = true
		}
	}
}
