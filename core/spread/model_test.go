package spread

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// scenario describes a service in the model and the load that it gets.
type scenario struct {
	name    string
	targets int
	slots   int
	// lowSpeed and highSpeed bound the speeds of the targets, which are equally
	// spaced.
	lowSpeed, highSpeed float64
	homes               int
	dataCentres         int
	// load is the offered work as a fraction of the capacity.
	load float64
	// longShare is the share of the requests that come on long flows.
	longShare float64
}

// Times and sizes of the model.
const (
	modelDuration = 34.0
	// modelWarmup is the time at the beginning that is not measured. Long flows
	// last about 7 s.
	modelWarmup = 12.0
	// localInterval and remoteInterval are the times between two load reports of
	// a target to a home of its data centre and of another one.
	localInterval, remoteInterval = 0.1, 0.4
	// localDelay and remoteDelay are the times that a datagram takes.
	localDelay, remoteDelay = 0.0003, 0.002
	// roundTrip is the time from the admission of a flow to its request.
	roundTrip = 0.003
	// workDeviation is the deviation of the logarithm of a request's work.
	workDeviation = 0.5
	// longWorkShare of the requests need longWorkFactor times the work.
	longWorkShare, longWorkFactor = 0.03, 7
	// longRequests is the mean number of requests of a long flow, and longPause
	// the mean pause between them, in seconds.
	longRequests, longPause = 20, 0.3
)

// routeWork has the mean work of a request on each route without the long
// requests, in seconds at speed 1.
var routeWork = [...]float64{0.030, 0.039}

func meanWork() float64 {
	return (routeWork[0] + routeWork[1]) / 2 * (1 + longWorkShare*(longWorkFactor-1))
}

// modelFlow is a flow of the model.
type modelFlow struct {
	arrivedAt, work float64
	route           int
	random          *rand.Rand
	home            int
	// left is the number of further requests.
	left     int
	queuedAt float64
	waited   bool
	// hops is how often the flow was handed over.
	hops      int
	queueWait float64
	// distance is the network delay that the placement cost, in seconds.
	distance float64
}

type modelRequest struct {
	flow  *modelFlow
	first bool
	// arrivedAt is when the request or its flow arrived at the target or its
	// agent, and waited how long it has waited at an agent until then.
	arrivedAt, waited float64
	work              float64
	unqueued          bool
}

// modelTarget is a target and its agent.
type modelTarget struct {
	index, dataCentre, slots int
	speed                    float64
	busy, admitted           int
	fifo                     []*modelRequest
	queue                    []*modelFlow
	// open is the number of open long flows.
	open      int
	flows     int
	busyTime  float64
	estimator estimator
	// view is what the agent has learned of the targets.
	view     []known
	rate     Rate
	offers   Offers
	offering Offering
}

// known is what an agent knows of a target.
type known struct {
	Candidate
	reportedAt float64
	// unreported counts the agent's own placements that are not reported yet.
	unreported int
}

// estimator estimates the service time of a target from requests that did not
// wait.
type estimator interface {
	observe(now float64, route int, took float64)
	serviceTime(m *model, t *modelTarget) float64
}

// policy places flows.
type policy struct {
	name string
	// choose returns the target of a flow.
	choose func(m *model, home *modelTarget) int
	// central uses one queue that knows everything.
	central bool
	// handOver hands over a flow that would wait.
	handOver  func(m *model, at *modelTarget) int
	estimator func() estimator
	// offers makes targets offer their free slots to one agent each.
	offers bool
	// sticky makes later requests of a flow go to the target of its first one
	// in the central queue.
	sticky bool
}

type modelEvent struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// model is one run.
type model struct {
	scenario
	policy
	// random is for the policy. Each flow has its own source, so the flows are the
	// same for all policies.
	random  *rand.Rand
	seed    uint64
	now     float64
	events  eventQueue
	seq     int
	agents  []*modelTarget
	central []*modelRequest
	// waits and responses have the first requests of flows, laterWaits the other
	// ones. The wait is the time in queues, the response the time from the
	// arrival of the flow to the answer.
	waits, responses, laterWaits []float64
	placed, queued, handed       int
	offersSent                   int
}

// result is what a run measured.
type result struct {
	// waited is the share of the flows that waited at an agent.
	waited, handed float64
	// wait99 and response99 are 99th percentiles, in milliseconds.
	meanWait, wait99, response99, meanResponse, laterWait99 float64
	// imbalance is the ratio of the busiest target to the mean, by busy time,
	// and flowImbalance by the number of flows placed there.
	imbalance, flowImbalance float64
	// offers is the number of offers that a target sends in a second.
	offers float64
}

