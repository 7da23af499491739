package fleet

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Homes appends the agents of a service to dst in the order in which they are
// homes of a flow: agents in the data centre come first, and each group is
// ordered by rendezvous hash. All balancers of a data centre with the same view
// compute the same order.
func Homes(dst []netip.Addr, targets []*Target, hash uint64, dataCentre string) []netip.Addr {
	type ranked struct {
		agent netip.Addr
		local bool
		score uint64
	}
	order := make([]ranked, 0, len(targets))
	for _, t := range targets {
		order = append(order, ranked{t.Agent(), t.DataCentre == dataCentre, Score(hash, t.Agent())})
	}
	slices.SortFunc(order, func(a, b ranked) int {
		if a.local != b.local {
			if a.local {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.score, a.score), a.agent.Compare(b.agent))
	})
	for _, r := range order {
		dst = append(dst, r.agent)
	}
	return dst
}

// HomeOf returns the first home of an open flow in a service, and whether there
// is one. It uses the ready targets, or all listed ones if none is ready, or the
// removed ones if none is listed.
func (v *View) HomeOf(service string, hash uint64, dataCentre string) (netip.Addr, bool) {
	for _, targets := range [][]*Target{v.ReadyTargets(service), v.Targets(service), v.RemovedTargets(service)} {
		if homes := Homes(nil, targets, hash, dataCentre); len(homes) > 0 {
			return homes[0], true
		}
	}
	return netip.Addr{}, false
}

// Score returns the rendezvous score of an agent for the hash of a flow.
func Score(hash uint64, agent netip.Addr) uint64 {
	var b [8 + 4]byte
	binary.BigEndian.PutUint64(b[:], hash)
	ip := agent.As4()
	copy(b[8:], ip[:])
	return xxhash.Sum64(b[:])
}
