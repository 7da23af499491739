package fleet

import (
	"fmt"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// agentsIn returns agents that are assigned to the data centres in turn.
func agentsIn(agents, dataCentres int) (members []Member) {
	for i := range agents {
		members = append(members, Member{netip.AddrFrom4([4]byte{10, byte(i % dataCentres), byte(i / 250), byte(i%250 + 1)}), fmt.Sprint("dc-", i%dataCentres)})
	}
	return members
}

// Guards against too few or too many readers, and against processes whose chain
// of parents does not lead to a reader.
func TestPositions(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10, 300} {
		for _, dataCentres := range []int{1, 3, 5} {
			agents := agentsIn(n, dataCentres)
			positions, readers, standbys := map[netip.Addr]Position{}, 0, 0
			for _, a := range agents {
				positions[a.VM] = PositionOf(agents, nil, a)
				if positions[a.VM].Reader {
					readers++
				}
				if positions[a.VM].Standby {
					standbys++
				}
			}
			assert.Equal(t, readers, min(n, Readers))
			assert.Equal(t, standbys, readers-1)
			balancers := []Member{{netip.MustParseAddr("10.9.9.9"), "dc-0"}, {netip.MustParseAddr("10.9.9.8"), "dc-9"}}
			for _, a := range append(balancers, agents...) {
				steps, childAge := 0, PositionOf(agents, nil, a).TakeoverAge
				for p := PositionOf(agents, nil, a); !p.Reader; p = positions[p.Parents[0]] {
					assert.Assert(t, len(p.Parents) > 0)
					assert.Assert(t, p.TakeoverAge <= childAge, "a parent takes over after its child")
					childAge = p.TakeoverAge
					steps++
					assert.Assert(t, steps < 6)
				}
			}
		}
	}
}

// Guards against changes that enter a data centre once for each process in it.
func TestFewRequestsCrossDataCentres(t *testing.T) {
	for _, n := range []int{30, 300} {
		const dataCentres = 5
		agents := agentsIn(n, dataCentres)
		dataCentreOf, crossing := map[netip.Addr]string{}, 0
		for _, a := range agents {
			dataCentreOf[a.VM] = a.DataCentre
		}
		for _, a := range agents {
			p := PositionOf(agents, nil, a)
			for _, parent := range p.Parents {
				if dataCentreOf[parent] != a.DataCentre {
					assert.Assert(t, p.Gateway)
					crossing++
				}
			}
		}
		assert.Assert(t, crossing <= dataCentres*gatewaysPerDataCentre*Readers, "%d links to a parent cross data centres", crossing)
	}
}

// Guards against two readers that the loss of one data centre takes down.
func TestReadersInTwoDataCentres(t *testing.T) {
	agents := agentsIn(30, 3)
	readers := map[string]bool{}
	for _, a := range agents {
		if PositionOf(agents, nil, a).Reader {
			readers[a.DataCentre] = true
		}
	}
	assert.Equal(t, len(readers), Readers)
}

// Guards against a start of the whole system in which every process reads the
// platform because no target is listed yet.
func TestPositionsBeforeTheFirstTarget(t *testing.T) {
	seeds := []netip.Addr{netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")}
	assert.Assert(t, PositionOf(nil, seeds, Member{VM: seeds[0]}).Reader)
	p := PositionOf(nil, seeds, Member{VM: netip.MustParseAddr("10.0.0.9")})
	assert.Assert(t, !p.Reader)
	assert.Equal(t, len(p.Parents), 2)
	assert.Assert(t, p.TakeoverAge >= takeoverAge)
}

// Guards against a number of children of one process, and so of its
// connections, that grows with the fleet.
func TestFewAskOneProcess(t *testing.T) {
	const dataCentres = 5
	const most = 4*fanOut + gatewaysPerDataCentre*dataCentres
	for _, n := range []int{30, 300, 1500} {
		agents := agentsIn(n, dataCentres)
		children := map[netip.Addr]int{}
		for i := range n + n/2 {
			self := Member{netip.AddrFrom4([4]byte{10, 200, byte(i / 250), byte(i % 250)}), fmt.Sprint("dc-", i%dataCentres)}
			if i < n {
				self = agents[i]
			}
			for _, parent := range PositionOf(agents, nil, self).Parents {
				children[parent]++
			}
		}
		for parent, count := range children {
			assert.Assert(t, count <= most, "%d agents: %d children of %s", n, count, parent)
		}
	}
}
