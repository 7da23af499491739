package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"sync"
	"time"
)

const (
	workTime = 20 * time.Millisecond
	firstRTO = 200 * time.Millisecond
	maxRTO   = 1600 * time.Millisecond
	// maxResends is the number of retransmissions after which a server gives up.
	maxResends = 8
	// endedKept is how long a server remembers a flow that has ended.
	endedKept = 20 * time.Second
)

// server is a server of a service, with an agent of the system beside it. A
// request and an answer fit into one packet each.
type server struct {
	w             *world
	id, service   string
	app, outbound netip.AddrPort
	conn          *net.UDPConn
	health        *http.Server

	mu       sync.Mutex
	flows    map[flowKey]*serverFlow
	draining bool
	ended    bool
}

type serverFlow struct {
	clientISN, isn   uint32
	opened           bool
	recvNext, sent   uint32
	unacked          []byte
	unackedEnd       uint32
	resendAt         time.Time
	rto              time.Duration
	resends          int
	finSent, finSeen bool
	endedAt          time.Time
}

var requestID = regexp.MustCompile(`(?m)^X-Trefoilweir-Attempt-Id: (\S+)\r$`)

func (w *world) startServer(id, service string, app, outbound netip.AddrPort) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, service: service, app: app, outbound: outbound, conn: conn, flows: map[flowKey]*serverFlow{}}
	s.health = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.draining {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
	})}
	go func() { _ = s.health.Serve(l) }()
	go s.read()
	go s.resend()
	return s, nil
}

func (s *server) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s.receive(append([]byte(nil), b[:n]...))
	}
}

func (s *server) send(p *packet) []byte {
	raw := p.encode()
	s.write(raw)
	return raw
}

func (s *server) write(raw []byte) { _, _ = s.conn.WriteToUDPAddrPort(raw, s.outbound) }

func (s *server) bounce(raw []byte) {
	raw[0] |= flagBounced
	clear(raw[1:4])
	s.write(raw)
}

func (s *server) receive(raw []byte) {
	p, err := decode(raw)
	if err != nil || !p.authentic(raw) || p.has(flagSyn) && p.has(flagAck) {
		s.w.rec.note("server %s of %s got a packet that its sender did not write so", s.id, s.service)
		s.w.rec.broken("UNASKED", "server %s got a packet that its sender did not write so", s.id)
		return
	}
	key := flowKey{p.Src, p.Dst}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	f := s.flows[key]
	switch {
	case p.has(flagSyn):
		s.accept(key, f, p)
	case f == nil || !f.opened && p.Ack != f.isn+1 && !p.has(flagRst):
		s.bounce(raw)
	case p.has(flagRst):
		delete(s.flows, key)
	default:
		s.carry(key, f, p)
	}
}

func (s *server) accept(key flowKey, f *serverFlow, p *packet) {
	if f == nil || f.clientISN != p.Seq {
		isn := rand.Uint32()
		f = &serverFlow{clientISN: p.Seq, isn: isn, recvNext: p.Seq + 1, sent: isn + 1}
		s.flows[key] = f
		s.w.rec.note("server %s of %s took SYN %s copy %d", s.id, s.service, key.client, p.Ack)
		if s.w.onSyn != nil {
			s.w.onSyn(s, key)
		}
	}
	s.send(&packet{Flags: flagSyn | flagAck, Src: key.route, Dst: key.client, Seq: f.isn, Ack: p.Seq + 1})
}

func (s *server) carry(key flowKey, f *serverFlow, p *packet) {
	if !f.opened {
		f.opened = true
		s.w.rec.note("flow %s opened at server %s of %s", key.client, s.id, s.service)
		s.w.flowOpened(key, s)
	}
	if f.unacked != nil && int32(f.unackedEnd-p.Ack) <= 0 {
		f.unacked = nil
	}
	reply := packet{Flags: flagAck, Src: key.route, Dst: key.client, Seq: f.sent}
	if len(p.Data) == 0 && !p.has(flagFin) {
		return
	}
	switch {
	case p.Seq != f.recvNext && f.unacked != nil:
		s.write(f.unacked)
		return
	case p.Seq != f.recvNext:
		reply.Ack = f.recvNext
		s.send(&reply)
		return
	case !f.endedAt.IsZero() && len(p.Data) > 0:
		s.send(&packet{Flags: flagRst, Src: key.route, Dst: key.client, Seq: f.sent})
		return
	}
	f.recvNext += uint32(len(p.Data))
	if p.has(flagFin) {
		f.recvNext++
		f.finSeen = true
	}
	if len(p.Data) > 0 {
		s.run(key, f, p.Data)
		return
	}
	// A FIN without data.
	if !f.finSent {
		f.finSent, f.endedAt = true, time.Now()
		reply.Flags |= flagFin
		reply.Ack = f.recvNext
		s.track(f, s.send(&reply), f.sent+1)
		f.sent++
		return
	}
	f.endedAt = time.Now()
	reply.Ack = f.recvNext
	s.send(&reply)
}

// run works on a request and answers it. A draining server closes the flow after
// the answer.
func (s *server) run(key flowKey, f *serverFlow, request []byte) {
	id := "unknown"
	if found := requestID.FindSubmatch(request); found != nil {
		id = string(found[1])
	}
	s.w.rec.note("run %s at server %s of %s", id, s.id, s.service)
	s.w.requestRan(id, s, key)
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.ended || s.flows[key] != f {
			return
		}
		body := "seats of " + id
		data := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Trefoilweir-Server-Seal: %s-%s\r\nContent-Length: %d\r\n\r\n%s", s.id, id, len(body), body)
		p := &packet{Flags: flagAck, Src: key.route, Dst: key.client, Seq: f.sent, Ack: f.recvNext, Data: data}
		f.sent += uint32(len(data))
		if s.draining || f.finSeen {
			p.Flags |= flagFin
			f.finSent, f.endedAt = true, time.Now()
			f.sent++
			s.w.flowClosed(key)
		}
		s.track(f, s.send(p), f.sent)
	})
}

func (s *server) track(f *serverFlow, raw []byte, end uint32) {
	f.unacked, f.unackedEnd, f.rto, f.resends = bytes.Clone(raw), end, firstRTO, 0
	f.resendAt = time.Now().Add(f.rto)
}

// resend sends unacknowledged packets again, and forgets flows that have ended.
func (s *server) resend() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		if s.ended {
			s.mu.Unlock()
			return
		}
		now := time.Now()
		for key, f := range s.flows {
			if !f.endedAt.IsZero() && now.Sub(f.endedAt) > endedKept {
				delete(s.flows, key)
				continue
			}
			if f.unacked == nil || now.Before(f.resendAt) {
				continue
			}
			if f.resends++; f.resends > maxResends {
				s.w.flowClosed(key)
				delete(s.flows, key)
				continue
			}
			f.rto = min(2*f.rto, maxRTO)
			f.resendAt = now.Add(f.rto)
			s.write(f.unacked)
		}
		s.mu.Unlock()
	}
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) openFlows() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.flows {
		if f.opened && f.endedAt.IsZero() {
			n++
		}
	}
	return n
}

// stop ends the server. Its flows are gone.
func (s *server) stop() {
	s.mu.Lock()
	s.ended = true
	s.mu.Unlock()
	s.w.serverEnded(s)
	_ = s.health.Close()
	_ = s.conn.Close()
}
