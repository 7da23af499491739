package packets

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// healthTimeout bounds the time in which a client sends the header of a health
// check.
const healthTimeout = time.Second

// TargetOptions are the options of a Target.
type TargetOptions struct {
	Name, Service string
	// Address receives packets and health checks. AgentAddress is the agent's
	// address to which the target sends its packets.
	Address, AgentAddress netip.AddrPort
	// Slots is the maximum number of running requests, Queue that of waiting
	// requests.
	Slots, Queue int
	// Speed divides the work time of requests.
	Speed float64
	// OnAccept, if it is not nil, is called with each new flow.
	OnAccept func(flow string)
	// Journal records the flows and requests of the target.
	Journal *Journal
}

// Target is a server of a service in the lab.
type Target struct {
	TargetOptions
	conn *net.UDPConn
	// health answers health checks over TCP at the same address.
	health *http.Server

	mu       sync.Mutex
	flows    map[flowKey]*targetFlow
	running  int
	waiting  []func()
	draining bool
	// drainSince is the time at which the drain began and was reported to the
	// platform.
	drainSince time.Time
	stopped    chan struct{}
	stopOnce   sync.Once
}

type flowKey struct{ src, dst netip.AddrPort }

// String returns the flow as the logs of the system print it.
func (k flowKey) String() string { return k.src.String() + ">" + k.dst.String() }

type targetFlow struct {
	iss      uint32
	opened   bool
	stream   *stream
	busy     bool
	closedAt time.Time
}

// StartTarget opens the sockets of a target and serves them until Stop.
func StartTarget(o TargetOptions) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	t := &Target{TargetOptions: o, conn: conn, health: &http.Server{ReadHeaderTimeout: healthTimeout}, flows: map[flowKey]*targetFlow{}, stopped: make(chan struct{})}
	t.health.Handler = http.HandlerFunc(t.answerHealth)
	go func() { _ = t.health.Serve(health) }()
	go readDatagrams(conn, t.receive)
	go t.runTimers()
	return t, nil
}

// answerHealth answers a health check with 200, and with 503 once the target
// drains.
func (t *Target) answerHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain starts a drain: the target closes each flow after its next answer.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.drainSince = true, time.Now()
}

// OpenFlows returns the number of open flows.
func (t *Target) OpenFlows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, f := range t.flows {
		if f.opened && f.closedAt.IsZero() {
			n++
		}
	}
	return n
}

// Stop stops the target at once, as a crash does.
func (t *Target) Stop() {
	t.stopOnce.Do(func() {
		close(t.stopped)
		_ = t.health.Close()
		t.conn.Close()
		t.Journal.targetStopped(t.Name)
	})
}

// Alive reports whether the target has not been stopped.
func (t *Target) Alive() bool {
	select {
	case <-t.stopped:
		return false
	default:
		return true
	}
}

func (t *Target) receive(raw []byte) {
	p, err := Decode(raw)
	if err != nil || !p.ChecksumValid(raw) || p.Has(Bounced) {
		t.Journal.recordInvalidPacket(t.Name, raw)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{p.Src, p.Dst}
	f := t.flows[key]
	switch {
	case p.Has(Syn) && p.Has(Ack):
		t.Journal.recordInvalidPacket(t.Name, raw)
	case p.Has(Syn):
		t.open(key, f, p)
	case f == nil:
		t.Journal.packetMisdelivered(t.Name, key)
		t.bounce(raw)
	case p.Has(Rst):
		delete(t.flows, key)
	default:
		t.handlePacket(key, f, p, raw)
	}
}

// bounce sends back a packet whose flow the target does not hold, with the flag
// Bounced.
func (t *Target) bounce(raw []byte) {
	raw[0] |= Bounced
	clear(raw[1:4])
	t.write(raw)
}

func (t *Target) write(raw []byte) {
	// A send error means that the agent is down. Retransmission makes up for
	// the lost packet.
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.AgentAddress)
}

