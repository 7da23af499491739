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
	// maxQueued bounds the new flows and held requests that wait at the agent.
	maxQueued = 256
	// defaultObjective and defaultTimeout apply to flows of a route that is not
	// known or does not set them.
	defaultObjective = 200 * time.Millisecond
	defaultTimeout   = 1200 * time.Millisecond
	// openingTimeout is how long a caller waits for an answer to its opening
	// packet.
	openingTimeout = 1350 * time.Millisecond
	// maxAheadRatio bounds the flows that are admitted beyond the slots, as a
	// multiple of the slots.
	maxAheadRatio = 3
	// firstCopyAge and secondCopyAge are how long after its opening packet a
	// caller sends the first and the second copy of it.
	firstCopyAge  = 200 * time.Millisecond
	secondCopyAge = 600 * time.Millisecond
)

// queuedFlow is a new flow, or a request on an open flow, that waits at the agent.
type queuedFlow struct {
	raw []byte
	msg relay.Message
	// copies is the number of copies of the opening packet that the caller had
	// sent, according to the packets that came here.
	copies uint32
	// held says that the item is a request on an open flow, whose packets are in
	// ownedFlow.held. The other fields are not used then.
	held bool
}

// callerWait returns how long a caller has waited for an answer when it sends
// its opening packet after the given number of earlier copies.
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

// copiesSent returns how many copies of its opening packet a caller has sent
// after it has waited for an answer for some time. It is the inverse of
// callerWait.
func copiesSent(wait time.Duration) uint32 {
	switch {
	case wait < firstCopyAge:
		return 0
	case wait < secondCopyAge:
		return 1
	default:
		return 2
	}
}

// full reports whether another request would have to wait at the target.
func (m *Machine) full() bool {
	slots := m.slots()
	return slots > 0 && m.stats.admitted() >= slots+m.maxAhead(slots)
}

// maxAhead returns how many flows may be admitted beyond the slots. The request
// of an accepted flow arrives after a round trip. A slot that becomes free in
// that time would stay idle, so the result is the number of slots that become
// free in a round trip.
func (m *Machine) maxAhead(slots int) int {
	ahead := minAhead(slots)
	if service := m.serviceTime(); service > 0 {
		freed := float64(slots) * float64(m.roundTripTimes.Mean()) / float64(service)
		ahead = max(ahead, int(min(math.Round(freed), float64(maxAheadRatio*slots))))
	}
	return ahead
}

// minAhead returns how many flows are admitted beyond the slots at least.
func minAhead(slots int) int { return 1 + slots/8 }

// mustWait reports whether a new flow that the target may get has to wait.
func (m *Machine) mustWait(now time.Duration) bool { return m.waitReason(now) != "" }

// waitReason returns why a new flow has to wait, or an empty string.
func (m *Machine) waitReason(now time.Duration) string {
	switch {
	case m.awaitsView(now):
		return "no_view"
	case m.full():
		return "target_busy"
	case m.atWarmupLimit(now):
		return reasonWarmingUp
	}
	return ""
}

// queueIfMustWait queues a new flow that has to wait, or hands it over if another
// target has a free slot. It reports whether the target does not get the flow now.
func (m *Machine) queueIfMustWait(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) bool {
	if f := m.flows[p.Key]; f != nil {
		// The caller has reused the port for another flow.
		m.clearHeld(p.Key, f)
	}
	since := now - callerWait(p.Ack)
	if m.queue.UpdateSince(p.Key, since) {
		v := m.queue.Value(p.Key)
		v.copies = max(v.copies, p.Ack)
	} else {
		if !m.mustWait(now) || m.isOffered(p) {
			// A copy for the target that has the flow is no load.
			return false
		}
		if m.full() && m.handOverFull(now, p, msg, out) {
			return true
		}
		it := waitqueue.Item[flow.Key, queuedFlow]{
			Key: p.Key, Since: since,
			Value: queuedFlow{raw: slices.Clone(p.Raw), msg: relay.Message{Origin: msg.Origin, Home: msg.Home, Hops: msg.Hops, RefusedBy: msg.RefusedBy, Offered: msg.Offered}, copies: p.Ack},
		}
		m.setRouteTimes(&it)
		evicted, full := m.queue.Push(it, now, m.answerTime())
		if full {
			m.refuseQueued(now, &evicted, "queue_full", out)
			if evicted.Key == it.Key {
				return true
			}
		}
		out.Event(plane.Event{Kind: plane.EventQueued, Flow: p.Key, PacketSeq: p.Seq, Reason: m.waitReason(now), Value: int64(m.queue.Len())})
	}
	m.notify(relay.Waiting, p.Key, msg, out)
	return true
}

