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
	v.uniqueServices(services)
	for i := range services {
		v.uniqueTargetNames(element("services", i), services[i].Targets)
	}
	keys := appendKeys(nil, services)
	slices.Sort(keys)
	if endpoints, _ := repeats(keys); endpoints {
		v.uniqueEndpoints(services)
	}
}

func (v *validator) uniqueServices(services []Service) {
	names, ids, addresses := map[string]int{}, map[uint32]int{}, map[netip.AddrPort]int{}
	for i := range services {
		s := &services[i]
		duplicate(v, names, s.Name, "services", i, "name")
		duplicate(v, ids, s.ID, "services", i, "id")
		duplicate(v, addresses, s.Address, "services", i, "address")
	}
}

func (v *validator) uniqueTargetNames(at string, targets []Target) {
	if sortedStrictly(targets) {
		return
	}
	list, names := field(at, "targets"), make(map[string]int, len(targets))
	for j := range targets {
		duplicate(v, names, targets[j].Name, list, j, "name")
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

// Keys stand for the values that must be unique. They are 64-bit numbers that
// are kept sorted: that takes an eighth of the memory of a map, and a change
// is a merge. Two different values may have the same key, so that a repeated
// key is followed by an exact check.
const (
	// hashedKey marks the key of an IPv6 address. IPv4 addresses are packed.
	hashedKey = 1 << 63
	// serviceKey marks the keys of names, IDs and addresses of services.
	serviceKey = 1<<63 | 1<<62
)

func endpointKey(a netip.AddrPort) uint64 {
	if a.Addr().Is4() {
		ip := a.Addr().As4()
		return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port())
	}
	return xxhash.Sum64(endpointBytes(a))&^serviceKey | hashedKey
}

func endpointBytes(a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

func serviceKeys(keys []uint64, s *Service) []uint64 {
	id := binary.BigEndian.AppendUint32([]byte("id"), s.ID)
	address := append([]byte("address"), endpointBytes(s.Address)...)
	return append(keys, xxhash.Sum64String("name"+s.Name)|serviceKey, xxhash.Sum64(id)|serviceKey, xxhash.Sum64(address)|serviceKey)
}

// appendKeys appends the keys of services, and of their agents and peer links.
func appendKeys(keys []uint64, services []Service) []uint64 {
	for i := range services {
		keys = serviceKeys(keys, &services[i])
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

// replaceKeys returns sorted without removed and with added. All are sorted.
func replaceKeys(sorted, removed, added []uint64) []uint64 {
	out := make([]uint64, 0, len(sorted)-len(removed)+len(added))
	for _, k := range sorted {
		if len(removed) > 0 && removed[0] == k {
			removed = removed[1:]
			continue
		}
		for len(added) > 0 && added[0] <= k {
			out = append(out, added[0])
			added = added[1:]
		}
		out = append(out, k)
	}
	return append(out, added...)
}

// repeats reports whether keys of endpoints or of services occur twice.
func repeats(sorted []uint64) (endpoints, services bool) {
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			ofService := sorted[i]&serviceKey == serviceKey
			endpoints, services = endpoints || !ofService, services || ofService
		}
	}
	return endpoints, services
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
