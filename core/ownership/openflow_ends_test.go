package ownership_test

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
)

// Times of the two ends of a flow.
const (
	firstCopyAge  = 200 * ms
	secondCopyAge = 600 * ms
	openTimeout   = 1400 * ms
	minRetransmit = 200 * ms
	maxRetransmit = 1600 * ms
	// maxRetransmits is after how many retransmissions an end gives up.
	maxRetransmits = 8
	requestTimeout = 3 * time.Second
	warmupTime     = 3 * time.Second
	drainTime      = 3 * time.Second
	packetSize     = 600
)

// end is one end of a connection: it sends data and retransmits the first
// packet that is not acknowledged.
type end struct {
	// next is the next sequence number to send, unacked the first one that is
	// not acknowledged, and received the next one that is expected.
	next, unacked, received uint32
	// ahead holds the lengths of packets that arrived before an earlier one.
	ahead       map[uint32]uint32
	retransmits int
	timer       int
}

// accept takes the data of a packet, which may have overtaken others.
func (e *end) accept(p *flow.Packet) {
	if e.ahead == nil {
		e.ahead = map[uint32]uint32{}
	}
	if p.Len > 0 && int32(p.Seq-e.received) >= 0 {
		e.ahead[p.Seq] = uint32(p.Len)
	}
	for e.ahead[e.received] > 0 {
		size := e.ahead[e.received]
		delete(e.ahead, e.received)
		e.received += size
	}
}

// target knows exactly which flows it holds. It is the reference that the agents
// are compared with.
type target struct {
	w               *world
	vm              *vm
	id              string
	alive, draining bool
	bornMS          int64
	bornAt          time.Duration
	// cutUntil is until when the target does not reach the platform.
	cutUntil time.Duration
	flows    map[flow.Key]*heldFlow
}

type heldFlow struct {
	end
	key     flow.Key
	base    uint32
	openSeq uint32
	// opened says that the caller's choice has reached the target.
	opened, ended bool
	// answeredUntil is the end of the last request that was answered.
	answeredUntil uint32
}

// caller is a caller with one flow.
type caller struct {
	end
	w          *world
	key        flow.Key
	dataCentre string
	openSeq    uint32
	// target is the target that the caller chose, base its first sequence
	// number.
	target       *target
	base         uint32
	open, closed bool
	// requests is the number of requests left. requestEnd and answerEnd are the
	// sequence numbers at the end of the request and of its answer.
	requests              int
	requestEnd, answerEnd uint32
	// lastActive is when an end of the flow sent a packet. idleExceeded says
	// that the flow was idle for longer than the idle timeout.
	lastActive   time.Duration
	idleExceeded bool
	misdelivered []time.Duration
	// deliveries counts the packets that reached the chosen target.
	deliveries int
	// lost says that the rule was broken for the flow.
	lost  bool
	lines []string
	// sentAt has the times at which the caller sent a packet. resetAt is when it
	// got a reset that ended the flow.
	sentAt  []time.Duration
	resetAt time.Duration
}

func (v *vm) startTarget(id string) *target {
	t := v.startUnlistedTarget(id)
	t.writeEntry()
	return t
}

// startUnlistedTarget starts a target that has not written its entry yet.
func (v *vm) startUnlistedTarget(id string) *target {
	w := v.agent.w
	t := &target{w: w, vm: v, id: id, alive: true, bornMS: w.unixMS(v), bornAt: w.now, flows: map[flow.Key]*heldFlow{}}
	v.target = t
	return t
}

func (t *target) state() fleet.Target {
	s := fleet.Target{ID: t.id, Service: t.vm.service, Address: netip.AddrPortFrom(t.vm.ip, 80), DataCentre: t.vm.dataCentre, Slots: 16, State: fleet.Ready,
		WarmupMS: int(max(0, t.bornAt+warmupTime-t.w.now) / ms), StartUnixMS: t.bornMS}
	if t.draining {
		s.State = fleet.Draining
	}
	return s
}

func (t *target) writeEntry() {
	if !t.alive {
		return
	}
	t.w.after(t.w.between(entryInterval-50*ms, entryInterval+50*ms), t.writeEntry)
	if !t.w.platform.down() && t.w.now >= t.cutUntil {
		t.w.platform.write(t.state())
	}
}

