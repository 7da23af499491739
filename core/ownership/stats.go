package ownership

import (
	"math"
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/speed"
)

const (
	// rateWindow is the time constant of the decaying averages of a route's
	// load.
	rateWindow = 5 * time.Second
	// serviceTimeWeight is the weight of one request in the moving averages of
	// times and lengths.
	serviceTimeWeight = 0.05
	// serviceTimeUnit is the unit of relay.Load.ServiceTime.
	serviceTimeUnit = 100 * time.Microsecond
	// arrivalWeight is the weight of one accepted flow in arrivalShare.
	arrivalWeight = 0.05
	// minArrivalShare is the least arrivalShare that admission assumes. It
	// bounds the flows that are admitted for one slot.
	minArrivalShare = 0.3
	// quickAnswerRatio and shortAnswerRatio are fractions of the usual time and
	// length of an answer. An answer below both counts as an error. The agent
	// does not read the contents of answers.
	quickAnswerRatio = 0.25
	shortAnswerRatio = 0.5
	// defaultConcurrency is the load of one flow of a route without enough
	// data, in slots.
	defaultConcurrency = 0.1
)

// phase is the state of a flow with regard to the load of its target.
type phase uint8

const (
	// phaseClosed flows are no load. It is also the initial phase.
	phaseClosed phase = iota
	// phaseOffered flows wait for the target to accept them.
	phaseOffered
	// phaseHalfOpen flows are accepted, and their request is about to arrive.
	phaseHalfOpen
	// phaseIdle flows have no request in progress.
	phaseIdle
	// phaseBusy flows have a request in progress.
	phaseBusy
	phaseCount
)

// routeStats has the statistics of the flows of one route at the target.
type routeStats struct {
	count [phaseCount]int
	// openTime and busyTime are the time that flows were open or busy, in
	// seconds. They decay with rateWindow.
	openTime, busyTime float64
	// answerTime is the mean time to the first packet of an answer, in seconds.
	// answerLen is the mean length of that packet, in bytes.
	answerTime, answerLen float64
}

func (r *routeStats) open() int {
	return r.count[phaseOffered] + r.count[phaseHalfOpen] + r.count[phaseIdle] + r.count[phaseBusy]
}

// concurrency returns the fraction of its open time in which a flow has a
// request in progress.
func (r *routeStats) concurrency() float64 {
	const minOpenSeconds = 0.5
	if r.openTime < minOpenSeconds {
		return defaultConcurrency
	}
	return r.busyTime / r.openTime
}

// looksLikeError reports whether the first packet of an answer came much sooner
// and was much shorter than usual for the route, as from a target that returns
// errors without doing the work. Other answers enter the means.
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

