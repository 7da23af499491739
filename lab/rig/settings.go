// Package rig runs a complete packet plane on loopback addresses. Balancers and
// agents are real processes. The platform's store and routers, the targets, the
// callers and the operator are simulated in this process. A run fails if it
// violates a guarantee, which is one of the kinds of packets.Violation.
package rig

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// Ports, the same on all VMs.
const (
	portPackets  = 8172
	portOutbound = 8162
	portReady    = 8167
	portControl  = 8166
	portTarget   = 8165
	portPeer     = 7720
	portStore    = 8169
)

// Durations in the settings and routes of the platform. The suffix is the unit.
const (
	heartbeatMS = 770
	drainMS     = 3000
	stopGraceS  = 6
	flowTTLS    = 60
	idleMS      = 15_000
)

// settingsVariable is the environment variable with the path of a process's
// settings file.
const settingsVariable = "TREFOILWEIR_BOOT"

// writeSettings writes the settings file of a VM in the platform's format and
// returns its path.
func (s *System) writeSettings(m *VM, bootstrap bool) (string, error) {
	withPort := func(port int) string { return netip.AddrPortFrom(m.IP, uint16(port)).String() }
	listen := map[string]string{"datagram-addr": withPort(portPackets), "ready-addr": withPort(portReady)}
	settings := map[string]any{
		"node-name": m.Name, "ip": m.IP.String(), "zone": m.Zone, "region": "r", "listen": listen,
		"internal-ports": []int{portPeer, portPeer + 15}, "bootstrap": bootstrap, "heartbeat-ms": heartbeatMS,
		"seed-nodes": s.seedNodes(),
		"bounds":     map[string]any{"grace-s": stopGraceS, "drain-ms": drainMS, "flow-ttl-s": flowTTLS},
		"platform":   map[string]any{"address": m.proxy.Address()},
	}
	if m.Target == nil && s.UseSeedNodes {
		listen["control"] = withPort(portControl)
	}
	if m.Target != nil {
		listen["outbound"] = withPort(portOutbound)
		settings["app"] = withPort(portTarget)
		settings["service"] = m.Target.Service
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(s.Dir, m.Name+".json")
	return file, os.WriteFile(file, data, 0o644)
}

// seedNodes returns the control addresses of the first balancer of each zone, or
// nil unless UseSeedNodes is set.
func (s *System) seedNodes() (seeds []string) {
	if !s.UseSeedNodes {
		return nil
	}
	for z := range s.Zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.address(zoneOctet+z, 1), portControl))
	}
	return seeds
}

// Third octets of the addresses: of the store, and the first ones of VMs,
// proxies and callers.
const (
	storeOctet  = 9
	zoneOctet   = 10
	proxyOctet  = 40
	callerOctet = 100
)

// octetsPerZone is the number of third octets for the callers of a zone.
// callersPerOctet is the number of callers in each of them.
const (
	octetsPerZone   = 10
	callersPerOctet = 250
)

// callerAddress returns the address of caller n of a zone.
func (s *System) callerAddress(zone, n int) netip.Addr {
	return s.address(callerOctet+zone*octetsPerZone+n/callersPerOctet, 1+n%callersPerOctet)
}

func (s *System) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s.SecondOctet), byte(third), byte(fourth)})
}
