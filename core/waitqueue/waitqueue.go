// Package waitqueue orders new flows and requests on open flows that wait for a
// free slot of a target. It
// is made for the load after an outage or a burst, when more flows arrive than
// the target can serve at once. In a FIFO queue every flow would be late. Here
// the flows that can still meet their objective go first, and the late flows
// get the remaining slots.
//
// A flow is late if it can no longer meet its objective.
package waitqueue

import (
	"slices"
	"time"
)

// starvedAfter is the time without a served late flow after which the waiting
// late flows are refused. It is longer than it takes to serve the backlog of an
// outage, because refused callers would retry at once and use up their
// attempts.
const starvedAfter = 2 * time.Second

// lowestShare is the number of flows of which Pop returns one of the lowest
// waiting priority, whatever the others are. In a lasting overload the lowest
// priority would get nothing otherwise. In the model a share of a twentieth costs
// up to 0.02 of the worth, and one of a tenth up to 0.04
// (docs/design/overload.md).
const lowestShare = 20

// Item is a waiting flow.
type Item[K comparable, V any] struct {
	Key   K
	Value V
	// Since is when the caller began to wait.
	Since time.Duration
	// Priority 0 is the highest.
	Priority int
	// Objective is the time within which the caller wants its answer, Timeout
	// the time after which it gives up. Both count from Since.
	Objective, Timeout time.Duration
}

// Queue is a bounded queue of waiting flows. It is not safe for concurrent use.
type Queue[K comparable, V any] struct {
	limit int
	items []Item[K, V]
	// lastLateServed is when Pop last returned a late flow, or when a flow was
	// last added to the empty queue, whichever was later.
	lastLateServed time.Duration
	// passedOver is the number of flows that Pop has returned before one of a
	// lower priority since it last returned one of the lowest.
	passedOver int
}

// New returns a queue of at most limit flows.
func New[K comparable, V any](limit int) *Queue[K, V] { return &Queue[K, V]{limit: limit} }

// Len returns the number of waiting flows.
func (q *Queue[K, V]) Len() int { return len(q.items) }

// Push adds a flow. If the queue is full, Push removes and returns the flow that
// Pop would return last. This may be the added flow. answerTime is as for Pop.
func (q *Queue[K, V]) Push(it Item[K, V], now, answerTime time.Duration) (evicted Item[K, V], full bool) {
	if len(q.items) == 0 {
		q.lastLateServed = now
	}
	q.items = append(q.items, it)
	if len(q.items) <= q.limit {
		return evicted, false
	}
	last := 0
	for i := range q.items {
		if !q.before(&q.items[i], &q.items[last], now, answerTime) {
			last = i
		}
	}
	evicted = q.items[last]
	q.remove(last)
	return evicted, true
}

// UpdateSince reports whether a flow is in the queue. It sets the flow's Since to
// since if that is earlier.
func (q *Queue[K, V]) UpdateSince(key K, since time.Duration) bool {
	for i := range q.items {
		if q.items[i].Key == key {
			q.items[i].Since = min(q.items[i].Since, since)
			return true
		}
	}
	return false
}

// Value returns the value of a waiting flow, or nil if the flow does not wait. The
// result is valid until the next change of the queue.
func (q *Queue[K, V]) Value(key K) *V {
	for i := range q.items {
		if q.items[i].Key == key {
			return &q.items[i].Value
		}
	}
	return nil
}

// Pop removes and returns the next flow. Flows that can still meet their
// objective come before late ones, then flows are ordered by priority and age. One
// of lowestShare flows is of the lowest waiting priority.
// answerTime is the time from admission within which nearly all answers arrive.
// With only the mean of that time, an overloaded target would serve each flow at
// the limit of its objective, and half of them late.
func (q *Queue[K, V]) Pop(now, answerTime time.Duration) (it Item[K, V], ok bool) {
	if len(q.items) == 0 {
		return it, false
	}
	best, lowest := 0, 0
	for i := range q.items {
		if q.before(&q.items[i], &q.items[best], now, answerTime) {
			best = i
		}
		if a, b := &q.items[i], &q.items[lowest]; a.Priority > b.Priority || a.Priority == b.Priority && q.before(a, b, now, answerTime) {
			lowest = i
		}
	}
	if q.items[best].Priority < q.items[lowest].Priority {
		if q.passedOver++; q.passedOver >= lowestShare {
			best = lowest
		}
	}
	if best == lowest {
		q.passedOver = 0
	}
	it = q.items[best]
	q.remove(best)
	if it.late(now, answerTime) {
		q.lastLateServed = now
	}
	return it, true
}

// TakeFirst removes and returns the first flow, in the order of Pop, for which
// take returns true.
func (q *Queue[K, V]) TakeFirst(now, answerTime time.Duration, take func(*Item[K, V]) bool) (it Item[K, V], ok bool) {
	order := make([]int, len(q.items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		switch {
		case q.before(&q.items[a], &q.items[b], now, answerTime):
			return -1
		case q.before(&q.items[b], &q.items[a], now, answerTime):
			return 1
		}
		return 0
	})
	for _, i := range order {
		if take(&q.items[i]) {
			it = q.items[i]
			q.remove(i)
			return it, true
		}
	}
	return it, false
}

func (q *Queue[K, V]) before(a, b *Item[K, V], now, answerTime time.Duration) bool {
	aLate, bLate := a.late(now, answerTime), b.late(now, answerTime)
	switch {
	case aLate != bLate:
		return bLate
	case a.Priority != b.Priority:
		return a.Priority < b.Priority
	default:
		return a.Since < b.Since
	}
}

func (it *Item[K, V]) late(now, answerTime time.Duration) bool {
	return now-it.Since+answerTime > it.Objective
}

// PopExpired removes and returns a flow that cannot be served before its caller
// gives up, if there is one. service is the mean service time of a request.
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

// PopStarved removes and returns a late flow, if there is one and no late flow
// was served for starvedAfter because flows in time took all slots. The late
// flow would otherwise wait until its caller gives up.
func (q *Queue[K, V]) PopStarved(now, answerTime time.Duration) (it Item[K, V], ok bool) {
	if now-q.lastLateServed < starvedAfter {
		return it, false
	}
	for i := range q.items {
		if q.items[i].late(now, answerTime) {
			it = q.items[i]
			q.remove(i)
			return it, true
		}
	}
	return it, false
}

// Remove removes a flow, if it is in the queue.
func (q *Queue[K, V]) Remove(key K) {
	q.items = slices.DeleteFunc(q.items, func(it Item[K, V]) bool { return it.Key == key })
}

func (q *Queue[K, V]) remove(i int) { q.items = append(q.items[:i], q.items[i+1:]...) }
