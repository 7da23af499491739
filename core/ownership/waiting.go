package ownership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/waitqueue"
)

const (
	// maxWaiting bounds the new flows that wait for the target.
	maxWaiting = 256
	// defaultObjective and defaultTimeout stand for those of a route that is
	// not known.
	defaultObjective = 200 * time.Millisecond
	defaultTimeout   = 1200 * time.Millisecond
	// openingTimeout is the age at which a caller gives up an opening packet.
	openingTimeout = 1350 * time.Millisecond
	// maxAheadRatio bounds the flows that are admitted beyond the slots, in parts of
	// the slots.
	maxAheadRatio = 3
	// firstCopyAge and secondCopy are the ages of a caller's copies of its
	// opening packet.
	firstCopyAge  = 200 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond
)

// queuedFlow is a new flow that waits for a slot.
type queuedFlow struct {
	raw []byte
	msg relay.Message
}

// callerWait returns how long the caller has waited for an answer to its opening
// packet.
func callerWait(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return firstCopyAge
	default:
		return secondCopyAge
	}
}

// full reports whether another request would wait at the target.
func (m *Machine) full() bool {
	slots := m.slots()
	return slots > 0 && m.stats.admitted() >= slots+m.maxAhead(slots)
}

// maxAhead is the number of flows that are admitted beyond the slots. The request
// of an accepted flow takes a round trip to come, and a slot that becomes free
// meanwhile would be idle: so as many as become free in a round trip.
func (m *Machine) maxAhead(slots int) int {
	ahead := 1 + slots/8
	if service := m.serviceTime(); service > 0 {
		freed := float64(slots) * float64(m.roundTripTimes.Mean()) / float64(service)
		ahead = max(ahead, int(min(math.Round(freed), float64(maxAheadRatio*slots))))
	}
	return ahead
}

// queueIfFull lets a new flow wait for a slot, and reports whether the target gets it
// later or not at all.
func (m *Machine) queueIfFull(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) bool {
	since := now - callerWait(p.Ack)
	if !m.queue.Has(p.Key, since) {
		if !m.full() {
			return false
		}
		it := waitqueue.Item[flow.Key, queuedFlow]{
			Key: p.Key, Since: since, Objective: defaultObjective, Timeout: defaultTimeout,
			Value: queuedFlow{slices.Clone(p.Raw), relay.Message{Origin: msg.Origin, Home: msg.Home, Hops: msg.Hops, RefusedBy: msg.RefusedBy}},
		}
		if r, ok := m.View.Route(p.Key.Service()); ok {
			it.Priority = r.Priority
			it.Objective = cmp.Or(time.Duration(r.ObjectiveMS)*time.Millisecond, defaultObjective)
			it.Timeout = min(openingTimeout, cmp.Or(time.Duration(r.TimeoutMS)*time.Millisecond, defaultTimeout))
		}
		left, full := m.queue.Push(it, now, m.answerTime())
		if full {
			m.refuseWaiting(&left, "queue_full", out)
			if left.Key == it.Key {
				return true
			}
		}
		out.Event(plane.Event{Kind: plane.EventQueued, Flow: p.Key, Number: p.Seq, Reason: "target_busy", Value: int64(m.queue.Len())})
	}
	m.notify(relay.Waiting, p.Key, msg, out)
	return true
}

// admit gives waiting flows to the target as long as it has free slots.
func (m *Machine) admit(now time.Duration, out *plane.Out) {
	if m.queue.Len() == 0 {
		return
	}
	service, answer := m.serviceTime(), m.answerTime()
	for it, ok := m.queue.Expired(now, service); ok; it, ok = m.queue.Expired(now, service) {
		m.refuseWaiting(&it, "no_slot_in_time", out)
	}
	for it, ok := m.queue.Hopeless(now, answer); ok; it, ok = m.queue.Hopeless(now, answer) {
		m.refuseWaiting(&it, "overload", out)
	}
	reason := m.refusalReason(now)
	for m.queue.Len() > 0 && (reason != "" || !m.full()) {
		it, _ := m.queue.Pop(now, answer)
		p, err := m.Codec.FromCaller(it.Value.raw)
		if err != nil {
			continue
		}
		if reason != "" {
			m.handOver(now, &p, &it.Value.msg, reason, out)
			continue
		}
		out.Event(plane.Event{Kind: plane.EventAdmitted, Flow: it.Key, Number: p.Seq, Value: (now - it.Since).Milliseconds()})
		out.Times = append(out.Times, plane.Time{Kind: plane.TimeQueued, Service: m.Service, Took: now - it.Since})
		m.deliverOpening(now, &p, &it.Value.msg, out)
	}
}

// refuseWaiting answers the caller of a flow that waited. The flow has reached
// no target.
func (m *Machine) refuseWaiting(it *waitqueue.Item[flow.Key, queuedFlow], reason string, out *plane.Out) {
	if p, err := m.Codec.FromCaller(it.Value.raw); err == nil {
		m.refuse(&p, &it.Value.msg, reason, out)
	}
}

// answerTime is the time from the admission of a flow in which nearly all first
// answers come.
func (m *Machine) answerTime() time.Duration {
	return max(m.firstAnswerTimes.Usual(), m.serviceTime())
}

// serviceTime is the mean time of a request that does not wait.
func (m *Machine) serviceTime() time.Duration {
	return time.Duration(m.stats.serviceTime * float64(time.Second))
}