// setRouteTimes sets the priority, the objective and the timeout of a waiting
// flow by its route.
func (m *Machine) setRouteTimes(it *waitqueue.Item[flow.Key, queuedFlow]) {
	it.Objective, it.Timeout = defaultObjective, defaultTimeout
	if r, ok := m.View.Route(it.Key.Service()); ok {
		it.Priority = r.Priority
		it.Objective = cmp.Or(time.Duration(r.ObjectiveMS)*time.Millisecond, defaultObjective)
		it.Timeout = min(openingTimeout, cmp.Or(time.Duration(r.TimeoutMS)*time.Millisecond, defaultTimeout))
	}
}

// admit gives queued flows to the target, and offers the slots that remain.
func (m *Machine) admit(now time.Duration, out *plane.Out) {
	m.admitQueued(now, out)
	m.offerSlots(now, out)
}

// admitQueued refuses queued flows that cannot be answered in time, and gives
// others to the target while it has free slots.
func (m *Machine) admitQueued(now time.Duration, out *plane.Out) {
	if m.queue.Len() == 0 {
		return
	}
	service, answer := m.serviceTime(), m.answerTime()
	for it, ok := m.queue.PopExpired(now, service); ok; it, ok = m.queue.PopExpired(now, service) {
		m.refuseQueued(now, &it, "no_slot_in_time", out)
	}
	for it, ok := m.queue.PopStarved(now, answer); ok; it, ok = m.queue.PopStarved(now, answer) {
		m.refuseQueued(now, &it, "overload", out)
	}
	reason := m.refusalReason(now)
	for m.queue.Len() > 0 && (reason != "" || !m.mustWait(now)) {
		it, _ := m.queue.Pop(now, answer)
		if it.Value.held {
			m.deliverHeld(now, &it, out)
			continue
		}
		p, err := m.Codec.FromCaller(it.Value.raw)
		if err != nil {
			continue
		}
		if reason := m.flowRefusalReason(now, it.Key); reason != "" {
			m.handOverQueued(now, &it, &p, reason, out)
			continue
		}
		out.Event(plane.Event{Kind: plane.EventAdmitted, Flow: it.Key, PacketSeq: p.Seq, Value: (now - it.Since).Milliseconds()})
		out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyQueued, Service: m.Service, Took: now - it.Since})
		m.deliverOpening(now, &p, &it.Value.msg, out)
	}
}

// refuseQueued refuses a queued flow, or drops a held request. If the target has got
// an earlier copy of the opening packet, or the caller has sent copies that did not
// come here, a target may have accepted one, so the caller gets no answer from this
// agent.
func (m *Machine) refuseQueued(now time.Duration, it *waitqueue.Item[flow.Key, queuedFlow], reason string, out *plane.Out) {
	if it.Value.held {
		m.dropHeld(it.Key, reason, out)
		return
	}
	p, err := m.Codec.FromCaller(it.Value.raw)
	if err != nil {
		return
	}
	if it.Value.msg.Offered || m.targetGotOpening(&p) {
		m.giveUp(&p, &it.Value.msg, reason, out)
		return
	}
	if copiesElsewhere(now, it) || isWithheld(reason) && it.Value.msg.RefusedBy.IsValid() {
		m.giveUp(&p, &it.Value.msg, "copy_elsewhere", out)
		return
	}
	m.refuse(&p, &it.Value.msg, reason, out)
}

// handOverQueued hands a queued flow over, or ends it like refuseQueued if no
// other agent takes it.
func (m *Machine) handOverQueued(now time.Duration, it *waitqueue.Item[flow.Key, queuedFlow], p *flow.Packet, reason string, out *plane.Out) {
	if _, ok := m.handOverTo(now, p, &it.Value.msg); !ok {
		m.refuseQueued(now, it, reason, out)
		return
	}
	m.handOver(now, p, &it.Value.msg, reason, out)
}

// copiesElsewhere reports whether the caller of a queued flow has sent copies that
// did not come here.
func copiesElsewhere(now time.Duration, it *waitqueue.Item[flow.Key, queuedFlow]) bool {
	return copiesSent(now-it.Since) > it.Value.copies
}

// answerTime returns the time from the admission of a flow within which nearly
// all first answers come.
func (m *Machine) answerTime() time.Duration {
	return max(m.firstAnswerTimes.UpperEstimate(), m.serviceTime())
}

// serviceTime returns the mean time of a request that does not wait for a slot.
func (m *Machine) serviceTime() time.Duration {
	return time.Duration(m.stats.serviceTime * float64(time.Second))
}
