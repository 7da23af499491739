package rig

import (
	"net/netip"
	"time"

	"trefoilweir.example/lab/packets"
)

// routeActivationLimit is how long after its publication a version is in force at all
// balancers.
const routeActivationLimit = 3 * time.Second

// CheckRoutes adds a route and removes another, and after the limit asks each
// balancer for both. A balancer that handles either as before breaks the
// promise.
func (s *System) CheckRoutes(added, removed netip.AddrPort, service string) error {
	s.SetRoute(added, service)
	s.SetRoute(removed, "")
	time.Sleep(routeActivationLimit)
	for i, b := range s.Balancers() {
		to := netip.AddrPortFrom(b.IP, portPackets)
		route := func(netip.AddrPort, netip.AddrPort) netip.AddrPort { return to }
		c, err := packets.StartCaller(netip.AddrPortFrom(s.callerAddress(len(s.Zones), i), portPackets), route, s.Journal)
		if err != nil {
			return err
		}
		s.checkRoute(b, c, added, packets.Answered)
		s.checkRoute(b, c, removed, packets.NotRun)
		c.Close()
	}
	return nil
}

func (s *System) checkRoute(b *VM, c *packets.Caller, address netip.AddrPort, want packets.Outcome) {
	f, outcome := c.Open(address, time.Now().Add(2*time.Second))
	if outcome == packets.Answered {
		f.Close()
	}
	if outcome != want {
		s.Journal.Violate(packets.OldRoute, "%s: opening a flow to %s ended with %s, want %s", b.Name, address, outcome, want)
	}
}
