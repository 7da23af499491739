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
	// openTimeout is the time after which a caller gives up opening a flow. It
	// repeats the SYN at firstSynRetry and secondSynRetry.
	openTimeout    = 1400 * time.Millisecond
	firstSynRetry  = 200 * time.Millisecond
	secondSynRetry = 600 * time.Millisecond
	// resetWindow bounds the distance between the sequence number of a reset
	// without a checksum and the next number that the caller expects, in bytes.
	resetWindow = 76_800
	firstPort   = 1025
)

// Outcome is the outcome of an attempt to send a request.
type Outcome string

// Outcomes of an attempt.
const (
	// Answered attempts received the complete answer.
	Answered Outcome = "answered"
	// NotRun attempts were rejected, either by a reset before the flow was
	// open or by the target.
	NotRun Outcome = "not_run"
	// NotOpened attempts received no answer to their SYN.
	NotOpened Outcome = "not_opened"
	// Broken attempts lost their open flow.
	Broken Outcome = "broken"
	// TimedOut attempts had no complete answer at their deadline.
	TimedOut Outcome = "timed_out"
)

// ErrFlowClosed reports that the target has closed a flow that was kept open.
var ErrFlowClosed = errors.New("packets: flow is closed")

// Caller opens flows from one IP address.
type Caller struct {
	address netip.Addr
	conn    *net.UDPConn
	// route returns the address of the balancer for a packet. It stands for
	// the routers.
	route   func(src, dst netip.AddrPort) netip.AddrPort
	journal *Journal

	mu    sync.Mutex
	port  uint16
	flows map[flowKey]chan *Packet
}

// StartCaller listens on address for the packets of its flows. The port of
// address is the same on all machines. The ports of flows exist only within
// packets.
func StartCaller(address netip.AddrPort, route func(src, dst netip.AddrPort) netip.AddrPort, journal *Journal) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &Caller{address: address.Addr(), conn: conn, route: route, journal: journal, port: firstPort, flows: map[flowKey]chan *Packet{}}
	go readDatagrams(conn, c.receive)
	return c, nil
}

// Close closes the socket of the caller.
func (c *Caller) Close() { c.conn.Close() }

func (c *Caller) receive(raw []byte) {
	p, err := Decode(raw)
	if err != nil || !p.ChecksumValid(raw) && !(p.Flags == Rst && p.Sum == 0) {
		c.journal.recordInvalidPacket("caller "+c.address.String(), raw)
		return
	}
	c.mu.Lock()
	ch := c.flows[flowKey{p.Dst, p.Src}]
	c.mu.Unlock()
	if ch != nil {
		select {
		case ch <- p:
		default: // A full buffer drops the packet.
		}
	}
}

func (c *Caller) send(p *Packet) {
	if to := c.route(p.Src, p.Dst); to.IsValid() {
		// A send error means that the balancer is down. The packet is lost.
		_, _ = c.conn.WriteToUDPAddrPort(Encode(p), to)
	}
}

// Flow is the caller's end of a flow.
type Flow struct {
	caller *Caller
	key    flowKey
	in     chan *Packet
	iss    uint32
	stream *stream
	// ended says that the flow can carry no more requests.
	ended bool
}

// Open opens a flow to the address of a route. The outcome is Answered if the
// flow is open.
func (c *Caller) Open(to netip.AddrPort, deadline time.Time) (*Flow, Outcome) {
	c.mu.Lock()
	c.port++
	f := &Flow{caller: c, key: flowKey{netip.AddrPortFrom(c.address, c.port), to}, in: make(chan *Packet, 256), iss: rand.Uint32()}
	c.flows[f.key] = f.in
	c.mu.Unlock()
	outcome := f.open(deadline)
	if outcome != Answered {
		f.unregister()
	}
	return f, outcome
}

func (f *Flow) unregister() {
	f.caller.mu.Lock()
	delete(f.caller.flows, f.key)
	f.caller.mu.Unlock()
}

func (f *Flow) open(deadline time.Time) Outcome {
	begin := time.Now()
	due := []time.Duration{0, firstSynRetry, secondSynRetry, openTimeout}
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
	// Target is the name of the target that sent the answer.
	Target string
	// WrongAnswer says that the answer does not belong to the request.
	WrongAnswer bool
	// ClosedByTarget says that the target itself reset or closed the flow.
	ClosedByTarget bool
}

// Do sends a request and waits for its answer until the deadline.
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
				if !f.resetInWindow(p) {
					continue
				}
				return f.end(Result{Outcome: Broken, ClosedByTarget: p.Sum != 0})
			}
			if result, ok := f.receive(p, r); ok {
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

// resetInWindow reports whether a reset is accepted: it has a checksum, which
// only a target can compute, or its sequence number is within resetWindow.
func (f *Flow) resetInWindow(p *Packet) bool {
	diff := int32(p.Seq - f.stream.recvNext)
	return p.Sum != 0 || diff < resetWindow && -diff < resetWindow
}

func (f *Flow) flush() {
	for _, p := range f.stream.output(Packet{Src: f.key.src, Dst: f.key.dst}, time.Now()) {
		f.caller.send(p)
	}
}

func (f *Flow) receive(p *Packet, r Request) (Result, bool) {
	if p.Has(Syn) {
		// It is a copy of the SYN-ACK, or the SYN-ACK of another target.
		return Result{}, false
	}
	if f.stream.receive(p, time.Now()) {
		f.caller.send(f.stream.ackPacket(Packet{Src: f.key.src, Dst: f.key.dst}))
	}
	f.flush()
	result, ok := f.takeAnswer(r)
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

// takeAnswer removes a complete answer from the input and checks it.
func (f *Flow) takeAnswer(r Request) (Result, bool) {
	first, rest, ok := cutLine(f.stream.input)
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
	return Result{Outcome: Answered, Target: a.Target, WrongAnswer: a.ID != r.ID || string(got) != string(answerBody(r.ID, r.AnswerSize))}, true
}

// end marks the flow as ended and unregisters it. After an answer it also sends
// the FIN of the caller.
func (f *Flow) end(r Result) Result {
	f.ended = true
	if r.Outcome == Answered && !f.stream.finSent {
		f.stream.fin = true
		f.flush()
	}
	f.unregister()
	return r
}

// Usable handles the packets that have arrived and reports whether the flow can
// carry another request.
func (f *Flow) Usable() bool {
	for !f.ended {
		select {
		case p := <-f.in:
			if p.Has(Rst) && f.resetInWindow(p) {
				f.end(Result{Outcome: Broken, ClosedByTarget: p.Sum != 0})
				f.caller.journal.resetWhileIdle(f.key, p.Sum != 0)
				return false
			}
			if p.Has(Syn) || p.Has(Rst) {
				continue
			}
			if f.stream.receive(p, time.Now()) {
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

// Close closes a flow that was kept open.
func (f *Flow) Close() {
	if !f.ended {
		f.end(Result{Outcome: Answered})
	}
}
