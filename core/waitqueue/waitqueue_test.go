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

// Guards against the load after an outage: what came during the outage makes
// what comes after it late too.
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
	// 2 would be answered at its objective, so it is still in time.
	assert.DeepEqual(t, order, []int{4, 2, 3, 1})
}

// Guards against flows that wait although their callers have given up.
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

// Guards against a queue without bound, and against a flow that waits twice.
func TestBoundAndCopies(t *testing.T) {
	q := New[int, string](1)
	_, full := push(q, item(1, 500*ms, 1))
	assert.Assert(t, !full)
	left, full := push(q, item(2, 500*ms, 1))
	assert.Assert(t, full)
	assert.Equal(t, left.Key, 2)
	assert.Equal(t, q.Len(), 1)
	assert.Assert(t, q.UpdateSince(1, 300*ms))
	assert.Assert(t, !q.UpdateSince(2, 300*ms))
	it, _ := q.Pop(600*ms, 20*ms)
	assert.Equal(t, it.Since, 300*ms)
}

// Guards against a full queue that keeps out flows which can be served in time.
func TestFullQueueDropsTheLast(t *testing.T) {
	q := New[int, string](2)
	push(q, item(1, 0, 1))
	push(q, item(2, 450*ms, 1))
	left, full := push(q, item(3, 490*ms, 2))
	assert.Assert(t, full)
	assert.Equal(t, left.Key, 1)
	left, _ = push(q, item(4, 480*ms, 1))
	assert.Equal(t, left.Key, 3)
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
	// A flow in time is never hopeless.
	q.Push(item(3, refused, 1), refused, answer)
	_, ok := q.PopStarved(refused+50*ms, answer)
	assert.Assert(t, !ok)
}

// Guards against refusals while the backlog of an outage is served: a late flow
// that got a slot shows that others will.
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