func (m *model) after(delay float64, do func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{m.now + delay, m.seq, do})
}

func (m *model) delay(a, b *modelTarget) float64 {
	if a.dataCentre == b.dataCentre {
		return localDelay
	}
	return remoteDelay
}

// newModel returns a model of the scenario under the policy.
func newModel(s scenario, p policy, seed uint64) *model {
	m := &model{scenario: s, policy: p, random: rand.New(rand.NewPCG(seed, 5)), seed: seed}
	for i := range s.targets {
		speed := s.highSpeed
		if s.targets > 1 {
			speed = s.lowSpeed + (s.highSpeed-s.lowSpeed)*float64(i)/float64(s.targets-1)
		}
		m.agents = append(m.agents, &modelTarget{index: i, dataCentre: i % s.dataCentres, slots: s.slots, speed: speed, estimator: p.estimator()})
	}
	for _, t := range m.agents {
		t.view = make([]known, s.targets)
		for i := range t.view {
			t.view[i].Agent = agent(byte(i))
			t.view[i].Slots = s.slots
			if m.agents[i].dataCentre != t.dataCentre {
				t.view[i].Distance = 2 * time.Millisecond
			}
		}
		m.after(m.random.Float64()*localInterval, func() { m.report(t, true, localInterval) })
		m.after(m.random.Float64()*remoteInterval, func() { m.report(t, false, remoteInterval) })
	}
	return m
}

// candidate returns the load that the target reports now.
func (m *model) candidate(t *modelTarget) Candidate {
	expected := float64(t.open) * longConcurrency()
	return Candidate{
		Agent: agent(byte(t.index)), Slots: t.slots, Busy: float64(t.admitted + len(t.queue)), Expected: expected,
		ServiceTime: time.Duration(t.estimator.serviceTime(m, t) * float64(time.Second)),
	}
}

// longConcurrency returns the share of its time that a long flow is busy.
func longConcurrency() float64 { return meanWork() / (meanWork() + longPause) }

// report sends the load of a target to the agents of its data centre, or to the
// others.
func (m *model) report(t *modelTarget, local bool, interval float64) {
	load := m.candidate(t)
	at := m.now
	for _, to := range m.agents {
		if to != t && (to.dataCentre == t.dataCentre) == local {
			m.after(m.delay(t, to), func() { to.learn(t.index, load, at) })
		}
	}
	m.after(interval, func() { m.report(t, local, interval) })
}

func (t *modelTarget) learn(of int, load Candidate, at float64) {
	k := &t.view[of]
	if at < k.reportedAt {
		return
	}
	load.Distance = k.Distance
	k.Candidate, k.reportedAt = load, at
}

// candidates returns the targets as an agent knows them.
func (m *model) candidates(home *modelTarget, without int) []Candidate {
	list := make([]Candidate, 0, len(m.agents))
	for i := range home.view {
		if i == without {
			continue
		}
		c := home.view[i].Candidate
		c.Busy += float64(home.view[i].unreported)
		if i == home.index {
			c = m.candidate(home)
		}
		c.Offered = home.offers.Has(seconds(m.now), c.Agent)
		list = append(list, c)
	}
	return list
}

func index(c Candidate) int { return int(c.Agent.As4()[3]) }

// drawWork draws the work of a request, in seconds at speed 1.
func (f *modelFlow) drawWork() float64 {
	w := routeWork[f.route] * math.Exp(workDeviation*f.random.NormFloat64()-workDeviation*workDeviation/2)
	if f.random.Float64() < longWorkShare {
		w *= longWorkFactor
	}
	return w
}

// arrivals starts the flows of one kind at a rate in requests per second.
func (m *model) arrivals(rate float64, long bool) {
	if rate == 0 {
		return
	}
	var next func()
	stream := uint64(1)
	if long {
		stream = 2
	}
	n := uint64(0)
	next = func() {
		n++
		f := &modelFlow{arrivedAt: m.now, random: rand.New(rand.NewPCG(m.seed<<32+n, stream))}
		f.route, f.home = f.random.IntN(len(routeWork)), f.random.IntN(m.homes)
		f.work = f.drawWork()
		if long {
			f.left = int(f.random.ExpFloat64() * longRequests)
		}
		pause := f.random.ExpFloat64() / rate
		m.place(f)
		m.after(pause, next)
	}
	m.after(0, next)
}

