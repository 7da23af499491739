package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// Retransmission of both ends.
const (
	firstRetransmit = 200 * time.Millisecond
	lastRetransmit  = 1600 * time.Millisecond
	maxRetransmits  = 8
)

// server is an application server beside an agent. A request is the data of one
// packet, and so is its answer.
type server struct {
	name, service string
	app, outbound netip.AddrPort
	slots         int
	workTime      time.Duration
	rec           *record
	conn          *net.UDPConn
	health        *http.Server

	mu      sync.Mutex
	alive   bool
	flows   map[flowID]*serverFlow
	running int
	waiting []func()
}

// flowID identifies a flow by the client's end and the route's address.
type flowID struct{ client, route netip.AddrPort }

type serverFlow struct {
	base, next, received uint32
	opened, busy         bool
	answered             uint32 // seq after the last request that was answered
	unacked              *packet
	retransmits          int
	timer                int
}

func startServer(name, service string, app, outbound netip.AddrPort, slots int, workTime time.Duration, rec *record) (*server, error) {
	s := &server{name: name, service: service, app: app, outbound: outbound, slots: slots, workTime: workTime, rec: rec, alive: true, flows: map[flowID]*serverFlow{}}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(app))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", app.String())
	if err != nil {
		return nil, err
	}
	s.conn, s.health = conn, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = s.health.Serve(l) }()
	go s.receiveLoop()
	return s, nil
}

func (s *server) stop() {
	s.mu.Lock()
	s.alive = false
	s.mu.Unlock()
	_ = s.conn.Close()
	_ = s.health.Close()
}

func (s *server) receiveLoop() {
	b := make([]byte, 2048)
	for {
		n, from, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		// Packets come from the server's own machine only.
		if from.Addr().Unmap() == s.app.Addr() {
			s.receive(append([]byte(nil), b[:n]...))
		}
	}
}

func (s *server) send(p *packet) { _, _ = s.conn.WriteToUDPAddrPort(p.encode(), s.outbound) }

func (s *server) bounce(raw []byte) {
	raw[0] |= flagBounced
	clear(raw[1:4])
	_, _ = s.conn.WriteToUDPAddrPort(raw, s.outbound)
}

func (s *server) receive(raw []byte) {
	p, ok := decode(raw)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.alive {
		return
	}
	if !ok || !p.valid(raw) || p.has(flagBounced) || p.has(flagSyn) && p.has(flagAck) {
		s.rec.violation("UNASKED", "server %s got a packet that its sender did not write so", s.name)
		return
	}
	id := flowID{p.src, p.dst}
	f := s.flows[id]
	switch {
	case p.has(flagSyn):
		s.open(id, f, p)
	case f == nil || !f.opened && p.ack != f.base+1 || p.ack-f.base > f.next-f.base:
		s.rec.misdelivered(id, s)
		s.bounce(raw)
	case p.has(flagRst):
		delete(s.flows, id)
	default:
		s.receiveOwn(id, f, p)
	}
}

func (s *server) open(id flowID, f *serverFlow, p *packet) {
	if f != nil && f.opened {
		return
	}
	if f == nil {
		f = &serverFlow{base: rand.Uint32(), received: p.seq + 1, answered: p.seq + 1}
		f.next = f.base + 1
		s.flows[id] = f
		s.rec.accepted(id, s, p)
	}
	s.send(&packet{flags: flagSyn | flagAck, src: id.route, dst: id.client, seq: f.base, ack: f.received})
}

func (s *server) receiveOwn(id flowID, f *serverFlow, p *packet) {
	if !f.opened {
		f.opened = true
		s.rec.opened(id, s)
	}
	s.rec.delivered(id)
	if f.unacked != nil && p.ack == f.next {
		f.unacked, f.retransmits = nil, 0
		f.timer++
	}
	switch {
	case p.has(flagFin):
		s.rec.closing(id)
		delete(s.flows, id)
		s.send(&packet{flags: flagFin | flagAck, src: id.route, dst: id.client, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1})
	case len(p.data) == 0:
	case p.seq != f.received:
		// A copy. The answer is on its way, or is sent again by the timer.
		s.send(&packet{flags: flagAck, src: id.route, dst: id.client, seq: f.next, ack: f.received})
	default:
		f.received += uint32(len(p.data))
		s.send(&packet{flags: flagAck, src: id.route, dst: id.client, seq: f.next, ack: f.received})
		s.queue(id, f, string(p.data))
	}
}

// queue runs a request when a slot is free.
func (s *server) queue(id flowID, f *serverFlow, request string) {
	run := func() {
		s.running++
		s.rec.ran(request, s)
		time.AfterFunc(s.workTime, func() { s.finish(id, f, request) })
	}
	if s.running >= s.slots {
		s.waiting = append(s.waiting, run)
		return
	}
	run()
}

func (s *server) finish(id flowID, f *serverFlow, request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next()
	}
	if !s.alive || s.flows[id] != f {
		return
	}
	f.unacked = &packet{flags: flagAck, src: id.route, dst: id.client, seq: f.next, data: []byte(answerTo(request, s.name))}
	f.next += uint32(len(f.unacked.data))
	f.timer++
	s.sendAnswer(f, f.timer)
}

// sendAnswer sends the answer that is not acknowledged yet, and again later.
func (s *server) sendAnswer(f *serverFlow, timer int) {
	if f.unacked == nil || f.timer != timer || !s.alive || f.retransmits > maxRetransmits {
		return
	}
	f.unacked.ack = f.received
	s.send(f.unacked)
	wait := min(lastRetransmit, firstRetransmit<<f.retransmits)
	f.retransmits++
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.sendAnswer(f, timer)
	})
}

// holds reports whether the server holds an open flow.
func (s *server) holds(id flowID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[id]
	return s.alive && f != nil && f.opened
}

const answerSize = 600

// answerTo returns the server's whole body for a request.
func answerTo(request, server string) string {
	line := fmt.Sprintf("answer %s by %s ", request, server)
	return line + strings.Repeat(".", max(0, answerSize-len(line)))
}