func (t *Target) open(key flowKey, f *targetFlow, p *Packet) {
	if f != nil && f.opened {
		f = nil
	}
	if f == nil {
		f = &targetFlow{iss: rand.Uint32()}
		f.stream = newStream(f.iss+1, p.Seq+1)
		t.flows[key] = f
		t.Journal.flowAccepted(t.Name, t.Service, key, t.draining, t.drainSince)
		if t.OnAccept != nil {
			t.OnAccept(key.String())
		}
	}
	t.write(Encode(&Packet{Flags: Syn | Ack, Src: key.dst, Dst: key.src, Seq: f.iss, Ack: p.Seq + 1}))
}

func (t *Target) handlePacket(key flowKey, f *targetFlow, p *Packet, raw []byte) {
	if !f.opened {
		if p.Ack != f.iss+1 {
			t.Journal.packetMisdelivered(t.Name, key)
			t.bounce(raw)
			return
		}
		f.opened = true
		t.Journal.flowOpened(t.Name, key)
	}
	t.Journal.packetDelivered(key)
	now := time.Now()
	template := Packet{Src: key.dst, Dst: key.src}
	if f.stream.receive(p, now) {
		t.write(Encode(f.stream.ackPacket(template)))
	}
	t.startNextRequest(key, f)
	if f.stream.peerFin && !f.busy {
		f.stream.fin = true
	}
	t.flush(key, f, now)
}

// startNextRequest starts, queues or rejects the next request once it has
// arrived completely. A flow handles one request at a time.
func (t *Target) startNextRequest(key flowKey, f *targetFlow) {
	first, rest, ok := cutLine(f.stream.input)
	if !ok || f.busy {
		return
	}
	f.stream.input = rest
	var r Request
	if err := json.Unmarshal(first, &r); err != nil {
		t.Journal.recordInvalidPacket(t.Name, first)
		return
	}
	f.busy = true
	if t.running < t.Slots {
		t.startRequest(key, f, r)
		return
	}
	if len(t.waiting) >= t.Queue {
		t.queueAnswer(key, f, r, Response{ID: r.ID, Target: t.Name, NotRun: true})
		return
	}
	t.waiting = append(t.waiting, func() { t.startRequest(key, f, r) })
}

// startRequest runs a request. The caller holds t.mu.
func (t *Target) startRequest(key flowKey, f *targetFlow, r Request) {
	t.running++
	t.Journal.requestStarted(t.Name, t.Service, r)
	work := time.Duration(r.WorkMS / t.Speed * float64(time.Millisecond))
	time.AfterFunc(work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.Alive() {
			return
		}
		t.running--
		t.queueAnswer(key, f, r, Response{ID: r.ID, Target: t.Name, Length: r.AnswerSize})
		t.flush(key, f, time.Now())
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
	})
}

func (t *Target) queueAnswer(key flowKey, f *targetFlow, r Request, a Response) {
	f.busy = false
	f.stream.queue = append(f.stream.queue, encodeLine(a)...)
	f.stream.queue = append(f.stream.queue, answerBody(r.ID, a.Length)...)
	if t.draining || f.stream.peerFin {
		f.stream.fin = true
		t.Journal.flowClosing(key)
	}
}

func (t *Target) flush(key flowKey, f *targetFlow, now time.Time) {
	for _, out := range f.stream.output(Packet{Src: key.dst, Dst: key.src}, now) {
		t.write(Encode(out))
	}
	if f.stream.closed() && f.closedAt.IsZero() {
		f.closedAt = now
		t.Journal.flowClosing(key)
	}
}

// runTimers retransmits packets, drops flows after too many retransmissions and
// removes closed flows.
func (t *Target) runTimers() {
	const every, keep = 20 * time.Millisecond, 3 * time.Second
	timer := time.NewTicker(every)
	defer timer.Stop()
	for {
		select {
		case <-t.stopped:
			return
		case now := <-timer.C:
			t.mu.Lock()
			for key, f := range t.flows {
				for _, p := range f.stream.retransmit(now) {
					t.write(Encode(p))
				}
				if f.stream.retransmits > maxRetransmits || !f.closedAt.IsZero() && now.Sub(f.closedAt) > keep {
					t.Journal.flowClosing(key)
					delete(t.flows, key)
				}
			}
			t.mu.Unlock()
		}
	}
}