// offerTick is the interval at which a target looks for slots that have become
// free again because an offer has expired.
const offerTick = 0.050

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// offerSlots offers the free slots of a target, each to one agent.
func (m *model) offerSlots(t *modelTarget) {
	for t.offering.Due(seconds(m.now), t.slots-t.admitted-len(t.queue)) {
		var waiting []Waiting
		for i := range t.view {
			if n := t.view[i].Busy - float64(t.view[i].Slots) - 1; n > 0 {
				waiting = append(waiting, Waiting{t.view[i].Agent, int(n)})
			}
		}
		a, ok := t.offering.Next(seconds(m.now), waiting, m.random.Uint64())
		if !ok {
			return
		}
		m.offersSent++
		to := m.agents[a.As4()[3]]
		if to == t {
			t.offers.Add(seconds(m.now), a)
			continue
		}
		load, at := m.candidate(t), m.now
		m.after(m.delay(t, to), func() { m.receiveOffer(to, t, load, at) })
	}
}

// receiveOffer handles an offer of a free slot: a flow that waits and would be
// served sooner goes there.
func (m *model) receiveOffer(to, by *modelTarget, load Candidate, at float64) {
	to.learn(by.index, load, at)
	offered := to.view[by.index].Candidate
	for i, f := range to.queue {
		ahead := m.candidate(to)
		ahead.Busy = float64(to.admitted + i)
		if f.hops > 1 || !ServesSooner(ahead, offered) {
			continue
		}
		to.queue = slices.Delete(to.queue, i, i+1)
		f.queueWait += m.now - f.queuedAt
		m.forward(to, by, f)
		return
	}
	to.offers.Add(seconds(m.now), by.agent())
}

// forward hands over a flow.
func (m *model) forward(from, to *modelTarget, f *modelFlow) {
	f.hops++
	if m.now > modelWarmup {
		m.handed++
	}
	m.send(from, to, f)
}

func (t *modelTarget) agent() netip.Addr { return agent(byte(t.index)) }

func (m *model) place(f *modelFlow) {
	if m.policy.central {
		m.submitCentral(&modelRequest{flow: f, first: true, arrivedAt: m.now, work: f.work})
		return
	}
	home := m.agents[f.home]
	t := m.agents[m.choose(m, home)]
	if m.now > modelWarmup {
		m.placed++
	}
	m.send(home, t, f)
}

// send sends the opening packet of a flow from an agent to the target.
func (m *model) send(from, t *modelTarget, f *modelFlow) {
	if t == from {
		m.offer(t, f)
		return
	}
	k := &from.view[t.index]
	k.unreported++
	d := m.delay(from, t)
	f.distance += d
	m.after(d, func() {
		m.offer(t, f)
		// The report of the flow carries the load.
		load, at := m.candidate(t), m.now
		m.after(d, func() {
			k.unreported--
			from.learn(t.index, load, at)
		})
	})
}

// offer handles an opening packet at the agent of a target.
func (m *model) offer(t *modelTarget, f *modelFlow) {
	if t.admitted < t.slots+1+t.slots/8 {
		m.admitFlow(t, f, f.queueWait)
		return
	}
	if m.handOver != nil && f.hops == 0 {
		if to := m.handOver(m, t); to >= 0 {
			m.forward(t, m.agents[to], f)
			return
		}
	}
	if !f.waited && m.now > modelWarmup {
		m.queued++
	}
	f.waited, f.queuedAt = true, m.now
	t.queue = append(t.queue, f)
}

func (m *model) admitFlow(t *modelTarget, f *modelFlow, waited float64) {
	t.admitted++
	t.offering.Placed(seconds(m.now), m.agents[f.home].agent())
	if m.now > modelWarmup {
		t.flows++
	}
	if f.left > 0 {
		t.open++
	}
	m.after(roundTrip, func() {
		t.admitted--
		m.request(t, &modelRequest{flow: f, first: true, arrivedAt: m.now, work: f.work, waited: waited})
	})
}

// request handles a request at its target.
func (m *model) request(t *modelTarget, r *modelRequest) {
	t.admitted++
	r.unqueued = t.busy < t.slots
	if t.busy < t.slots {
		m.serve(t, r)
		return
	}
	t.fifo = append(t.fifo, r)
}

