package packets

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// openLimit is when a caller gives up an opening packet, after copies at
	// firstCopy and secondCopy.
	openLimit  = 1400 * time.Millisecond
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	// resetWindow is how far the sequence number of a reset may be from what
	// the caller last acknowledged.
	resetWindow = 76_800
	firstPort   = 1025
)

// Outcome is how an attempt ended.
type Outcome string

// The outcomes.
const (
	// Answered attempts got the whole answer.
	Answered Outcome = "answered"
	// NotRun attempts were rejected, by a reset before the flow was open or by
	// the target.
	NotRun Outcome = "not_run"
	// NotOpened attempts got no answer to their opening packet.
	NotOpened Outcome = "not_opened"
	// Broken attempts lost their open flow.
	Broken Outcome = "broken"
	// TimedOut attempts had no answer at their deadline.
	TimedOut Outcome = "timed_out"
)

// ErrFlowClosed says that the target has closed a flow that was kept.
var ErrFlowClosed = errors.New("packets: flow is closed")

// Caller is one address from which callers open flows.
type Caller struct {
	address netip.Addr
	conn    *net.UDPConn
	// route returns the balancer for a packet, as the routers do.
	route func(src, dst netip.AddrPort) netip.AddrPort
	log   *Journal

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]chan *Packet
}

// StartCaller listens for the packets of a caller at a port that is the same
// on all machines.
func StartCaller(address netip.AddrPort, route func(src, dst netip.AddrPort) netip.AddrPort, log *Journal) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Caller{address: address.Addr(), conn: conn, route: route, log: log, port: firstPort, flows: map[flowKey]chan *Packet{}}
	go readDatagrams(conn, c.take)
	return c, nil
}

// Close ends the caller.
func (c *Caller) Close() { c.conn.Close() }

func (c *Caller) take(raw []byte) {
	p, err := Decode(raw)
	if err != nil || !p.ChecksumValid(raw) && !(p.Flags == Rst && p.Sum == 0) {
		c.log.forged("caller "+c.address.String(), raw)
		return
	}
	c.mu.Lock()
	ch := c.flows[flowKey{p.Dst, p.Src}]
	c.mu.Unlock()
	if ch != nil {
		select {
		case ch <- p:
		default: // A full buffer is a lost packet.
		}
	}
}

func (c *Caller) send(p *Packet) {
	if to := c.route(p.Src, p.Dst); to.IsValid() {
		// A balancer that is down loses the packet.
		_, _ = c.conn.WriteToUDPAddrPort(Encode(p), to)
	}
}

// Flow is a flow of a caller.
type Flow struct {
	caller *Caller
	key    flowKey
	in     chan *Packet
	iss    uint32
	stream *stream
	// lost says that the flow cannot be used any more.
	lost bool
}

// Open opens a flow to the address of a route.
func (c *Caller) Open(to netip.AddrPort, deadline time.Time) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &Flow{caller: c, key: flowKey{netip.AddrPortFrom(c.address, c.port), to}, in: make(chan *Packet, 256), iss: rand.Uint32()}
	c.flows[f.key] = f.in
	c.mu.Unlock()
	outcome := f.open(deadline)
	if outcome != Answered {
		f.forget()
	}
	return f, outcome
}

func (f *Flow) forget() {
	f.caller.mu.Lock()
	delete(f.caller.flows, f.key)
	f.caller.mu.Unlock()
}

func (f *Flow) open(deadline time.Time) Outcome {
	begin := time.Now()
	due := []time.Duration{0, firstCopy, secondCopy, openLimit}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for copies := uint32(0); ; {
		select {
		case <-timer.C:
			if copies == uint32(len(due))-1 {
				return NotOpened
			}
			f.caller.send(&Packet{Flags: Syn, Src: f.key.src, Dst: f.key.dst, Seq: f.iss, Ack: copies})
			copies++
			timer.Reset(time.Until(begin.Add(due[copies])))
		case p := <-f.in:
			if p.Has(Rst) {
				return NotRun
			}
			if p.Has(Syn) && p.Has(Ack) && p.Ack == f.iss+1 {
				f.stream = newStream(f.iss+1, p.Seq+1)
				return Answered
			}
		}
		if time.Now().After(deadline) {
			return NotOpened
		}
	}
}

