// Package placement selects the agent for a new flow and tracks the health of
// agents as one balancer sees it.
//
// All balancers that hold the same targets rank them in the same order for the
// same packet. The datagrams of one first flight therefore arrive at one agent
// even if they pass through different balancers.
//
// An echo is a request to an agent to answer with a Pong: a Ping, or a flag on
// the first datagram of a new flow. An agent that leaves echoes unanswered
// becomes suspect and receives no new flows while another agent is usable.
//
// The package has no clock and no I/O.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// MaxCandidates is the largest number of candidates that Rank returns. It limits
// the working memory, which is on the stack. Even if half of the targets of a
// service are down, it is improbable that a flow has this many unusable
// candidates before the first usable one.
const MaxCandidates = 16

// Target is an agent that may receive new flows.
type Target struct {
	// Agent is the datagram address of the agent.
	Agent netip.AddrPort
	// Weight is the share of new flows relative to the other targets: slots
	// times configured speed. Rank ignores a target whose weight is not
	// positive and finite.
	Weight float64
}

type candidate struct {
	agent netip.AddrPort
	score float64
}

// Rank appends to dst[:0] the n best candidates for a new flow, the best one
// first, and returns the result. It orders the targets by a weighted rendezvous
// hash of the destination connection ID and the service. n is limited to
// MaxCandidates. The order of targets does not affect the result. Rank does not
// allocate if dst has capacity n.
//
// The removal of a target changes the first candidate only of the flows that
// had this target as the first candidate. The flows are distributed over the
// first candidates in proportion to the weights.
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

// before reports whether c ranks before o. Equal scores are ordered by address,
// so that the order of the targets does not affect the result.
func (c *candidate) before(o *candidate) bool {
	if c.score != o.score {
		return c.score > o.score
	}
	return c.agent.Compare(o.agent) < 0
}

// flowHash hashes the part of the input that is the same for every target. A
// connection ID has at most 20 bytes in QUIC version 1. Bytes beyond the buffer
// are ignored.
func flowHash(service uint32, dcid []byte) uint64 {
	var input [4 + 255]byte
	binary.BigEndian.PutUint32(input[:], service)
	n := 4 + copy(input[4:], dcid)
	return xxhash.Sum64(input[:n])
}

// score returns the weighted rendezvous score weight / -ln(u), with u uniform in
// (0, 1). The probability that a target has the highest score is proportional
// to its weight.
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