func (m *model) serve(t *modelTarget, r *modelRequest) {
	t.busy++
	took := r.work / t.speed
	wait := r.waited + m.now - r.arrivedAt
	if m.now > modelWarmup {
		t.busyTime += took
		if r.first {
			m.waits = append(m.waits, wait)
			m.responses = append(m.responses, wait+took+r.flow.distance)
		} else {
			m.laterWaits = append(m.laterWaits, wait)
		}
	}
	m.after(took, func() { m.finish(t, r, took) })
}

func (m *model) finish(t *modelTarget, r *modelRequest, took float64) {
	t.busy--
	t.admitted--
	f := r.flow
	if r.unqueued {
		t.estimator.observe(m.now, f.route, took)
	}
	if f.left > 0 {
		f.left--
		m.after(f.random.ExpFloat64()*longPause, func() {
			next := &modelRequest{flow: f, arrivedAt: m.now, work: f.drawWork()}
			if m.policy.central && !m.sticky {
				m.submitCentral(next)
			} else {
				m.request(t, next)
			}
		})
		if f.left == 0 {
			t.open--
		}
	}
	if len(t.fifo) > 0 {
		next := t.fifo[0]
		t.fifo = t.fifo[1:]
		m.serve(t, next)
	}
	if m.policy.central {
		m.dispatchCentral()
		return
	}
	for len(t.queue) > 0 && t.admitted < t.slots+1+t.slots/8 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		m.admitFlow(t, next, next.queueWait+m.now-next.queuedAt)
	}
	if m.offers {
		m.offerSlots(t)
	}
}

func (m *model) submitCentral(r *modelRequest) {
	m.central = append(m.central, r)
	m.dispatchCentral()
}

// dispatchCentral gives the waiting requests to the fastest free slots.
func (m *model) dispatchCentral() {
	for len(m.central) > 0 {
		var best *modelTarget
		for _, t := range m.agents {
			if t.busy < t.slots && (best == nil || t.speed > best.speed) {
				best = t
			}
		}
		if best == nil {
			return
		}
		r := m.central[0]
		m.central = m.central[1:]
		best.admitted++
		m.serve(best, r)
	}
}

// run runs the model and returns what it measured.
func (m *model) run() result {
	capacity := 0.0
	for _, t := range m.agents {
		capacity += float64(t.slots) * t.speed / meanWork()
	}
	rate := m.load * capacity
	if m.offers {
		for _, t := range m.agents {
			var tick func()
			tick = func() {
				m.offerSlots(t)
				m.after(offerTick, tick)
			}
			m.after(m.random.Float64()*offerTick, tick)
		}
	}
	m.arrivals(rate*(1-m.longShare), false)
	m.arrivals(rate*m.longShare/(1+longRequests-0.5), true)
	for len(m.events) > 0 && m.events[0].at < modelDuration {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
	r := result{
		meanWait: 1000 * mean(m.waits), wait99: 1000 * quantile(m.waits, 0.99), response99: 1000 * quantile(m.responses, 0.99),
		meanResponse: 1000 * mean(m.responses), laterWait99: 1000 * quantile(m.laterWaits, 0.99),
		waited: float64(m.queued) / float64(max(m.placed, 1)), handed: float64(m.handed) / float64(max(m.placed, 1)),
	}
	r.offers = float64(m.offersSent) / modelDuration / float64(m.targets)
	var busy, flows []float64
	for _, t := range m.agents {
		busy = append(busy, t.busyTime/float64(t.slots))
		flows = append(flows, float64(t.flows))
	}
	r.imbalance, r.flowImbalance = slices.Max(busy)/mean(busy), slices.Max(flows)/mean(flows)
	return r
}

func mean(v []float64) float64 {
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(max(len(v), 1))
}

func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[int(q*float64(len(v)-1))]
}

// runSeeds returns the mean result over several seeds.
func runSeeds(s scenario, p policy, seeds []uint64) result {
	var sum result
	n := float64(len(seeds))
	for _, seed := range seeds {
		r := newModel(s, p, seed).run()
		sum.waited += r.waited / n
		sum.handed += r.handed / n
		sum.meanWait += r.meanWait / n
		sum.wait99 += r.wait99 / n
		sum.response99 += r.response99 / n
		sum.meanResponse += r.meanResponse / n
		sum.laterWait99 += r.laterWait99 / n
		sum.imbalance += r.imbalance / n
		sum.flowImbalance += r.flowImbalance / n
		sum.offers += r.offers / n
	}
	return sum
}
