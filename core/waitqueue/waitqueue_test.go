package waitqueue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

func item(key int, since time.Duration, priority int) Item[int, string] {
	return Item[int, string]{Key: key, Since: since, Priority: priority, Objective: 100 * ms, Timeout: time.Second}
}

// Guards against a backlog: the flows that arrived during an outage make those
// that arrive after it late too.
func TestFreshBeforeLate(t *testing.T) {
	q := New[int, string](10)
	push(q, item(1, 0, 1))
	push(q, item(2, 300*ms, 2))
	push(q, item(3, 350*ms, 2))
	push(q, item(4, 360*ms, 1))
	var order []int
	for it, ok := q.Pop(380*ms, 20*ms); ok; it, ok = q.Pop(380*ms, 20*ms) {
		order = append(order, it.Key)
	}
	// Flow 2 would be answered exactly at its objective, so it is not late.
	assert.DeepEqual(t, order, []int{4, 2, 3, 1})
}

// Guards against flows that stay in the queue although their callers will have
// given up before an answer.
func TestExpired(t *testing.T) {
	q := New[int, string](10)
	push(q, item(1, 0, 1))
	_, ok := q.PopExpired(980*ms, 20*ms)
	assert.Assert(t, !ok)
	it, ok := q.PopExpired(981*ms, 20*ms)
	assert.Assert(t, ok)
	assert.Equal(t, it.Key, 1)
	assert.Equal(t, q.Len(), 0)
}

// Guards against an unbounded queue, and against a flow that is in the queue
// twice.
func TestBoundAndCopies(t *testing.T) {
	q := New[int, string](1)
	_, full := push(q, item(1, 500*ms, 1))
	assert.Assert(t, !full)
	evicted, full := push(q, item(2, 500*ms, 1))
	assert.Assert(t, full)
	assert.Equal(t, evicted.Key, 2)
	assert.Equal(t, q.Len(), 1)
	assert.Assert(t, q.UpdateSince(1, 300*ms))
	assert.Assert(t, !q.UpdateSince(2, 300*ms))
	it, _ := q.Pop(600*ms, 20*ms)
	assert.Equal(t, it.Since, 300*ms)
}

// Guards against a full queue that rejects flows that can be served in time.
func TestFullQueueDropsTheLast(t *testing.T) {
	q := New[int, string](2)
	push(q, item(1, 0, 1))
	push(q, item(2, 450*ms, 1))
	evicted, full := push(q, item(3, 490*ms, 2))
	assert.Assert(t, full)
	assert.Equal(t, evicted.Key, 1)
	evicted, _ = push(q, item(4, 480*ms, 1))
	assert.Equal(t, evicted.Key, 3)
}

func push(q *Queue[int, string], it Item[int, string]) (Item[int, string], bool) {
	return q.Push(it, 500*ms, 20*ms)
}

// Guards against a lasting overload in which late flows wait until their
// callers give up, although flows in time take every slot.
func TestLateFlowsStarveInLastingOverload(t *testing.T) {
	const answer = 20 * ms
	q := New[int, string](10)
	late := item(1, 0, 1)
	late.Timeout = time.Hour
	q.Push(late, 0, answer)
	var refused time.Duration
	for now := 100 * ms; refused == 0; now += 50 * ms {
		q.Push(item(2, now, 1), now, answer)
		it, _ := q.Pop(now, answer)
		assert.Equal(t, it.Key, 2)
		if _, ok := q.PopStarved(now, answer); ok {
			refused = now
		}
	}
	assert.Equal(t, refused, starvedAfter)
	// A flow that can meet its objective is never starved.
	q.Push(item(3, refused, 1), refused, answer)
	_, ok := q.PopStarved(refused+50*ms, answer)
	assert.Assert(t, !ok)
}

// Guards against refusals while the backlog of an outage is served: if a late
// flow got a slot, other late flows will get one too.
func TestServedLateFlowEndsStarvation(t *testing.T) {
	const answer = 20 * ms
	q := New[int, string](10)
	q.Push(item(1, 0, 1), 0, answer)
	q.Push(item(2, 0, 1), 0, answer)
	it, _ := q.Pop(starvedAfter, answer)
	assert.Equal(t, it.Key, 1)
	_, ok := q.PopStarved(2*starvedAfter-ms, answer)
	assert.Assert(t, !ok)
	_, ok = q.PopStarved(2*starvedAfter, answer)
	assert.Assert(t, ok)
}

// Guards against a lasting overload in which the lowest priority gets nothing: it
// gets one slot in lowestShare. Without another priority that waits, the order is
// that of the other rules.
func TestLowestPriorityKeepsAShare(t *testing.T) {
	const answer = 20 * ms
	q := New[int, string](10)
	q.Push(item(1000, 0, 2), 0, answer)
	q.Push(item(1001, 0, 2), 0, answer)
	served := map[int]int{}
	for i := range 2*lowestShare + 5 {
		q.Push(item(i, 0, 1), 0, answer)
		it, _ := q.Pop(0, answer)
		served[it.Priority]++
	}
	assert.Equal(t, served[2], 2)
	assert.Equal(t, served[1], 2*lowestShare+3)
}

// Guards against a request that stays in the queue after its flow has ended, and
// against an offer that takes a flow out of its order.
func TestRemoveAndTakeFirst(t *testing.T) {
	q := New[int, string](10)
	push(q, item(1, 480*ms, 2))
	push(q, item(2, 490*ms, 1))
	push(q, item(3, 495*ms, 1))
	q.Remove(2)
	q.Remove(7)
	assert.Equal(t, q.Len(), 2)
	var seen []int
	it, ok := q.TakeFirst(500*ms, 20*ms, func(it *Item[int, string]) bool {
		seen = append(seen, it.Key)
		return it.Key == 1
	})
	assert.Assert(t, ok)
	assert.Equal(t, it.Key, 1)
	assert.DeepEqual(t, seen, []int{3, 1})
	_, ok = q.TakeFirst(500*ms, 20*ms, func(*Item[int, string]) bool { return false })
	assert.Assert(t, !ok)
	assert.Equal(t, q.Len(), 1)
}
