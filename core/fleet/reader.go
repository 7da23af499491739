package fleet

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and numbers of the way in which views spread.
const (
	// Readers is how many agents watch the platform. The loss of one is
	// noticed by nobody.
	Readers = 2
	// gatewaysPerDataCentre is how many agents of a data centre get changes from another
	// one. All others get them within the data centre.
	gatewaysPerDataCentre = 2
	// fanOut is how many agents ask one parent on average.
	fanOut = 8
	// WatchTimeout is how long a watch of a reader waits, and so the age that the
	// view of a reader reaches.
	WatchTimeout = time.Second
	// takeoverAge is the age at which a gateway asks the platform itself.
	// takeoverLevel is the additional age for each level below: a view gets
	// older by the time between two questions with each.
	takeoverAge      = 1900 * time.Millisecond
	takeoverPerLevel = 400 * time.Millisecond
	// takeoverPerPlace is the additional age for each place in a data centre, so
	// that one process after the other takes over, and takeoverSpread bounds
	// it.
	takeoverPerPlace  = 20 * time.Millisecond
	maxTakeoverSpread = 500 * time.Millisecond
)

// Member is a process that may pass views on.
type Member struct {
	VM         netip.Addr
	DataCentre string
}

// Place is the place of a process in the order in which views spread.
type Place struct {
	// Reader says that the process watches the platform. Standby says that
	// another reader does so too, from which changes come sooner. Gateway says
	// that the process gets changes from other data centres.
	Reader, Standby, Gateway bool
	// Parents are processes to ask for the age of their view. It is empty if
	// no agent is known.
	Parents []netip.Addr
	// TakeoverAge is the age of the view at which the process asks the
	// platform.
	TakeoverAge time.Duration
}

// PlaceOf returns the place of a process. The agents of all listed targets are
// ordered by hash. The first of all and the first in another data centre are
// readers. In each data centre the first agents are gateways, which follow the
// readers, and the others form a tree below them, so a change crosses the
// border of a data centre once for each gateway. A process that is not among
// the agents is below some of them. As long as no target is listed, the seeds
// are the readers and parents of all.
func PlaceOf(agents []Member, seeds []netip.Addr, self Member) Place {
	if len(agents) == 0 {
		return placeWithoutAgents(seeds, self.VM)
	}
	order := slices.Clone(agents)
	slices.SortFunc(order, func(a, b Member) int { return compareByHash(a.VM, b.VM) })
	readers := readersOf(order)
	switch slices.Index(readers, self.VM) {
	case 0:
		return Place{Reader: true, Gateway: true}
	case 1:
		return Place{Reader: true, Standby: true, Gateway: true, Parents: readers[:1]}
	}
	near := localOrder(order, readers, self.DataCentre)
	i := slices.Index(near, self.VM)
	if i >= 0 && i < gatewaysPerDataCentre {
		return Place{Gateway: true, Parents: readers, TakeoverAge: takeoverAge + time.Duration(i)*takeoverPerPlace}
	}
	if len(near) == 0 {
		// No agent is in this data centre.
		return Place{Gateway: true, Parents: readers, TakeoverAge: takeoverAge + takeoverPerLevel}
	}
	if i < 0 {
		i = gatewaysPerDataCentre + int(hashOf(self.VM)%uint64(max(1, len(near)-gatewaysPerDataCentre)))
	}
	level, first := 1, (i-gatewaysPerDataCentre)/fanOut
	for up := first; up >= gatewaysPerDataCentre; up = (up - gatewaysPerDataCentre) / fanOut {
		level++
	}
	p := Place{TakeoverAge: takeoverAge + time.Duration(level)*takeoverPerLevel + min(maxTakeoverSpread, time.Duration(i)*takeoverPerPlace)}
	for _, at := range []int{first, first + 1} {
		if at < len(near) && at < max(i, gatewaysPerDataCentre) && near[at] != self.VM {
			p.Parents = append(p.Parents, near[at])
		}
	}
	return p
}

// readersOf returns the readers, in two data centres if there are several.
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

// localOrder returns the agents of a data centre, readers first.
func localOrder(order []Member, readers []netip.Addr, dataCentre string) []netip.Addr {
	var near []netip.Addr
	for _, reader := range []bool{true, false} {
		for _, a := range order {
			if a.DataCentre == dataCentre && slices.Contains(readers, a.VM) == reader {
				near = append(near, a.VM)
			}
		}
	}
	return near
}

func placeWithoutAgents(seeds []netip.Addr, self netip.Addr) Place {
	if slices.Contains(seeds, self) {
		return Place{Reader: true, Gateway: true}
	}
	spread := time.Duration(hashOf(self) % uint64(maxTakeoverSpread))
	return Place{Gateway: true, Parents: seeds, TakeoverAge: takeoverAge + spread}
}

// compareByHash orders addresses by hash.
func compareByHash(a, b netip.Addr) int {
	return cmp.Or(cmp.Compare(hashOf(a), hashOf(b)), a.Compare(b))
}

func hashOf(a netip.Addr) uint64 {
	ip := a.As4()
	return xxhash.Sum64(ip[:])
}