// Result is the outcome of a request on a flow.
type Result struct {
	Outcome Outcome
	// Target is the name of the target that answered.
	Target string
	// WrongAnswer says that the answer is not the one of the request.
	WrongAnswer bool
	// ClosedByTarget says that the target itself reset the flow.
	ClosedByTarget bool
}

// Do sends a request and waits for its answer.
func (f *Flow) Do(r Request, deadline time.Time) Result {
	f.stream.queue = append(f.stream.queue, encodeLine(r)...)
	f.stream.fin = f.stream.fin || !r.KeepOpen
	f.flush()
	timer := time.NewTicker(10 * time.Millisecond)
	defer timer.Stop()
	for {
		select {
		case p := <-f.in:
			if p.Has(Rst) {
				if !f.plausible(p) {
					continue
				}
				return f.end(Result{Outcome: Broken, ClosedByTarget: p.Sum != 0})
			}
			if result, ok := f.take(p, r); ok {
				return result
			}
		case now := <-timer.C:
			for _, p := range f.stream.retransmit(now) {
				f.caller.send(p)
			}
			if now.After(deadline) {
				return f.end(Result{Outcome: TimedOut})
			}
		}
	}
}

// plausible reports whether a reset is within the window.
func (f *Flow) plausible(p *Packet) bool {
	diff := int32(p.Seq - f.stream.received)
	return p.Sum != 0 || diff < resetWindow && -diff < resetWindow
}

func (f *Flow) flush() {
	for _, p := range f.stream.output(Packet{Src: f.key.src, Dst: f.key.dst}, time.Now()) {
		f.caller.send(p)
	}
}

func (f *Flow) take(p *Packet, r Request) (Result, bool) {
	if p.Has(Syn) {
		// A copy of the answer to the opening packet, or one of another target.
		return Result{}, false
	}
	if f.stream.take(p, time.Now()) {
		f.caller.send(f.stream.ackPacket(Packet{Src: f.key.src, Dst: f.key.dst}))
	}
	f.flush()
	result, ok := f.answer(r)
	switch {
	case ok && f.stream.peerFin:
		return f.end(result), true
	case ok:
		return result, true
	case f.stream.peerFin:
		return f.end(Result{Outcome: Broken, ClosedByTarget: true}), true
	}
	return Result{}, false
}

// answer takes a whole answer from the input.
func (f *Flow) answer(r Request) (Result, bool) {
	first, rest, ok := line(f.stream.input)
	if !ok {
		return Result{}, false
	}
	var a Response
	if err := json.Unmarshal(first, &a); err != nil {
		return Result{Outcome: Answered, WrongAnswer: true}, true
	}
	if len(rest) < a.Length {
		return Result{}, false
	}
	got := rest[:a.Length]
	f.stream.input = rest[a.Length:]
	if a.NotRun {
		return Result{Outcome: NotRun, Target: a.Target}, true
	}
	return Result{Outcome: Answered, Target: a.Target, WrongAnswer: a.ID != r.ID || string(got) != string(body(r.ID, r.AnswerSize))}, true
}

// end closes the caller's side and forgets the flow.
func (f *Flow) end(r Result) Result {
	f.lost = true
	if r.Outcome == Answered && !f.stream.finSent {
		f.stream.fin = true
		f.flush()
	}
	f.forget()
	return r
}

// Usable reports whether another request can be sent.
func (f *Flow) Usable() bool {
	for !f.lost {
		select {
		case p := <-f.in:
			if p.Has(Rst) && f.plausible(p) {
				f.end(Result{Outcome: Broken, ClosedByTarget: p.Sum != 0})
				f.caller.log.resetWhileIdle(f.key, p.Sum != 0)
				return false
			}
			if p.Has(Syn) || p.Has(Rst) {
				continue
			}
			if f.stream.take(p, time.Now()) {
				f.caller.send(f.stream.ackPacket(Packet{Src: f.key.src, Dst: f.key.dst}))
			}
			if f.stream.peerFin {
				f.end(Result{Outcome: Answered})
			}
		default:
			return true
		}
	}
	return false
}

// Close ends a kept flow.
func (f *Flow) Close() {
	if !f.lost {
		f.end(Result{Outcome: Answered})
	}
}