// stats has the load statistics of the target.
type stats struct {
	routes map[netip.AddrPort]*routeStats
	count  [phaseCount]int
	// serviceTime is the mean time of a request that did not wait for a slot,
	// in seconds.
	serviceTime float64
	// speed estimates the same apart from the routes. reportedTime is its result
	// at the last tick.
	speed        speed.Estimator[netip.AddrPort]
	reportedTime time.Duration
	// arrivalShare is the share of the accepted flows whose request arrives in
	// time.
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

// setPhase moves a flow to a phase and updates the counts.
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

// pending returns the number of requests in progress or about to arrive.
func (s *stats) pending() int {
	return s.count[phaseOffered] + s.count[phaseHalfOpen] + s.count[phaseBusy]
}

// recordArrival records whether the request of an accepted flow arrived in
// time.
func (s *stats) recordArrival(arrived bool) {
	value := 0.0
	if arrived {
		value = 1
	}
	s.arrivalShare += arrivalWeight * (value - s.arrivalShare)
}

// admitted returns the number of slots that the admitted flows need. After an
// outage many callers have already given up flows that are accepted now, so not
// every flow needs a slot.
func (s *stats) admitted() int {
	arriving := float64(s.count[phaseOffered] + s.count[phaseHalfOpen])
	return s.count[phaseBusy] + int(math.Round(arriving*max(s.arrivalShare, minArrivalShare)))
}

// advance adds the time since the last call to the averages.
func (s *stats) advance(now time.Duration) {
	step := (now - s.lastAdvance).Seconds()
	if step <= 0 {
		return
	}
	s.lastAdvance = now
	decay := math.Exp(-step / rateWindow.Seconds())
	for _, r := range s.routes {
		r.openTime = r.openTime*decay + step*float64(r.open())
		r.busyTime = r.busyTime*decay + step*float64(r.count[phaseBusy])
	}
}

// expected returns the average load of all open flows, in slots.
func (s *stats) expected() float64 {
	sum := 0.0
	for _, r := range s.routes {
		sum += float64(r.open()) * r.concurrency()
	}
	return sum
}

// beginRequest records that the caller has sent a request.
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

// recordFirstRequest records the time from the acceptance of a flow to its
// first request. If the caller opened the flow long before its request, that
// time is not a round trip and is not counted.
func (m *Machine) recordFirstRequest(took time.Duration, f *ownedFlow) {
	f.acceptedAt = 0
	if took > maxHalfOpenTimeout {
		f.admittedAt = 0
		return
	}
	m.roundTripTimes.Observe(took)
	m.stats.recordArrival(true)
}

// endRequest records that the target has finished a request. The time of a
// request without an answer does not enter the averages, because it says
// nothing about the target's speed.
func (m *Machine) endRequest(now time.Duration, f *ownedFlow, key flow.Key, answered bool, out *plane.Out) {
	if f.phase != phaseBusy {
		return
	}
	if answered && f.admittedAt > 0 {
		m.firstAnswerTimes.Observe(now - f.admittedAt)
		f.admittedAt = 0
	}
	if answered {
		out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyFirstAnswer, Service: m.Service, Took: now - f.phaseSince})
	}
	if f.unqueued && answered {
		took := (now - f.phaseSince).Seconds()
		if m.stats.serviceTime == 0 {
			m.stats.serviceTime = took
		}
		m.stats.serviceTime += serviceTimeWeight * (took - m.stats.serviceTime)
		// Requests during the warm-up count too: a cold target may be four times
		// slower, and warmingFactor alone does not keep flows away from it.
		m.stats.speed.Observe(key.Service(), now-f.phaseSince)
	}
	m.stats.setPhase(now, key, f, phaseIdle)
}

// updateReportedTime updates the service time that the agent reports.
func (m *Machine) updateReportedTime(now time.Duration) {
	sum, n := time.Duration(0), time.Duration(0)
	for _, p := range m.peers {
		if p.everHeard && now-p.lastHeard <= heartbeatTimeout && p.load.ServiceTime > 0 {
			sum += loadServiceTime(p.load)
			n++
		}
	}
	m.stats.reportedTime = m.stats.speed.ServiceTime(sum / max(n, 1))
}

// loadServiceTime returns the service time in a load.
func loadServiceTime(l relay.Load) time.Duration {
	return time.Duration(l.ServiceTime) * serviceTimeUnit
}

func (m *Machine) slots() int {
	if t := m.ownTarget(); t != nil {
		return t.Slots
	}
	return 0
}

// Load returns the load of the target.
func (m *Machine) Load() relay.Load {
	l := relay.Load{
		Flags: relay.FlagAgent, Busy: uint16(min(m.stats.pending()+m.queue.Len(), math.MaxUint16)),
		Expected: uint16(min(100*m.stats.expected(), math.MaxUint16)), Slots: uint16(m.slots()),
		ServiceTime: uint16(min(m.stats.reportedTime/serviceTimeUnit, math.MaxUint16)),
	}
	if m.leaving {
		l.Flags |= relay.FlagLeaving
	}
	if m.silent {
		l.Flags |= relay.FlagSilent
	}
	if m.unknownFlowsUntil == 0 {
		l.Flags |= relay.FlagFresh
	}
	if m.outcomes.failing {
		l.Flags |= relay.FlagFailing
	}
	// Agents that have not learned of a drain request yet skip the target as well.
	if t := m.ownTarget(); t != nil && t.State == fleet.Draining || m.ownDrained() {
		l.Flags |= relay.FlagDraining
	}
	return l
}
