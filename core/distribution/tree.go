package distribution

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"trefoilweir.example/core/config"
)

// Position describes where a process is in the tree of its data centre.
type Position struct {
	// Reader reports that the process polls the platform.
	Reader bool
	// Parents are the peers to poll, in order of preference. A reader has
	// none.
	Parents []Source
}

type ranked struct {
	rank uint64
	name string
}

// PositionOf returns the position of a process according to a list of VMs. The
// VMs of a data centre are ordered by hash. The first Readers VMs poll the
// platform, and the others form a tree below them. Every parent precedes its
// children in the order, so that processes with equal lists form a tree without
// cycles. A leaving VM is never a parent. A process that is not in the list
// comes last.
func PositionOf(vms []config.VM, self, dataCentre string) Position {
	order := ranking(vms, self, dataCentre)
	i, found := slices.BinarySearchFunc(order, rank(dataCentre, self), compareRanked)
	if !found {
		i = len(order)
	}
	if i < Readers {
		return Position{Reader: true}
	}
	first, second := parents(i)
	return Position{Parents: []Source{Source(order[first].name), Source(order[second].name)}}
}

func ranking(vms []config.VM, self, dataCentre string) []ranked {
	order := make([]ranked, 0, len(vms))
	for i := range vms {
		if vms[i].DataCentre == dataCentre && (vms[i].State != config.VMLeaving || vms[i].Name == self) {
			order = append(order, rank(dataCentre, vms[i].Name))
		}
	}
	slices.SortFunc(order, compareRanked)
	return slices.Compact(order)
}

func rank(dataCentre, name string) ranked {
	return ranked{xxhash.Sum64String(dataCentre + "\x00" + name), name}
}

func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.name, b.name))
}

// parents returns the indexes of the parents of index i. The index i must be at
// least Readers. The second parent is a neighbour of the first.
func parents(i int) (first, second int) {
	first = (i - Readers) / FanOut
	if first == 0 {
		return 0, 1
	}
	return first, first - 1
}