// drain makes the target close its flows after their next answers, and end.
func (t *target) drain() {
	w := t.w
	switch {
	case !t.alive:
	case w.platform.down() || w.now < t.cutUntil:
		w.after(200*ms, t.drain)
	default:
		t.draining = true
		w.platform.write(t.state())
		w.after(drainTime+w.between(0, time.Second), func() {
			t.alive = false
			if !w.platform.down() {
				w.platform.remove(t.id)
			}
			t.vm.agent.stop(0)
		})
	}
}

// send gives a packet to the agent.
func (t *target) send(p flow.Packet) {
	if c := t.w.callers[p.Key]; c != nil && !p.Returned {
		c.active()
	}
	agent := t.vm.agent
	raw := flowtest.Encode(p)
	t.w.after(t.w.between(50*time.Microsecond, ms), func() {
		agent.step(func(now time.Duration) { agent.agent.FromTarget(now, slices.Clone(raw), &agent.out) })
	})
}

// receive handles a packet that the agent gives to the target.
func (t *target) receive(raw []byte) {
	p, _ := flowtest.Codec{}.FromCaller(raw)
	if !t.alive {
		return
	}
	h := t.flows[p.Key]
	switch {
	case p.Open:
		t.receiveOpening(h, &p)
	case h == nil || p.Ack-h.base-1 > h.next-h.base-1:
		t.w.recordMisdelivery(t, p.Key)
		p.Returned = true
		t.send(p)
	default:
		t.receiveOwn(h, &p)
	}
}

func (t *target) receiveOpening(h *heldFlow, p *flow.Packet) {
	if h == nil {
		base := t.w.Uint32()
		t.w.bases[base] = t
		h = &heldFlow{key: p.Key, base: base, openSeq: p.Seq}
		h.next, h.unacked, h.received = base+1, base+1, p.Seq+1
		t.flows[p.Key] = h
	}
	if !h.opened {
		t.send(flow.Packet{Key: p.Key, Open: true, Seq: h.base, Ack: h.received})
	}
}

func (t *target) receiveOwn(h *heldFlow, p *flow.Packet) {
	c := t.w.callers[h.key]
	if !h.opened {
		h.opened, h.answeredUntil = true, h.received
		t.w.trace(h.key, func() string { return "opens at " + t.id + " " + t.vm.ip.String() })
	}
	t.w.recordDelivery(t, c)
	if h.ended {
		if p.Len > 0 {
			t.send(flow.Packet{Key: h.key, Reset: true, Seq: h.next, Ack: max(1, h.received)})
		}
		return
	}
	if int32(p.Ack-h.unacked) > 0 {
		h.unacked, h.retransmits = p.Ack, 0
		h.timer++
		t.scheduleRetransmit(h)
	}
	h.accept(p)
	switch {
	case p.Final:
		h.ended = true
		t.send(flow.Packet{Key: h.key, Final: true, Seq: h.next, Ack: h.received})
	case p.Len > 0 && h.received == c.requestEnd && h.answeredUntil != c.requestEnd:
		h.answeredUntil = c.requestEnd
		t.w.after(t.w.between(5*ms, 80*ms), func() { t.answer(h, c) })
	case p.Len > 0:
		t.send(flow.Packet{Key: h.key, Seq: h.next, Ack: h.received})
	}
}

// answer sends the answer to a request.
func (t *target) answer(h *heldFlow, c *caller) {
	if !t.alive || h.ended {
		return
	}
	count := uint32(1 + t.w.IntN(4))
	c.answerEnd = h.next + count*packetSize
	for range count {
		p := flow.Packet{Key: h.key, Seq: h.next, Ack: h.received, Len: packetSize}
		h.next += packetSize
		p.Final = t.draining && h.next == c.answerEnd
		t.send(p)
	}
	h.timer++
	t.scheduleRetransmit(h)
}

func (t *target) scheduleRetransmit(h *heldFlow) {
	if h.unacked == h.next {
		return
	}
	timer := h.timer
	t.w.after(min(maxRetransmit, minRetransmit<<h.retransmits), func() {
		if !t.alive || h.timer != timer || h.unacked == h.next || h.retransmits >= maxRetransmits {
			return
		}
		h.retransmits++
		t.send(flow.Packet{Key: h.key, Seq: h.unacked, Ack: h.received, Len: packetSize, Final: t.draining && h.unacked+packetSize == h.next})
		t.scheduleRetransmit(h)
	})
}

func (w *world) newCaller(dataCentre string, requests int) *caller {
	n := uint16(len(w.callers) + 1)
	c := &caller{w: w, key: fleettest.Key(n), dataCentre: dataCentre, openSeq: w.Uint32(), requests: requests, lastActive: w.now}
	c.next = c.openSeq + 1
	c.unacked = c.next
	w.callers[c.key] = c
	return c
}

