package ownership

import (
	"slices"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/waitqueue"
)

const (
	// maxHeldFlows bounds the flows with a held request, and maxHeldPackets the
	// packets of one.
	maxHeldFlows   = 128
	maxHeldPackets = 4
)

// hold holds the first packet of a request on an open flow while the target is
// full, so that the request waits in one order with the new flows. The packets
// that follow are held behind it. It reports whether the packet must not go to the
// target now.
func (m *Machine) hold(now time.Duration, f *ownedFlow, p *flow.Packet, out *plane.Out) bool {
	if len(f.held) > 0 {
		return m.holdBehind(f, p, out)
	}
	if !m.startsRequest(f, p) || m.heldFlows >= maxHeldFlows || m.refusalReason(now) != "" || !m.full() {
		return false
	}
	it := waitqueue.Item[flow.Key, queuedFlow]{Key: p.Key, Since: now, Value: queuedFlow{held: true}}
	m.setRouteTimes(&it)
	f.held = [][]byte{slices.Clone(p.Raw)}
	m.heldFlows++
	if evicted, full := m.queue.Push(it, now, m.answerTime()); full {
		m.refuseQueued(now, &evicted, "queue_full", out)
	}
	out.Event(plane.Event{Kind: plane.EventHeld, Flow: p.Key, PacketSeq: p.Seq, Reason: "target_busy", Value: int64(m.queue.Len())})
	return true
}

// startsRequest reports whether a packet is the first one of a request. Its data
// follow directly those that the target has, and its caller has received all
// that the target has sent. A packet for which this is not known is not held,
// because the target may have begun to receive its request.
func (m *Machine) startsRequest(f *ownedFlow, p *flow.Packet) bool {
	return f.phase == phaseIdle && p.Len > 0 && !p.Reset && f.callerTopKnown && p.Seq == f.callerTop && f.baseKnown && p.Ack == f.top
}

// holdBehind holds a packet behind the first one of its request, and drops a copy
// of a packet that is held. A reset ends the request.
func (m *Machine) holdBehind(f *ownedFlow, p *flow.Packet, out *plane.Out) bool {
	switch {
	case p.Reset:
		m.clearHeld(p.Key, f)
		return false
	case p.Len == 0 && !p.Final:
		return false
	case len(f.held) >= maxHeldPackets, slices.ContainsFunc(f.held, func(raw []byte) bool { return slices.Equal(raw, p.Raw) }):
		// The caller sends it again if it was not a copy.
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "request_held"})
	default:
		f.held = append(f.held, slices.Clone(p.Raw))
	}
	return true
}

// deliverHeld gives the held packets of a flow to the target.
func (m *Machine) deliverHeld(now time.Duration, it *waitqueue.Item[flow.Key, queuedFlow], out *plane.Out) {
	f := m.flows[it.Key]
	if f == nil {
		return
	}
	held := f.held
	m.clearHeld(it.Key, f)
	out.Event(plane.Event{Kind: plane.EventAdmitted, Flow: it.Key, Reason: "held", Value: (now - it.Since).Milliseconds()})
	for _, raw := range held {
		if p, err := m.Codec.FromCaller(raw); err == nil {
			m.deliverNow(now, f, &p, out)
		}
	}
}

// dropHeld drops the held packets of a flow. The flow stays open, and its caller
// sends the request again unless it has given up.
func (m *Machine) dropHeld(key flow.Key, reason string, out *plane.Out) {
	if f := m.flows[key]; f != nil {
		m.clearHeld(key, f)
	}
	out.Event(plane.Event{Kind: plane.EventDropped, Flow: key, Reason: reason})
}

// clearHeld removes the held packets of a flow and its place in the queue.
func (m *Machine) clearHeld(key flow.Key, f *ownedFlow) {
	if len(f.held) == 0 {
		return
	}
	f.held = nil
	m.heldFlows--
	m.queue.Remove(key)
}
