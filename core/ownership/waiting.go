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
	// openingLimit is the age at which a caller gives up an opening packet.
	openingLimit = 1350 * time.Millisecond
	// maxAhead bounds the flows that are admitted beyond the slots, in parts of
	// the slots.
	maxAhead = 3
	// firstCopy and secondCopy are the ages of a caller's copies of its
	// opening packet.
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
)

// waiting is a new flow that waits for a slot.
type waiting struct {
	raw []byte
	msg relay.Message
}

// ageOf returns how long the caller has waited for an answer to its opening
// packet.
func ageOf(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return firstCopy
	default:
		return secondCopy
	}
}

// full reports whether another request would wait at the target.
func (m *Machine) full() bool {
	slots := m.slots()
	return slots > 0 && m.stats.admitted() >= slots+m.ahead(slots)
}

// ahead is the number of flows that are admitted beyond the slots. The request
// of an accepted flow takes a round trip to come, and a slot that becomes free
// meanwhile would be idle: so as many as become free in a round trip.
func (m *Machine) ahead(slots int) int {
	ahead := 1 + slots/8
	if service := m.serviceTime(); service > 0 {
		freed := float64(slots) * float64(m.roundTrips.Mean()) / float64(service)
		ahead = max(ahead, int(min(math.Round(freed), float64(maxAhead*slots))))
	}
	return ahead
}

// hold lets a new flow wait for a slot, and reports whether the target gets it
// later or not at all.
func (m *Machine) hold(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) bool {
	since := now - ageOf(p.Ack)
	if !m.queue.UpdateSince(p.Key, since) {
		if !m.full() {
			return false
		}
		it := waitqueue.Item[flow.Key, waiting]{
			Key: p.Key, Since: since, Objective: defaultObjective, Timeout: defaultTimeout,
			Value: waiting{slices.Clone(p.Raw), relay.Message{Origin: msg.Origin, Home: msg.Home, Hops: msg.Hops, RefusedBy: msg.RefusedBy}},
		}
		if r, ok := m.View.Route(p.Key.Service()); ok {
			it.Priority = r.Priority
			it.Objective = cmp.Or(time.Duration(r.ObjectiveMS)*time.Millisecond, defaultObjective)
			it.Timeout = min(openingLimit, cmp.Or(time.Duration(r.TimeoutMS)*time.Millisecond, defaultTimeout))
		}
		left, full := m.queue.Push(it, now, m.answerTime())
		if full {
			m.refuseWaiting(&left, "queue_full", out)
			if left.Key == it.Key {
				return true
			}
		}
		out.Event(plane.Event{Kind: plane.EventQueued, Flow: p.Key, PacketSeq: p.Seq, Reason: "target_busy", Value: int64(m.queue.Len())})
	}
	m.tell(relay.Waiting, p.Key, msg, out)
	return true
}

// admit gives waiting flows to the target as long as it has free slots.
func (m *Machine) admit(now time.Duration, out *plane.Out) {
	if m.queue.Len() == 0 {
		return
	}
	service, answer := m.serviceTime(), m.answerTime()
	for it, ok := m.queue.PopExpired(now, service); ok; it, ok = m.queue.PopExpired(now, service) {
		m.refuseWaiting(&it, "no_slot_in_time", out)
	}
	for it, ok := m.queue.PopStarved(now, answer); ok; it, ok = m.queue.PopStarved(now, answer) {
		m.refuseWaiting(&it, "overload", out)
	}
	reason := m.refusal(now)
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
		out.Event(plane.Event{Kind: plane.EventAdmitted, Flow: it.Key, PacketSeq: p.Seq, Value: (now - it.Since).Milliseconds()})
		out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyQueued, Service: m.Service, Took: now - it.Since})
		m.deliverOpening(now, &p, &it.Value.msg, out)
	}
}

// refuseWaiting answers the caller of a flow that waited. The flow has reached
// no target.
func (m *Machine) refuseWaiting(it *waitqueue.Item[flow.Key, waiting], reason string, out *plane.Out) {
	if p, err := m.Codec.FromCaller(it.Value.raw); err == nil {
		m.refuse(&p, &it.Value.msg, reason, out)
	}
}

// answerTime is the time from the admission of a flow in which nearly all first
// answers come.
func (m *Machine) answerTime() time.Duration {
	return max(m.firstAnswers.UpperEstimate(), m.serviceTime())
}

// serviceTime is the mean time of a request that does not wait.
func (m *Machine) serviceTime() time.Duration {
	return time.Duration(m.stats.serviceTime * float64(time.Second))
}
