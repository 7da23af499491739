package config

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// unique checks that names, IDs and addresses of services and targets are
// unique.
func (v *validator) unique(services []Service) {
	v.uniqueServices(services)
	for i := range services {
		v.uniqueTargetNames(elementPath("services", i), services[i].Targets)
	}
	keys := appendKeys(nil, services)
	slices.Sort(keys)
	if endpoints, _ := findDuplicateKeys(keys); endpoints {
		v.uniqueEndpoints(services)
	}
}

func (v *validator) uniqueServices(services []Service) {
	names, ids, addresses := map[string]int{}, map[uint32]int{}, map[netip.AddrPort]int{}
	for i := range services {
		s := &services[i]
		checkDuplicate(v, names, s.Name, "services", i, "name")
		checkDuplicate(v, ids, s.ID, "services", i, "id")
		checkDuplicate(v, addresses, s.Address, "services", i, "address")
	}
}

func (v *validator) uniqueTargetNames(path string, targets []Target) {
	if strictlySorted(targets) {
		return
	}
	list, names := fieldPath(path, "targets"), make(map[string]int, len(targets))
	for j := range targets {
		checkDuplicate(v, names, targets[j].Name, list, j, "name")
	}
}

func strictlySorted(targets []Target) bool {
	for i := 1; i < len(targets); i++ {
		if targets[i-1].Name >= targets[i].Name {
			return false
		}
	}
	return true
}

// A key is a 64-bit number that represents a value which must be unique. Keys
// are kept in a sorted slice. It takes an eighth of the memory of a map, and
// an update is a merge. Two different values may have the same key, so an
// exact check follows if a key occurs twice.
const (
	// hashedKeyBit is set in the keys of IPv6 addresses, which are hashes. The
	// keys of IPv4 addresses hold the address and port themselves.
	hashedKeyBit = 1 << 63
	// serviceKeyBits are set in the keys of names, IDs and addresses of
	// services.
	serviceKeyBits = 1<<63 | 1<<62
)

func endpointKey(a netip.AddrPort) uint64 {
	if a.Addr().Is4() {
		ip := a.Addr().As4()
		return uint64(binary.BigEndian.Uint32(ip[:]))<<16 | uint64(a.Port())
	}
	return xxhash.Sum64(encodeEndpoint(a))&^serviceKeyBits | hashedKeyBit
}

func encodeEndpoint(a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	return binary.BigEndian.AppendUint16(ip[:], a.Port())
}

func appendServiceKeys(keys []uint64, s *Service) []uint64 {
	id := binary.BigEndian.AppendUint32([]byte("id"), s.ID)
	address := append([]byte("address"), encodeEndpoint(s.Address)...)
	return append(keys, xxhash.Sum64String("name"+s.Name)|serviceKeyBits, xxhash.Sum64(id)|serviceKeyBits, xxhash.Sum64(address)|serviceKeyBits)
}

// appendKeys appends the keys of services and of the agent and peer addresses
// of their targets.
func appendKeys(keys []uint64, services []Service) []uint64 {
	for i := range services {
		keys = appendServiceKeys(keys, &services[i])
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

// replaceKeys returns a copy of sorted without the keys in removed and with
// those in added. All slices are sorted.
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

// findDuplicateKeys reports whether any key of an endpoint or of a service
// occurs twice.
func findDuplicateKeys(sorted []uint64) (endpoints, services bool) {
	for i := 1; i < len(sorted); i++ {
		if sorted[i] == sorted[i-1] {
			isService := sorted[i]&serviceKeyBits == serviceKeyBits
			endpoints, services = endpoints || !isService, services || isService
		}
	}
	return endpoints, services
}

// uniqueEndpoints adds an error for each agent or peer address that occurs
// twice. One check covers both, because both use UDP.
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
			targetPath := fmt.Sprintf("services[%d].targets[%d]", i, j)
			check(services[i].Targets[j].Agent, fieldPath(targetPath, "agent"))
			check(services[i].Targets[j].Peer, fieldPath(targetPath, "peer"))
		}
	}
}