// start sends the opening packet and its copies.
func (c *caller) start() {
	for copies, age := range []time.Duration{0, firstCopyAge, secondCopyAge} {
		c.w.after(age, func() {
			if !c.open && !c.closed {
				c.send(flow.Packet{Key: c.key, Open: true, Seq: c.openSeq, Ack: uint32(copies)})
			}
		})
	}
	c.w.after(openTimeout, func() { c.closed = c.closed || !c.open })
}

func (c *caller) send(p flow.Packet) {
	c.active()
	c.sentAt = append(c.sentAt, c.w.now)
	c.w.fromCaller(c.dataCentre, p)
}

// active records that an end of the flow sends a packet.
func (c *caller) active() {
	if c.w.now-c.lastActive > c.w.shortestIdleTimeout(c.lastActive) {
		c.idleExceeded = true
	}
	c.lastActive = c.w.now
}

// request sends the next request, or ends the flow.
func (c *caller) request() {
	if c.closed || !c.open {
		return
	}
	if c.requests--; c.requests < 0 {
		c.closed = true
		c.send(flow.Packet{Key: c.key, Final: true, Seq: c.next, Ack: c.received})
		return
	}
	count := uint32(1 + c.w.IntN(3))
	c.requestEnd = c.next + count*packetSize
	for range count {
		c.send(flow.Packet{Key: c.key, Seq: c.next, Ack: c.received, Len: packetSize})
		c.next += packetSize
	}
	c.timer++
	c.scheduleRetransmit()
}

func (c *caller) scheduleRetransmit() {
	timer := c.timer
	c.w.after(min(maxRetransmit, minRetransmit<<c.retransmits), func() {
		if c.closed || c.timer != timer || c.unacked == c.next || c.retransmits >= maxRetransmits {
			return
		}
		c.retransmits++
		c.send(flow.Packet{Key: c.key, Seq: c.unacked, Ack: c.received, Len: packetSize})
		c.scheduleRetransmit()
	})
}

// receive handles a packet that reaches the caller, except a reset.
func (c *caller) receive(p *flow.Packet) {
	switch {
	case c.closed:
	case p.Open && !c.open:
		c.open, c.base, c.received, c.target = true, p.Seq, p.Seq+1, c.w.bases[p.Seq]
		c.request()
	case p.Open && p.Seq == c.base:
		c.send(flow.Packet{Key: c.key, Seq: c.next, Ack: c.received})
	case !p.Open && c.open:
		c.receiveData(p)
	}
}

func (c *caller) receiveData(p *flow.Packet) {
	h := c.target.flows[c.key]
	if p.Seq-c.base > h.next-c.base {
		return
	}
	if int32(p.Ack-c.unacked) > 0 && int32(p.Ack-c.next) <= 0 {
		c.unacked, c.retransmits = p.Ack, 0
	}
	before := c.received
	c.accept(p)
	answered := c.received == c.answerEnd && before != c.received
	if p.Final {
		c.closed = true
		c.send(flow.Packet{Key: c.key, Final: true, Seq: c.next, Ack: c.received})
		return
	}
	if p.Len > 0 && (answered || p.Seq/packetSize%2 == 0 || before == c.received) {
		c.send(flow.Packet{Key: c.key, Seq: c.next, Ack: c.received})
	}
	if answered {
		c.w.after(c.pause(), c.request)
	}
}

// pause returns the time until the next request. Some callers pause for nearly
// the idle timeout.
func (c *caller) pause() time.Duration {
	switch c.w.IntN(10) {
	case 0:
		return c.w.between(0, c.w.idleTimeout()*9/10)
	case 1, 2, 3:
		return c.w.between(300*ms, 2*time.Second)
	default:
		return c.w.between(10*ms, 300*ms)
	}
}

// toCaller delivers a packet that an agent or a balancer sends to a caller.
func (w *world) toCaller(from *process, raw []byte) {
	p, _ := flowtest.Codec{}.FromCaller(raw)
	c := w.callers[p.Key]
	w.trace(p.Key, func() string {
		return fmt.Sprintf("caller gets from %s open=%v reset=%v final=%v seq=%d ack=%d len=%d", from.ip, p.Open, p.Reset, p.Final, p.Seq, p.Ack, p.Len)
	})
	switch {
	case !p.Reset:
		c.receive(&p)
	case p.Ack != 0:
		// The target's own reset.
		c.closed = true
	default:
		w.recordReset(from, c, &p)
	}
}
