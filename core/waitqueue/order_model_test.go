package waitqueue

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

// modelRoute is a route of the model. Times are in seconds.
type modelRoute struct {
	priority                 int
	work, objective, timeout float64
	// share is the share of the requests, openShare the part of them that come on
	// open flows.
	share, openShare float64
}

// modelRoutes has an urgent route whose requests open a flow each, as those that
// are not idempotent do, and one of low priority whose callers keep their flows.
var modelRoutes = []modelRoute{
	{priority: 0, work: 0.020, objective: 0.100, timeout: 0.6, share: 0.1, openShare: 0.2},
	{priority: 1, work: 0.039, objective: 0.200, timeout: 1.2, share: 0.4, openShare: 0.1},
	{priority: 2, work: 0.030, objective: 0.200, timeout: 1.2, share: 0.5, openShare: 0.6},
}

// worth is the worth of an answer within the objective, by priority. One within
// the timeout is worth half.
var worth = []float64{4, 2, 1}

const lateWorth = 0.5

// burst describes the load of the model.
type burst struct {
	name string
	// load is the offered work as a fraction of the capacity of the targets at
	// full speed, in [burstStart, burstEnd). At other times it is baseLoad.
	load float64
	// slow is the share of the targets that are four times slower.
	slow float64
	// cold says that all targets are 1.6 times slower in the first two seconds of
	// the burst.
	cold bool
	// total says that the timeout counts from the first try of a request.
	total bool
	// routes are the routes, modelRoutes if there are none.
	routes []modelRoute
}

const (
	orderTargets, orderSlots = 12, 2
	baseLoad                 = 0.5
	burstStart, burstEnd     = 2.0, 8.0
	orderEnd                 = 12.0
	maxTries                 = 3
	retryDelay               = 0.05
	coldFactor, coldTime     = 1.6, 2.0
	slowFactor               = 4.0
	giveUp                   = 1.35
)

// order is a way to order and refuse waiting requests.
type order struct {
	name string
	// before reports whether a goes before b at the time now.
	before func(a, b *waiting, now float64) bool
	// hold holds requests on open flows in the queue.
	hold bool
	// holdLimit is how long a request on an open flow is held at most, 0 for no
	// limit. It goes to the target then.
	holdLimit float64
	// lowShare is the number of admissions of which one goes to the lowest
	// priority that waits, 0 for none.
	lowShare int
	// predict refuses a request when its predicted start is too late.
	predict bool
	// starve refuses late requests if none was served for two seconds.
	starve bool
	// central uses one queue for all targets.
	central bool
}

// waiting is one try of a request.
type waiting struct {
	route   *modelRoute
	arrived float64
	since   float64
	tries   int
	open    bool
	work    float64
	// expected is the expected time of the request at the target.
	expected float64
	// answerTime is the time within which nearly all answers come.
	answerTime float64
}

func (w *waiting) late(now float64) bool {
	return now-w.since+w.answerTime > w.route.objective
}

type orderTarget struct {
	slow     float64
	busy     int
	fifo     []*waiting
	queue    []*waiting
	lastLate float64
	passed   int
}

type orderEvent struct {
	at  float64
	seq int
	do  func()
}

type orderEvents []orderEvent

func (q orderEvents) Len() int { return len(q) }
func (q orderEvents) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q orderEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *orderEvents) Push(x any)   { *q = append(*q, x.(orderEvent)) }
func (q *orderEvents) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

type orderModel struct {
	burst
	order
	random  *rand.Rand
	now     float64
	seq     int
	events  orderEvents
	targets []*orderTarget
	central []*waiting
	// earned and offered are the worths by priority.
	earned, offered [3]float64
	count, lost     [3]int
}

func (m *orderModel) after(d float64, do func()) {
	m.seq++
	heap.Push(&m.events, orderEvent{m.now + d, m.seq, do})
}

// factor returns by how much slower a target is now.
func (m *orderModel) factor(t *orderTarget) float64 {
	if m.cold && m.now >= burstStart && m.now < burstStart+coldTime {
		return t.slow * coldFactor
	}
	return t.slow
}

