package ownership

import (
	"math"
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

const (
	// rateWindow is the time over which the load of a route's flows is
	// averaged.
	rateWindow = 5 * time.Second
	// serviceTimeWeight is the weight of one request in the mean service time.
	serviceTimeWeight = 0.05
	// arrivalWeight is the weight of one accepted flow in the part of those
	// whose request comes.
	arrivalWeight = 0.05
	// minArrivalShare bounds the flows that are admitted for one slot.
	minArrivalShare = 0.3
	// quickAnswerRatio and shortAnswer are the parts of the usual time and length
	// below both of which an answer counts as an error. Its contents are not
	// read.
	quickAnswerRatio = 0.25
	shortAnswerRatio = 0.5
	// defaultConcurrency is the load of a flow of a route that is not known.
	defaultConcurrency = 0.1
)

// phase is what a flow is to its target's load.
type phase uint8

const (
	// phaseClosed flows are no load. It is also the phase before the first.
	phaseClosed phase = iota
	// phaseOffered flows wait for the target to accept them.
	phaseOffered
	// phaseHalfOpen flows are accepted, and their request is about to arrive.
	phaseHalfOpen
	// phaseIdle flows have no request in progress.
	phaseIdle
	// phaseBusy flows have one.
	phaseBusy
	phaseCount
)

// routeStats are of the flows of one route at the target.
type routeStats struct {
	count [phaseCount]int
	// openTime and busyTime decay over rateWindow, in seconds.
	openTime, busyTime float64
	// answerTime and answerLen are the mean time to the first packet of an
	// answer, in seconds, and its mean length in bytes.
	answerTime, answerLen float64
}

func (r *routeStats) open() int {
	return r.count[phaseOffered] + r.count[phaseHalfOpen] + r.count[phaseIdle] + r.count[phaseBusy]
}

// concurrency is the part of its time that a flow has a request in progress.
func (r *routeStats) concurrency() float64 {
	const minOpenSeconds = 0.5
	if r.openTime < minOpenSeconds {
		return defaultConcurrency
	}
	return r.busyTime / r.openTime
}

// looksLikeError reports whether the first packet of an answer came much sooner and
// was much shorter than usual for the route, as with a target that answers
// errors without working. Other answers enter the means.
func (r *routeStats) looksLikeError(took time.Duration, length int) bool {
	t, l := took.Seconds(), float64(length)
	if r.answerTime == 0 {
		r.answerTime, r.answerLen = t, l
	}
	if t < quickAnswerRatio*r.answerTime && l < shortAnswerRatio*r.answerLen {
		return true
	}
	r.answerTime += serviceTimeWeight * (t - r.answerTime)
	r.answerLen += serviceTimeWeight * (l - r.answerLen)
	return false
}

// stats are the loads of the target.
type stats struct {
	routes map[netip.AddrPort]*routeStats
	count  [phaseCount]int
	// serviceTime is the mean time of a request that did not wait, in seconds.
	serviceTime float64
	// arrivalShare is the part of the accepted flows whose request comes soon.
	arrivalShare float64
	lastAdvance  time.Duration
}

func newStats(now time.Duration) *stats {
	return &stats{routes: map[netip.AddrPort]*routeStats{}, arrivalShare: 1, lastAdvance: now}
}

func (s *stats) route(key flow.Key) *routeStats {
	r := s.routes[key.Service()]
	if r == nil {
		r = &routeStats{}
		s.routes[key.Service()] = r
	}
	return r
}

// setPhase moves a flow to a phase.
func (s *stats) setPhase(now time.Duration, key flow.Key, f *ownedFlow, to phase) {
	if f.phase == to {
		return
	}
	r := s.route(key)
	if f.phase != phaseClosed {
		r.count[f.phase]--
		s.count[f.phase]--
	}
	if to != phaseClosed {
		r.count[to]++
		s.count[to]++
	}
	f.phase, f.phaseSince = to, now
}

// pending is the number of requests in progress or about to arrive.
func (s *stats) pending() int {
	return s.count[phaseOffered] + s.count[phaseHalfOpen] + s.count[phaseBusy]
}

// recordArrival notes whether the request of an accepted flow came in time.
func (s *stats) recordArrival(came bool) {
	value := 0.0
	if came {
		value = 1
	}
	s.arrivalShare += arrivalWeight * (value - s.arrivalShare)
}

// admitted is the number of slots that the admitted flows need. After an
// outage many callers have given up the flows that are accepted now, so that
// not each of them needs one.
func (s *stats) admitted() int {
	coming := float64(s.count[phaseOffered] + s.count[phaseHalfOpen])
	return s.count[phaseBusy] + int(math.Round(coming*max(s.arrivalShare, minArrivalShare)))
}

// advance adds the time since the last call to the averages.
func (s *stats) advance(now time.Duration) {
	step := (now - s.lastAdvance).Seconds()
	if step <= 0 {
		return
	}
	s.lastAdvance = now
	keep := math.Exp(-step / rateWindow.Seconds())
	for _, r := range s.routes {
		r.openTime = r.openTime*keep + step*float64(r.open())
		r.busyTime = r.busyTime*keep + step*float64(r.count[phaseBusy])
	}
}

// expected is the load of all open flows on average, in slots.
func (s *stats) expected() float64 {
	sum := 0.0
	for _, r := range s.routes {
		sum += float64(r.open()) * r.concurrency()
	}
	return sum
}

// beginRequest notes that the caller has sent a request.
func (m *Machine) beginRequest(now time.Duration, f *ownedFlow, key flow.Key) {
	if f.phase == phaseBusy {
		return
	}
	if f.acceptedAt > 0 {
		m.recordFirstRequest(now-f.acceptedAt, f)
	}
	m.stats.setPhase(now, key, f, phaseBusy)
	f.unqueued = m.stats.count[phaseBusy] <= m.slots()
}

// recordFirstRequest notes how long after the acceptance of a flow its first request
// came. A caller that opens a flow and sends later says nothing of the way.
func (m *Machine) recordFirstRequest(took time.Duration, f *ownedFlow) {
	f.acceptedAt = 0
	if took > maxHalfOpenTimeout {
		f.admittedAt = 0
		return
	}
	m.roundTripTimes.Observe(took)
	m.stats.recordArrival(true)
}

// endRequest notes that the target is done with a request. The time of one
// that it did not answer says nothing of its speed.
func (m *Machine) endRequest(now time.Duration, f *ownedFlow, key flow.Key, answered bool, out *plane.Out) {
	if f.phase != phaseBusy {
		return
	}
	if answered && f.admittedAt > 0 {
		m.firstAnswerTimes.Observe(now - f.admittedAt)
		f.admittedAt = 0
	}
	if answered {
		out.Times = append(out.Times, plane.Time{Kind: plane.TimeFirstAnswer, Service: m.Service, Took: now - f.phaseSince})
	}
	if f.unqueued && answered {
		took := (now - f.phaseSince).Seconds()
		if m.stats.serviceTime == 0 {
			m.stats.serviceTime = took
		}
		m.stats.serviceTime += serviceTimeWeight * (took - m.stats.serviceTime)
	}
	m.stats.setPhase(now, key, f, phaseIdle)
}

func (m *Machine) slots() int {
	if t := m.View.AtAgent(m.Self); t != nil {
		return t.Slots
	}
	return 0
}

// Load returns the load of the target.
func (m *Machine) Load() relay.Load {
	l := relay.Load{
		Flags: relay.FlagAgent, Busy: uint16(min(m.stats.pending()+m.queue.Len(), math.MaxUint16)),
		Expected: uint16(min(100*m.stats.expected(), math.MaxUint16)), Slots: uint16(m.slots()),
		ServiceTime: uint16(min(m.stats.serviceTime*10_000, math.MaxUint16)),
	}
	if m.leaving {
		l.Flags |= relay.FlagLeaving
	}
	if m.silent {
		l.Flags |= relay.FlagSilent
	}
	if m.outcomes.failing {
		l.Flags |= relay.FlagFailing
	}
	if t := m.View.AtAgent(m.Self); t != nil && t.State == fleet.Draining {
		l.Flags |= relay.FlagDraining
	}
	return l
}
