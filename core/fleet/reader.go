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
	// fanOut is how many processes ask one parent on average.
	fanOut = 8
	// WatchWait is how long a watch of a reader waits, and so the age that the
	// view of a reader reaches.
	WatchWait = time.Second
	// takeoverAge is the age at which a process that is no reader asks the
	// platform itself, takeoverStep the additional age for each place after.
	takeoverAge  = 1900 * time.Millisecond
	takeoverStep = 40 * time.Millisecond
	// takeoverSpread bounds the additional age.
	takeoverSpread = time.Second
)

// Place is the place of a process in the order in which views spread.
type Place struct {
	// Reader says that the process watches the platform.
	Reader bool
	// Parents are processes to ask for the age of their view. It is empty if
	// no agent is known.
	Parents []netip.Addr
	// TakeoverAge is the age of the view at which the process asks the
	// platform.
	TakeoverAge time.Duration
}

// PlaceOf returns the place of a process. The agents of all listed targets are
// ordered by hash, the first Readers of them are readers, and the others form
// a tree below them. A process that is not among them is below the last. As
// long as no target is listed, the seeds are the readers and parents of all.
func PlaceOf(agents, seeds []netip.Addr, self netip.Addr) Place {
	if len(agents) == 0 {
		return placeBySeeds(seeds, self)
	}
	order := slices.Clone(agents)
	slices.SortFunc(order, byRank)
	i := slices.Index(order, self)
	if i < 0 {
		i = len(order) + int(rankOf(self)%fanOut)
	}
	p := Place{Reader: i < Readers && i < len(order)}
	if p.Reader {
		return p
	}
	p.TakeoverAge = takeoverAge + min(takeoverSpread, time.Duration(i)*takeoverStep)
	first := max(0, i-Readers) / fanOut
	for _, at := range []int{first, first + 1} {
		if at < len(order) && at < max(i, Readers) && order[at] != self {
			p.Parents = append(p.Parents, order[at])
		}
	}
	return p
}

func placeBySeeds(seeds []netip.Addr, self netip.Addr) Place {
	if slices.Contains(seeds, self) {
		return Place{Reader: true}
	}
	spread := time.Duration(rankOf(self) % uint64(takeoverSpread))
	return Place{Parents: seeds, TakeoverAge: takeoverAge + spread}
}

// byRank orders addresses by hash.
func byRank(a, b netip.Addr) int { return cmp.Or(cmp.Compare(rankOf(a), rankOf(b)), a.Compare(b)) }

func rankOf(a netip.Addr) uint64 {
	ip := a.As4()
	return xxhash.Sum64(ip[:])
}
