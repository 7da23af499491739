package fleet

import (
	"math"
	"net/netip"
	"slices"
)

const (
	// maxLoadReceivers bounds the agents to which an agent sends its load, in
	// its own data centre and in all others together. A home then chooses among
	// about as many targets, enough to find a good one, and the traffic that an
	// agent sends does not grow with its service.
	maxLoadReceivers = 16
	// sampleThreshold is the number of agents up to which all get the load.
	sampleThreshold = 24
)

// LoadReceivers returns the agents to which an agent sends its load: local are
// in its data centre, remote are in others.
func LoadReceivers(targets []*Target, self netip.Addr, dataCentre string) (local, remote []netip.Addr) {
	for _, t := range targets {
		switch a := t.Agent(); {
		case a == self:
		case t.DataCentre == dataCentre:
			local = append(local, a)
		default:
			remote = append(remote, a)
		}
	}
	return sampleRing(local, self), sampleRing(remote, self)
}

// sampleRing returns a sample of the agents if there are more than
// sampleThreshold. It places the agents on a ring in the order of their hashes
// and takes those at fixed distances from the position of self. The distances
// follow the golden ratio, so they cover the whole ring, and the agents form no
// closed groups that know nothing of each other's load.
func sampleRing(agents []netip.Addr, self netip.Addr) []netip.Addr {
	if len(agents) <= sampleThreshold {
		return agents
	}
	slices.SortFunc(agents, compareByHash)
	start, _ := slices.BinarySearchFunc(agents, self, compareByHash)
	chosen := make([]netip.Addr, 0, maxLoadReceivers)
	for i := range maxLoadReceivers {
		_, part := math.Modf(float64(i) * math.Phi)
		a := agents[(start+int(part*float64(len(agents))))%len(agents)]
		if !slices.Contains(chosen, a) {
			chosen = append(chosen, a)
		}
	}
	return chosen
}
