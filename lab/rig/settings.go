// Package rig runs a whole system of the packet plane on loopback addresses:
// real balancers and agents as processes, and in this process a stand-in of
// the platform's store and routers, targets, callers and the operator.
package rig

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
)

// Ports are the same on all machines.
const (
	portPackets  = 8172
	portOutbound = 8162
	portReady    = 8167
	portControl  = 8166
	portTarget   = 8165
	portPeer     = 7720
	portStore    = 8169
)

// Times of the platform, in the units of its settings.
const (
	heartbeatMS = 770
	drainMS     = 3000
	stopGraceS  = 6
	flowTTLS    = 60
	idleMS      = 15_000
)

// settingsVariable names the settings file of a process.
const settingsVariable = "TREFOILWEIR_BOOT"

// writeSettings writes the settings file of a machine in the platform's
// format.
func (s *System) writeSettings(m *VM, bootstrap bool) (string, error) {
	at := func(port int) string { return netip.AddrPortFrom(m.IP, uint16(port)).String() }
	listen := map[string]string{"datagram-addr": at(portPackets), "ready-addr": at(portReady)}
	settings := map[string]any{
		"node-name": m.Name, "ip": m.IP.String(), "zone": m.Zone, "region": "r", "listen": listen,
		"internal-ports": []int{portPeer, portPeer + 15}, "bootstrap": bootstrap, "heartbeat-ms": heartbeatMS,
		"seed-nodes": s.seedNodes(),
		"bounds":     map[string]any{"grace-s": stopGraceS, "drain-ms": drainMS, "flow-ttl-s": flowTTLS},
		"platform":   map[string]any{"address": m.proxy.Address()},
	}
	if m.Target == nil && s.UseSeedNodes {
		listen["control"] = at(portControl)
	}
	if m.Target != nil {
		listen["outbound"] = at(portOutbound)
		settings["app"] = at(portTarget)
		settings["service"] = m.Target.Service
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return "", err
	}
	file := filepath.Join(s.Dir, m.Name+".json")
	return file, os.WriteFile(file, data, 0o644)
}

// seedNodes are the first balancers of the zones, if the system has seedNodes.
func (s *System) seedNodes() (seeds []string) {
	if !s.UseSeedNodes {
		return nil
	}
	for z := range s.Zones {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.address(zoneOctet+z, 1), portControl))
	}
	return seeds
}

// Third octets of the addresses by use.
const (
	storeOctet  = 9
	zoneOctet   = 10
	proxyOctet  = 40
	callerOctet = 100
)

// octetsPerZone is the number of third octets for the callers of a zone, and
// callersPerOctet the number of callers in each.
const (
	octetsPerZone   = 10
	callersPerOctet = 250
)

// callerAddress returns the address of a caller of a zone.
func (s *System) callerAddress(zone, n int) netip.Addr {
	return s.address(callerOctet+zone*octetsPerZone+n/callersPerOctet, 1+n%callersPerOctet)
}

func (s *System) address(third, fourth int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, byte(s.SecondOctet), byte(third), byte(fourth)})
}
