package flowtable

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"trefoilweir.example/core/fleet"
)

const (
	// Copies is the number of keepers that get a table, so that the loss of one
	// of them loses no table.
	Copies = 2
	// MaxKeepers is the number of agents that are asked for a table. A keeper is
	// still among them if some agents were added or removed since the table was
	// sent, or some did not take it.
	MaxKeepers = 8
)

// Keepers returns the agents that may keep the table of an agent, in the order in
// which it is offered to them: those of the agent's data centre by rendezvous hash,
// and then others if there are too few. Agents with the same view compute the same
// order.
func Keepers(agents []fleet.Member, owner fleet.Member) []netip.Addr {
	type ranked struct {
		agent netip.Addr
		local bool
		score uint64
	}
	hash := xxhash.Sum64(binary.BigEndian.AppendUint64(owner.VM.AsSlice(), hashSeed))
	order := make([]ranked, 0, len(agents))
	for _, a := range agents {
		if a.VM != owner.VM {
			order = append(order, ranked{a.VM, a.DataCentre == owner.DataCentre, fleet.Score(hash, a.VM)})
		}
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
	var keepers []netip.Addr
	for _, r := range order {
		if !slices.Contains(keepers, r.agent) {
			keepers = append(keepers, r.agent)
		}
		if len(keepers) == MaxKeepers {
			break
		}
	}
	return keepers
}

// hashSeed makes the order of keepers independent of the order of homes and of
// the tree that distributes changes.
const hashSeed = 0x666c6f7774616273

// Members returns the agents that may be keepers: those of the listed targets of a
// view, and of those whose entries have lapsed, because an outage of the platform may
// take all entries away while their agents run.
func Members(v *fleet.View, now time.Duration) []fleet.Member {
	agents := v.Agents()
	members := make([]fleet.Member, 0, len(agents))
	for _, a := range agents {
		if t := v.TargetAt(a); t != nil {
			members = append(members, fleet.Member{VM: a, DataCentre: t.DataCentre})
		}
	}
	return append(members, v.LapsedAgents(now)...)
}
