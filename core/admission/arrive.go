package admission

import "time"

const (
	// maxWait is the longest wait of a request without a deadline.
	maxWait = 30 * time.Second
	// drainWait is the longest wait for a peer while the agent drains. New
	// requests must stop within 5 s of a drain.
	drainWait = 5 * time.Second
)

func (m *Machine) arrive(ev Arrive) {
	if _, known := m.requests[ev.ID]; known {
		return
	}
	r := m.newRequest(ev)
	m.requests[r.id] = r
	m.enqueue(r)
	if r.fromPeer {
		m.arriveFromPeer(r, ev.Grant)
		return
	}
	m.budget.request(m.now)
	m.arriveFromCaller(r)
}

func (m *Machine) newRequest(ev Arrive) *request {
	class, known := m.classes[ev.Class]
	deadline := ev.Deadline
	if deadline == 0 && class.Deadline > 0 {
		deadline = m.now + class.Deadline
	}
	if deadline == 0 {
		deadline = m.now + maxWait
	}
	return &request{
		id: ev.ID, slotless: known && !class.HoldsSlot, repeatable: ev.Repeatable,
		fromPeer: ev.Grant != 0, deadline: deadline,
	}
}

// arriveFromPeer starts a request that was handed over under a grant. If no
// slot is free, the request waits at the head of the queue.
func (m *Machine) arriveFromPeer(r *request, id GrantID) {
	g, ok := m.issued.take(id)
	if !ok {
		m.end(r, ReasonGrantExpired)
		return
	}
	if m.now >= r.deadline {
		m.end(r, ReasonDeadline)
		return
	}
	r.slotless = g.slotless
	if r.slotless || m.running < m.slots() {
		m.run(r)
		return
	}
	if m.draining {
		m.end(r, ReasonDraining)
		return
	}
	m.moveToHead(r)
}

// moveToHead moves a request of a peer from the tail of the queue to the head,
// behind the earlier requests of peers.
func (m *Machine) moveToHead(r *request) {
	m.waiting = m.waiting[:len(m.waiting)-1]
	i := 0
	for i < len(m.waiting) && m.waiting[i].fromPeer {
		i++
	}
	m.waiting = append(m.waiting[:i], append([]*request{r}, m.waiting[i:]...)...)
}

func (m *Machine) arriveFromCaller(r *request) {
	if m.now >= r.deadline {
		m.end(r, ReasonDeadline)
		return
	}
	if m.draining {
		r.deadline = min(r.deadline, m.now+drainWait)
	}
	if !m.localAllowed(r) && !m.peersAllowed(r) {
		m.end(r, ReasonDraining)
		return
	}
	m.schedule(r)
}

// schedule decides what happens next to a request without an attempt in
// progress. If the request stays in the queue, assignFreeSlots starts it when a
// slot is free.
func (m *Machine) schedule(r *request) {
	switch {
	case r.slotless && m.localAllowed(r) && !m.atConnectionLimit():
		m.run(r)
	case m.tryBetterPeer(r):
		r.hold = true
	default:
		m.scheduleWithoutPeer(r)
	}
}

func (m *Machine) scheduleWithoutPeer(r *request) {
	r.hold, r.triedPeers, r.nextReserve = false, nil, m.now+reserveInterval
	switch {
	case m.draining && r.runs == 0:
		// The request stays in the queue and tries peers until its deadline.
	case !m.localAllowed(r):
		m.end(r, "")
	case r.slotless:
		m.end(r, ReasonConnectionLimit)
	case m.freeSlots() <= 0:
		m.admitToQueue(r)
	}
}

// admitToQueue refuses a request if the queue is full or if the request would
// probably not start before its deadline.
func (m *Machine) admitToQueue(r *request) {
	ahead := m.queued() - 1
	switch {
	case ahead >= m.limits.QueuePerSlot*m.limits.Slots:
		m.overflow(r)
	case m.now+m.estimateWait(ahead) > r.deadline:
		m.end(r, ReasonDeadline)
	}
}

// overflow handles a request that finds the queue full. It refuses the request
// unless a Reserve without a score limit can be sent to a peer, which is tried
// once.
func (m *Machine) overflow(r *request) {
	if r.triedOnOverflow || !m.tryReserve(r, 0) {
		m.end(r, ReasonQueueFull)
		return
	}
	r.triedOnOverflow, r.hold = true, true
}

// estimateWait estimates the time until the local target starts a request that
// has the given number of requests ahead of it.
func (m *Machine) estimateWait(ahead int) time.Duration {
	s := m.meter.serviceTime()
	return s * time.Duration(ahead+1) / time.Duration(m.slots())
}
