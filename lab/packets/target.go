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

// healthTimeout bounds a slow client of health checks.
const healthTimeout = time.Second

// TargetOptions of a Target.
type TargetOptions struct {
	Name, Service string
	// Address receives packets, AgentAddress is the agent's address for packets of
	// the target.
	Address, AgentAddress netip.AddrPort
	// Slots and Queue bound the requests that run and that wait.
	Slots, Queue int
	// Speed divides the time of the work.
	Speed float64
	// Journal receives what the target does.
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
	// drainSince is when the platform was told of the drain.
	drainSince time.Time
	ended      chan struct{}
	endOnce    sync.Once
}

type flowKey struct{ src, dst netip.AddrPort }

// String returns the flow as logs of the system name it.
func (k flowKey) String() string { return k.src.String() + ">" + k.dst.String() }

type targetFlow struct {
	iss    uint32
	opened bool
	stream *stream
	busy   bool
	done   time.Time
}

// StartTarget starts a target.
func StartTarget(o TargetOptions) (*Target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Address))
	if err != nil {
		return nil, err
	}
	health, err := net.Listen("tcp4", o.Address.String())
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	t := &Target{TargetOptions: o, conn: conn, health: &http.Server{ReadHeaderTimeout: healthTimeout}, flows: map[flowKey]*targetFlow{}, ended: make(chan struct{})}
	t.health.Handler = http.HandlerFunc(t.answerHealth)
	go func() { _ = t.health.Serve(health) }()
	go readDatagrams(conn, t.take)
	go t.tick()
	return t, nil
}

// answerHealth answers 200 until the target drains.
func (t *Target) answerHealth(w http.ResponseWriter, _ *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Drain begins a drain: flows are closed after their next answer.
func (t *Target) Drain() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining, t.drainSince = true, time.Now()
}

// OpenFlows returns the number of flows that are open.
func (t *Target) OpenFlows() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, f := range t.flows {
		if f.opened && f.done.IsZero() {
			n++
		}
	}
	return n
}

// Stop ends the target at once, as a crash does.
func (t *Target) Stop() {
	t.endOnce.Do(func() {
		close(t.ended)
		_ = t.health.Close()
		t.conn.Close()
		t.Journal.targetEnded(t.Name)
	})
}

// Alive reports whether the target has not been stopped.
func (t *Target) Alive() bool {
	select {
	case <-t.ended:
		return false
	default:
		return true
	}
}

func (t *Target) take(raw []byte) {
	p, err := Decode(raw)
	if err != nil || !p.ChecksumValid(raw) || p.Has(Bounced) {
		t.Journal.forged(t.Name, raw)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := flowKey{p.Src, p.Dst}
	f := t.flows[key]
	switch {
	case p.Has(Syn) && p.Has(Ack):
		t.Journal.forged(t.Name, raw)
	case p.Has(Syn):
		t.open(key, f, p)
	case f == nil:
		t.Journal.wrongTarget(t.Name, key)
		t.bounce(raw)
	case p.Has(Rst):
		delete(t.flows, key)
	default:
		t.packet(key, f, p, raw)
	}
}

// bounce returns a packet that the target does not take.
func (t *Target) bounce(raw []byte) {
	raw[0] |= Bounced
	clear(raw[1:4])
	t.write(raw)
}

func (t *Target) write(raw []byte) {
	// The agent may be down; the other end retransmits.
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
		t.Journal.accepted(t.Name, t.Service, key, t.draining, t.drainSince)
	}
	t.write(Encode(&Packet{Flags: Syn | Ack, Src: key.dst, Dst: key.src, Seq: f.iss, Ack: p.Seq + 1}))
}

func (t *Target) packet(key flowKey, f *targetFlow, p *Packet, raw []byte) {
	if !f.opened {
		if p.Ack != f.iss+1 {
			t.Journal.wrongTarget(t.Name, key)
			t.bounce(raw)
			return
		}
		f.opened = true
		t.Journal.opened(t.Name, key)
	}
	t.Journal.rightTarget(key)
	now := time.Now()
	template := Packet{Src: key.dst, Dst: key.src}
	if f.stream.take(p, now) {
		t.write(Encode(f.stream.ackPacket(template)))
	}
	t.requests(key, f)
	if f.stream.peerFin && !f.busy {
		f.stream.fin = true
	}
	t.flush(key, f, now)
}

// requests starts what has arrived whole.
func (t *Target) requests(key flowKey, f *targetFlow) {
	first, rest, ok := line(f.stream.input)
	if !ok || f.busy {
		return
	}
	f.stream.input = rest
	var r Request
	if err := json.Unmarshal(first, &r); err != nil {
		t.Journal.forged(t.Name, first)
		return
	}
	f.busy = true
	if t.running < t.Slots {
		t.start(key, f, r)
		return
	}
	if len(t.waiting) >= t.Queue {
		t.answer(key, f, r, Response{ID: r.ID, Target: t.Name, NotRun: true})
		return
	}
	t.waiting = append(t.waiting, func() { t.start(key, f, r) })
}

// start runs a request. The lock is held.
func (t *Target) start(key flowKey, f *targetFlow, r Request) {
	t.running++
	t.Journal.ran(t.Name, t.Service, r)
	work := time.Duration(r.WorkMS / t.Speed * float64(time.Millisecond))
	time.AfterFunc(work, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		if !t.Alive() {
			return
		}
		t.running--
		t.answer(key, f, r, Response{ID: r.ID, Target: t.Name, Length: r.AnswerSize})
		t.flush(key, f, time.Now())
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			next()
		}
	})
}

func (t *Target) answer(key flowKey, f *targetFlow, r Request, a Response) {
	f.busy = false
	f.stream.queue = append(f.stream.queue, encodeLine(a)...)
	f.stream.queue = append(f.stream.queue, body(r.ID, a.Length)...)
	if t.draining || f.stream.peerFin {
		f.stream.fin = true
		t.Journal.closing(key)
	}
}

func (t *Target) flush(key flowKey, f *targetFlow, now time.Time) {
	for _, out := range f.stream.output(Packet{Src: key.dst, Dst: key.src}, now) {
		t.write(Encode(out))
	}
	if f.stream.closed() && f.done.IsZero() {
		f.done = now
		t.Journal.closing(key)
	}
}

// tick retransmits, and forgets closed flows.
func (t *Target) tick() {
	const every, keep = 20 * time.Millisecond, 3 * time.Second
	timer := time.NewTicker(every)
	defer timer.Stop()
	for {
		select {
		case <-t.ended:
			return
		case now := <-timer.C:
			t.mu.Lock()
			for key, f := range t.flows {
				for _, p := range f.stream.retransmit(now) {
					t.write(Encode(p))
				}
				if f.stream.tries > maxRetransmits || !f.done.IsZero() && now.Sub(f.done) > keep {
					t.Journal.closing(key)
					delete(t.flows, key)
				}
			}
			t.mu.Unlock()
		}
	}
}
