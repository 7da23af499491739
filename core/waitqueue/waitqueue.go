// Package waitqueue orders new flows that wait for a free slot of a target. It
// answers the load after an outage or a burst, when more flows come than the
// target can serve at once: in a plain queue every flow would be late, here
// the flows that can still meet their objective go first, and those that are
// late already take what is left.
package waitqueue

import "time"

// starvedAfter is how long no late flow may have been served before those
// that wait are refused. The backlog of an outage is served in less: refused
// callers would come back at once and use up their tries.
const starvedAfter = 2 * time.Second

// Item is a waiting flow.
type Item[K comparable, V any] struct {
	Key   K
	Value V
	// Since is when its caller began to wait.
	Since time.Duration
	// Priority 0 is the highest.
	Priority int
	// Objective is the time in which the caller wants its answer, Timeout the
	// time after which it gives up.
	Objective, Timeout time.Duration
}

// Queue is a bounded queue. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	limit int
	items []Item[K, V]
	// lastLateServed is when a late flow was last next, or no flow waited.
	lastLateServed time.Duration
}

// New returns a queue for at most limit flows.
func New[K comparable, V any](limit int) *Queue[K, V] { return &Queue[K, V]{limit: limit} }

// Len returns the number of waiting flows.
func (q *Queue[K, V]) Len() int { return len(q.items) }

// Push adds a flow. If the queue is full, the flow that would be next after all
// others leaves it and is returned. That may be the added one. answer is as for
// Pop.
func (q *Queue[K, V]) Push(it Item[K, V], now, answer time.Duration) (left Item[K, V], full bool) {
	if len(q.items) == 0 {
		q.lastLateServed = now
	}
	q.items = append(q.items, it)
	if len(q.items) <= q.limit {
		return left, false
	}
	last := 0
	for i := range q.items {
		if !q.before(&q.items[i], &q.items[last], now, answer) {
			last = i
		}
	}
	left = q.items[last]
	q.remove(last)
	return left, true
}

// UpdateSince reports whether a flow waits. since moves back the time at which its
// caller began to wait, if it is earlier than known.
func (q *Queue[K, V]) UpdateSince(key K, since time.Duration) bool {
	for i := range q.items {
		if q.items[i].Key == key {
			q.items[i].Since = min(q.items[i].Since, since)
			return true
		}
	}
	return false
}

// Pop removes the flow that is next: of those that can meet their objective the
// most urgent by priority and then age, otherwise of the late ones. answer is
// the time from admission in which nearly all answers come. If it is only their
// mean, an overloaded target serves each flow at the edge of its objective and
// half of them late.
func (q *Queue[K, V]) Pop(now, answer time.Duration) (it Item[K, V], ok bool) {
	best := -1
	for i := range q.items {
		if best < 0 || q.before(&q.items[i], &q.items[best], now, answer) {
			best = i
		}
	}
	if best < 0 {
		return it, false
	}
	it = q.items[best]
	q.remove(best)
	if it.late(now, answer) {
		q.lastLateServed = now
	}
	return it, true
}

func (q *Queue[K, V]) before(a, b *Item[K, V], now, answer time.Duration) bool {
	aLate, bLate := a.late(now, answer), b.late(now, answer)
	switch {
	case aLate != bLate:
		return bLate
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	default:
		return a.Since < b.Since
	}
}

func (it *Item[K, V]) late(now, answer time.Duration) bool {
	return now-it.Since+answer > it.Objective
}

// PopExpired removes and returns a flow that cannot be served any more before its
// caller gives up, if there is one. service is the mean time of a request.
func (q *Queue[K, V]) PopExpired(now, service time.Duration) (it Item[K, V], ok bool) {
	for i := range q.items {
		if now-q.items[i].Since+service > q.items[i].Timeout {
			it = q.items[i]
			q.remove(i)
			return it, true
		}
	}
	return it, false
}

// PopStarved removes and returns a flow that is late already, if flows that are
// in time have taken all slots for a while. It would wait until its caller
// gives up.
func (q *Queue[K, V]) PopStarved(now, answer time.Duration) (it Item[K, V], ok bool) {
	if now-q.lastLateServed < starvedAfter {
		return it, false
	}
	for i := range q.items {
		if q.items[i].late(now, answer) {
			it = q.items[i]
			q.remove(i)
			return it, true
		}
	}
	return it, false
}

func (q *Queue[K, V]) remove(i int) { q.items = append(q.items[:i], q.items[i+1:]...) }