func runOrder(b burst, o order, seed uint64) *orderModel {
	m := &orderModel{burst: b, order: o, random: rand.New(rand.NewPCG(seed, 9))}
	for i := range orderTargets {
		t := &orderTarget{slow: 1}
		if float64(i) < b.slow*orderTargets {
			t.slow = slowFactor
		}
		m.targets = append(m.targets, t)
	}
	arrivals := rand.New(rand.NewPCG(seed, 10))
	work := 0.0
	routes := b.routes
	if routes == nil {
		routes = modelRoutes
	}
	for _, r := range routes {
		work += r.share * r.work
	}
	var next func()
	next = func() {
		if m.now >= orderEnd-2 {
			return
		}
		load := baseLoad
		if m.now >= burstStart && m.now < burstEnd {
			load = b.load
		}
		x := arrivals.Float64()
		i := 0
		for i < len(routes)-1 && x > routes[i].share {
			x -= routes[i].share
			i++
		}
		r := &routes[i]
		const sigma = 0.5
		w := &waiting{route: r, arrived: m.now, since: m.now, open: arrivals.Float64() < r.openShare,
			work: r.work * math.Exp(sigma*arrivals.NormFloat64()-sigma*sigma/2)}
		home := arrivals.IntN(orderTargets)
		m.offered[r.priority] += worth[r.priority]
		m.count[r.priority]++
		gap := arrivals.ExpFloat64() * work / (load * orderTargets * orderSlots)
		m.arrive(w, home)
		m.after(gap, next)
	}
	m.after(0, next)
	for len(m.events) > 0 && m.events[0].at < orderEnd+10 {
		e := heap.Pop(&m.events).(orderEvent)
		m.now = e.at
		e.do()
	}
	return m
}

// arrive handles a try of a request. One on an open flow goes to the target of
// its flow.
func (m *orderModel) arrive(w *waiting, flowTarget int) {
	if m.order.central {
		w.expected = w.route.work
		w.answerTime = 1.8 * w.expected
		m.central = append(m.central, w)
		m.dispatchCentral()
		return
	}
	t := m.targets[flowTarget]
	if !w.open {
		t = m.place()
	}
	w.expected = w.route.work * m.factor(t)
	w.answerTime = 1.8 * w.expected
	switch {
	case t.busy+len(t.fifo) < orderSlots+1 && len(t.queue) == 0, w.open && !m.hold:
		m.deliver(t, w)
	default:
		if len(t.queue) == 0 {
			t.lastLate = m.now
		}
		t.queue = append(t.queue, w)
		if w.open && m.holdLimit > 0 {
			m.after(m.holdLimit, func() {
				if i := slices.Index(t.queue, w); i >= 0 {
					t.queue = slices.Delete(t.queue, i, i+1)
					m.deliver(t, w)
				}
			})
		}
		if m.predict {
			m.refuseHopeless(t)
		}
	}
}

// place returns the better of two random targets.
func (m *orderModel) place() *orderTarget {
	draw := func() *orderTarget {
		for {
			t := m.targets[m.random.IntN(len(m.targets))]
			if m.random.Float64() < 1/t.slow {
				return t
			}
		}
	}
	a, b := draw(), draw()
	load := func(t *orderTarget) float64 { return float64(t.busy+len(t.fifo)+len(t.queue)+1) * t.slow }
	if load(b) < load(a) {
		return b
	}
	return a
}

func (m *orderModel) deliver(t *orderTarget, w *waiting) {
	if t.busy < orderSlots {
		m.serve(t, w)
		return
	}
	t.fifo = append(t.fifo, w)
}

func (m *orderModel) serve(t *orderTarget, w *waiting) {
	t.busy++
	m.after(w.work*m.factor(t), func() {
		t.busy--
		m.answer(w)
		if m.order.central {
			m.dispatchCentral()
			return
		}
		m.admit(t)
	})
}

func (m *orderModel) answer(w *waiting) {
	took := m.now - w.arrived
	p := w.route.priority
	switch {
	case took <= w.route.objective:
		m.earned[p] += worth[p]
	case m.now-w.since <= w.route.timeout && (!m.total || m.now-w.arrived <= w.route.timeout):
		m.earned[p] += worth[p] * lateWorth
	default:
		m.lost[p]++
	}
}

// refuse refuses a try. The caller tries again unless it was the last one.
func (m *orderModel) refuse(w *waiting) {
	if w.open || w.tries+1 >= maxTries || m.total && m.now-w.arrived > w.route.timeout {
		m.lost[w.route.priority]++
		return
	}
	m.after(retryDelay, func() {
		again := *w
		again.tries++
		again.since, again.open = m.now, false
		m.arrive(&again, 0)
	})
}

