package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the tree that distributes changes.
const (
	// Readers is the number of agents that watch the platform. The loss of one
	// has no effect on the others.
	Readers = 2
	// gatewaysPerDataCentre is the number of agents of a data centre that get
	// changes from another one. All others get them within the data centre.
	gatewaysPerDataCentre = 2
	// fanOut is the number of agents with the same first parent.
	fanOut = 8
	// WatchTimeout is how long a reader's watch waits for a change. The view
	// of a reader reaches this age.
	WatchTimeout = time.Second
	// takeoverAge is the age of its view at which a gateway calls the platform
	// itself. takeoverPerLevel is the additional age for each level below: with
	// each level, a view gets older by the time between two requests to a parent.
	takeoverAge      = 1900 * time.Millisecond
	takeoverPerLevel = 400 * time.Millisecond
	// takeoverPerRank is the additional age for each rank in the order of a data
	// centre, so that the processes take over one after the other.
	// maxTakeoverSpread bounds the sum.
	takeoverPerRank   = 20 * time.Millisecond
	maxTakeoverSpread = 500 * time.Millisecond
)

// Member is a process that may distribute changes to others.
type Member struct {
	VM         netip.Addr
	DataCentre string
}

// Position is the position of a process in the tree that distributes changes.
type Position struct {
	// Reader says that the process watches the platform. Standby marks a
	// reader that gets changes sooner from another reader. Gateway says that
	// the process gets changes from other data centres.
	Reader, Standby, Gateway bool
	// Parents are the processes from which the process requests the age of
	// their view. They are empty if no agent is known.
	Parents []netip.Addr
	// TakeoverAge is the age of its view at which the process calls the platform
	// itself.
	TakeoverAge time.Duration
}

// PositionOf returns the position of a process. The agents of all listed targets
// are ordered by hash. The readers are the first agent of all and the first one
// in another data centre. In each data centre the first agents are gateways, whose
// parents are the readers. The others form a tree below the gateways, so a
// change enters a data centre once for each gateway. A process that is not
// among the agents is placed below some of them. As long as no target is
// listed, the seeds are the readers, and they are the parents of all others.
func PositionOf(agents []Member, seeds []netip.Addr, self Member) Position {
	if len(agents) == 0 {
		return positionWithoutAgents(seeds, self.VM)
	}
	order := slices.Clone(agents)
	slices.SortFunc(order, func(a, b Member) int { return compareByHash(a.VM, b.VM) })
	readers := readersOf(order)
	switch slices.Index(readers, self.VM) {
	case 0:
		return Position{Reader: true, Gateway: true}
	case 1:
		return Position{Reader: true, Standby: true, Gateway: true, Parents: readers[:1]}
	}
	local := localOrder(order, readers, self.DataCentre)
	i := slices.Index(local, self.VM)
	if i >= 0 && i < gatewaysPerDataCentre {
		return Position{Gateway: true, Parents: readers, TakeoverAge: takeoverAge + time.Duration(i)*takeoverPerRank}
	}
	if len(local) == 0 {
		// No agent is in this data centre.
		return Position{Gateway: true, Parents: readers, TakeoverAge: takeoverAge + takeoverPerLevel}
	}
	if i < 0 {
		i = gatewaysPerDataCentre + int(hashOf(self.VM)%uint64(max(1, len(local)-gatewaysPerDataCentre)))
	}
	level, first := 1, (i-gatewaysPerDataCentre)/fanOut
	for up := first; up >= gatewaysPerDataCentre; up = (up - gatewaysPerDataCentre) / fanOut {
		level++
	}
	p := Position{TakeoverAge: takeoverAge + time.Duration(level)*takeoverPerLevel + min(maxTakeoverSpread, time.Duration(i)*takeoverPerRank)}
	for _, at := range []int{first, first + 1} {
		if at < len(local) && at < max(i, gatewaysPerDataCentre) && local[at] != self.VM {
			p.Parents = append(p.Parents, local[at])
		}
	}
	return p
}

// readersOf returns the readers, in two data centres if there are agents in
// several.
func readersOf(order []Member) []netip.Addr {
	readers := []netip.Addr{order[0].VM}
	for _, elsewhere := range []bool{true, false} {
		for _, a := range order[1:] {
			if len(readers) < Readers && (a.DataCentre != order[0].DataCentre || !elsewhere) {
				readers = append(readers, a.VM)
			}
		}
	}
	return readers
}

// localOrder returns the agents of a data centre in the given order, readers
// first.
func localOrder(order []Member, readers []netip.Addr, dataCentre string) []netip.Addr {
	var local []netip.Addr
	for _, reader := range []bool{true, false} {
		for _, a := range order {
			if a.DataCentre == dataCentre && slices.Contains(readers, a.VM) == reader {
				local = append(local, a.VM)
			}
		}
	}
	return local
}

func positionWithoutAgents(seeds []netip.Addr, self netip.Addr) Position {
	if slices.Contains(seeds, self) {
		return Position{Reader: true, Gateway: true}
	}
	spread := time.Duration(hashOf(self) % uint64(maxTakeoverSpread))
	return Position{Gateway: true, Parents: seeds, TakeoverAge: takeoverAge + spread}
}

// compareByHash compares addresses by their hashes.
func compareByHash(a, b netip.Addr) int {
	return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), a.Compare(b))
}

func hashOf(a netip.Addr) uint64 {
	ip := a.As4()
	return xxhash.Sum64(ip[:])
}
