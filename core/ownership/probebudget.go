package ownership

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// probeTimes has the times of the probes of one flow in probeWindow, oldest
// first.
type probeTimes []time.Duration

// add records a probe.
func (t *probeTimes) add(now time.Duration) {
	*t = append(slices.DeleteFunc(*t, func(at time.Duration) bool { return now-at > probeWindow }), now)
}

// count returns the number of probes in the window that ends now.
func (t probeTimes) count(now time.Duration) (n int) {
	for _, at := range t {
		if now-at <= probeWindow {
			n++
		}
	}
	return n
}

// Several agents may search for one flow at the same time, because balancers or
// their views change. The budget of probes is that of the flow, so each probed
// agent reports in its answer to a search how many probes its target has had,
// and a search counts these like its own.

// probeOwnTarget gives the local target a packet as a probe.
func (m *Machine) probeOwnTarget(now time.Duration, p *flow.Packet, s *search, out *plane.Out) {
	s.ownTargetProbes.add(now)
	m.probeTarget(now, p, out)
}

// ownTargetProbes returns the number of recent probes of a flow at the local
// target.
func (m *Machine) ownTargetProbes(now time.Duration, key flow.Key) int {
	if s := m.searches[key]; s != nil {
		return s.ownTargetProbes.count(now)
	}
	return 0
}

// countSentProbe counts a probe that the search sends to another agent.
func (s *search) countSentProbe(now time.Duration, to netip.Addr) {
	t := s.probes[to]
	t.add(now)
	s.setProbes(to, t)
}

// countReportedProbes counts the probes that an agent has reported. It may have
// reported some of them before, and some are from this search.
func (s *search) countReportedProbes(now time.Duration, from netip.Addr, msg *relay.Message) {
	t := s.probes[from]
	for t.count(now) < int(msg.Probes) {
		t.add(now)
	}
	s.setProbes(from, t)
}

func (s *search) setProbes(a netip.Addr, t probeTimes) {
	if s.probes == nil {
		s.probes = map[netip.Addr]probeTimes{}
	}
	s.probes[a] = t
}

// probeCount returns the number of recent probes of the flow that the search
// knows of.
func (s *search) probeCount(now time.Duration) int {
	n := s.ownTargetProbes.count(now)
	for _, t := range s.probes {
		n += t.count(now)
	}
	return n
}

// sentProbe is the last probe that a search has sent to an agent.
type sentProbe struct {
	at       time.Duration
	seq, ack uint32
	length   int
}

// hasProbed reports whether the search has recently given this packet to an agent
// as a probe. A target that holds the flow need not answer at once, so it does
// not get the packet again in each round.
func (s *search) hasProbed(now time.Duration, a netip.Addr, p *flow.Packet) bool {
	last, ok := s.lastProbes[a]
	return ok && now-last.at <= probeRepeatInterval && last == sentProbe{last.at, p.Seq, p.Ack, p.Len}
}

// noteProbe records that a probe with this packet is sent to an agent.
func (s *search) noteProbe(now time.Duration, a netip.Addr, p *flow.Packet) {
	if s.lastProbes == nil {
		s.lastProbes = map[netip.Addr]sentProbe{}
	}
	s.lastProbes[a] = sentProbe{now, p.Seq, p.Ack, p.Len}
}

// probesOnWire returns a number of probes as it is sent.
func probesOnWire(n int) uint8 { return uint8(min(n, math.MaxUint8)) }
