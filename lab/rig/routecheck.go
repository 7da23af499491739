package rig

import (
	"net/netip"
	"time"

	"trefoilweir.example/lab/packets"
)

// routeActivationLimit is the time within which all balancers must apply a
// published version of the routes.
const routeActivationLimit = 3 * time.Second

// CheckRoutes adds a route and removes another. After routeActivationLimit it
// opens a flow to both at each balancer, and records a violation for each
// balancer that still uses the old routes.
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
		s.Journal.RecordViolation(packets.OldRoute, "%s: opening a flow to %s ended with %s, want %s", b.Name, address, outcome, want)
	}
}
