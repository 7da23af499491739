// Package placement selects the agent for a new flow and keeps a balancer's
// view of the health of agents.
//
// Every balancer that holds the same targets ranks them alike for the same
// packet, so the datagrams of one first flight meet at one agent although
// they pass through different balancers.
//
// The package is pure: it has no clock and no I/O.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxCandidates is the most candidates that Rank returns. It bounds the working
// memory, which lives on the stack. That a flow has this many unusable
// candidates before the first usable one is improbable even when half of a
// service's targets are down.
const MaxCandidates = 16

// Target is an agent that may receive new flows.
type Target struct {
	// Agent is the datagram address of the agent.
	Agent netip.AddrPort
	// Weight is the share of new flows relative to the other targets: slots
	// times configured speed. Targets without a positive, finite weight are
	// left out.
	Weight float64
}

type candidate struct {
	agent netip.AddrPort
	score float64
}

// Rank appends to dst[:0] the first n candidates for a new flow, the best one
// first, by a weighted rendezvous hash of (destination connection ID,
// service). n is limited to MaxRank. The order of the targets has no
// influence. It does not allocate if dst has capacity n.
//
// Removing a target changes the choice only for flows that had chosen it, and
// the first choices are shared in proportion to the weights.
func Rank(dst []netip.AddrPort, service uint32, dcid []byte, targets []Target, n int) []netip.AddrPort {
	dst = dst[:0]
	n = min(n, MaxCandidates)
	if n <= 0 {
		return dst
	}
	flow := flowHash(service, dcid)
	var best [MaxCandidates]candidate
	found := 0
	for i := range targets {
		w := targets[i].Weight
		if !(w > 0) || math.IsInf(w, 1) {
			continue
		}
		c := candidate{targets[i].Agent, score(flow, targets[i].Agent, w)}
		at := found
		for at > 0 && c.before(&best[at-1]) {
			at--
		}
		if at >= n {
			continue
		}
		found = min(found+1, n)
		copy(best[at+1:found], best[at:found-1])
		best[at] = c
	}
	for i := range found {
		dst = append(dst, best[i].agent)
	}
	return dst
}

// before orders candidates. Equal scores are ordered by address, so that the
// order of the targets does not matter.
func (c *candidate) before(o *candidate) bool {
	if c.score != o.score {
		return c.score > o.score
	}
	return c.agent.Compare(o.agent) < 0
}

// flowHash hashes the part that is the same for every target. A connection ID
// has at most 20 bytes in QUIC version 1; longer ones are cut.
func flowHash(service uint32, dcid []byte) uint64 {
	var input [4 + 255]byte
	binary.BigEndian.PutUint32(input[:], service)
	n := 4 + copy(input[4:], dcid)
	return xxhash.Sum64(input[:n])
}

// score is the weighted rendezvous score: with u uniform in (0, 1), the
// highest of weight / -ln(u) is at each target with a probability that is
// proportional to its weight.
func score(flow uint64, agent netip.AddrPort, weight float64) float64 {
	var input [8 + 16 + 2]byte
	binary.BigEndian.PutUint64(input[:], flow)
	ip := agent.Addr().As16()
	copy(input[8:], ip[:])
	binary.BigEndian.PutUint16(input[24:], agent.Port())
	const mantissa = 53
	u := (float64(xxhash.Sum64(input[:])>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return weight / -math.Log(u)
}
