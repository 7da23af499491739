package config

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// unique checks what must differ across services and targets.
func (v *validator) unique(services []Service) {
	names, ids, addresses := map[string]int{}, map[uint32]int{}, map[netip.AddrPort]int{}
	for i := range services {
		s := &services[i]
		duplicate(v, names, s.Name, "services", i, "name")
		duplicate(v, ids, s.ID, "services", i, "id")
		duplicate(v, addresses, s.Address, "services", i, "address")
	}
	v.uniqueTargetNames(services)
	if endpointsMayRepeat(services) {
		v.uniqueEndpoints(services)
	}
}

func (v *validator) uniqueTargetNames(services []Service) {
	for i := range services {
		targets := services[i].Targets
		if sortedStrictly(targets) {
			continue
		}
		list, names := field(element("services", i), "targets"), make(map[string]int, len(targets))
		for j := range targets {
			duplicate(v, names, targets[j].Name, list, j, "name")
		}
	}
}

func sortedStrictly(targets []Target) bool {
	for i := 1; i < len(targets); i++ {
		if targets[i-1].Name >= targets[i].Name {
			return false
		}
	}
	return true
}

// endpointKey packs an IPv4 address and port exactly. An IPv6 address is
// hashed, with the top bit set; a collision costs one exact check.
func endpointKey(a netip.AddrPort) uint64 {
	if a.Addr().Is4() {
		ip := a.Addr().As4()
		return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port())
	}
	const hashed = 1 << 63
	var buf [18]byte
	ip := a.Addr().As16()
	copy(buf[:], ip[:])
	binary.BigEndian.PutUint16(buf[16:], a.Port())
	return xxhash.Sum64(buf[:]) | hashed
}

// appendEndpoints appends the keys of all agents and peer links of services.
func appendEndpoints(keys []uint64, services []Service) []uint64 {
	for i := range services {
		for j := range services[i].Targets {
			t := &services[i].Targets[j]
			if t.Agent.IsValid() {
				keys = append(keys, endpointKey(t.Agent))
			}
			if t.Peer.IsValid() {
				keys = append(keys, endpointKey(t.Peer))
			}
		}
	}
	return keys
}

// endpointsMayRepeat sorts keys instead of filling a map, which takes an
// eighth of the memory.
func endpointsMayRepeat(services []Service) bool {
	n := 0
	for i := range services {
		n += 2 * len(services[i].Targets)
	}
	keys := appendEndpoints(make([]uint64, 0, n), services)
	slices.Sort(keys)
	return repeats(keys)
}

func repeats(sorted []uint64) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			return true
		}
	}
	return false
}

// uniqueEndpoints names the addresses that occur twice. Agents and peer links
// share one check, because both use UDP.
func (v *validator) uniqueEndpoints(services []Service) {
	seen := map[netip.AddrPort]string{}
	check := func(a netip.AddrPort, path string) {
		if !a.IsValid() {
			return
		}
		if first, ok := seen[a]; ok {
			v.errs.Addf(path, "%s is also the address of %s", a, first)
			return
		}
		seen[a] = path
	}
	for i := range services {
		for j := range services[i].Targets {
			at := fmt.Sprintf("services[%d].targets[%d]", i, j)
			check(services[i].Targets[j].Agent, field(at, "agent"))
			check(services[i].Targets[j].Peer, field(at, "peer"))
		}
	}
}