// admit gives waiting requests to the target, and refuses those that cannot be
// served in time.
func (m *orderModel) admit(t *orderTarget) {
	for t.busy < orderSlots && len(t.fifo) > 0 {
		w := t.fifo[0]
		t.fifo = t.fifo[1:]
		m.serve(t, w)
	}
	m.expire(&t.queue, t)
	for len(t.queue) > 0 && t.busy+len(t.fifo) < orderSlots+1 {
		m.deliver(t, m.pop(&t.queue, t))
	}
}

func (m *orderModel) pop(q *[]*waiting, t *orderTarget) *waiting {
	best, lowest := 0, 0
	for i := range *q {
		if m.before((*q)[i], (*q)[best], m.now) {
			best = i
		}
		if a, b := (*q)[i], (*q)[lowest]; a.route.priority > b.route.priority || a.route.priority == b.route.priority && m.before(a, b, m.now) {
			lowest = i
		}
	}
	if t != nil && m.lowShare > 0 && (*q)[best].route.priority < (*q)[lowest].route.priority {
		if t.passed++; t.passed >= m.lowShare {
			t.passed, best = 0, lowest
		}
	}
	w := (*q)[best]
	*q = slices.Delete(*q, best, best+1)
	if t != nil && w.late(m.now) {
		t.lastLate = m.now
	}
	return w
}

// expire refuses the requests that can no longer be served before their timeout.
func (m *orderModel) expire(q *[]*waiting, t *orderTarget) {
	var refused []*waiting
	*q = slices.DeleteFunc(*q, func(w *waiting) bool {
		limit := w.route.timeout
		if !w.open {
			limit = min(limit, giveUp)
		}
		gone := m.now-w.since+w.expected > limit || m.starve && t != nil && m.now-t.lastLate > 2 && w.late(m.now)
		if gone {
			refused = append(refused, w)
		}
		return gone
	})
	for _, w := range refused {
		m.refuse(w)
	}
}

// refuseHopeless refuses the requests whose predicted start is after their
// timeout.
func (m *orderModel) refuseHopeless(t *orderTarget) {
	sorted := slices.Clone(t.queue)
	slices.SortStableFunc(sorted, func(a, b *waiting) int {
		switch {
		case m.before(a, b, m.now):
			return -1
		case m.before(b, a, m.now):
			return 1
		}
		return 0
	})
	ahead := 0.0
	for _, w := range sorted {
		if m.now-w.since+ahead/orderSlots+w.expected > w.route.timeout {
			t.queue = slices.DeleteFunc(t.queue, func(x *waiting) bool { return x == w })
			m.refuse(w)
			continue
		}
		ahead += w.expected
	}
}

func (m *orderModel) dispatchCentral() {
	m.expire(&m.central, nil)
	for len(m.central) > 0 {
		var best *orderTarget
		for _, t := range m.targets {
			if t.busy < orderSlots && (best == nil || t.slow < best.slow) {
				best = t
			}
		}
		if best == nil {
			return
		}
		m.serve(best, m.pop(&m.central, nil))
	}
}

// The orders that are compared.
func todayOrder(a, b *waiting, now float64) bool {
	if aLate, bLate := a.late(now), b.late(now); aLate != bLate {
		return bLate
	}
	return cmp.Or(cmp.Compare(a.route.priority, b.route.priority), cmp.Compare(a.since, b.since)) < 0
}

func deadlineOrder(a, b *waiting, now float64) bool {
	if aLate, bLate := a.late(now), b.late(now); aLate != bLate {
		return bLate
	}
	return a.since+a.route.objective < b.since+b.route.objective
}

func priorityOrder(a, b *waiting, now float64) bool {
	if a.route.priority != b.route.priority {
		return a.route.priority < b.route.priority
	}
	return todayOrder(a, b, now)
}

// gain returns the worth that a request earns per time of a slot, if it is served
// now.
func (w *waiting) gain(now float64) float64 {
	g := worth[w.route.priority] / w.expected
	if w.late(now) {
		g *= lateWorth
	}
	return g
}

func gainOrder(a, b *waiting, now float64) bool {
	if ga, gb := a.gain(now), b.gain(now); ga != gb {
		return ga > gb
	}
	return a.since < b.since
}
