package fleet

import (
	"math"
	"net/netip"
	"slices"
)

const (
	// maxLoadReceivers bounds the agents of one data centre, and those of all
	// others together, that an agent tells its load. A home chooses among as
	// many targets, which is enough to find a good one, and what an agent
	// sends does not grow with its service.
	maxLoadReceivers = 16
	// sampleThreshold is the number of agents up to which all are told.
	sampleThreshold = 24
)

// LoadReceivers returns the agents to which an agent tells its load: those in its
// data centre and those in others.
func LoadReceivers(targets []*Target, self netip.Addr, dataCentre string) (near, far []netip.Addr) {
	for _, t := range targets {
		switch a := t.Agent(); {
		case a == self:
		case t.DataCentre == dataCentre:
			near = append(near, a)
		default:
			far = append(far, a)
		}
	}
	return sampleRing(near, self), sampleRing(far, self)
}

// sampleRing returns some of the agents if there are many. The agents stand on a
// circle in the order of their hashes, and those at fixed distances from the
// place of self are taken. The distances follow the golden ratio, so they are
// spread over the circle and the agents form no closed groups: the load of a
// part of the circle is known beyond it.
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
