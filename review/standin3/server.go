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

// server is a server of PROTOCOL.md, sections "Flows" and "Servers": it answers
// each request with one packet, closes the flow after it if the client has closed,
// and returns what it does not hold.
type server struct {
	id, service, zone string
	address, outbound netip.AddrPort
	work              time.Duration
	rec               *record

	conn   *net.UDPConn
	health *http.Server
	// gate is locked while the machine of the server stands still.
	gate  sync.RWMutex
	mu    sync.Mutex
	flows map[[2]netip.AddrPort]*serverFlow
	born  int64
	state string
}

type serverFlow struct {
	iss, next, sent uint32
	answered        map[uint32][]byte
}

func (s *server) start() error {
	var err error
	if s.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.address)); err != nil {
		return err
	}
	l, err := net.Listen("tcp4", s.address.String())
	if err != nil {
		return err
	}
	s.flows, s.born, s.state = map[[2]netip.AddrPort]*serverFlow{}, time.Now().UnixMilli(), "ready"
	s.health = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.gate.RLock()
		defer s.gate.RUnlock()
	})}
	go func() { _ = s.health.Serve(l) }()
	go s.read()
	return nil
}

// drain makes the server report that it drains. It keeps its flows, and accepts others.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = "draining"
}

func (s *server) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		s.gate.RLock()
		s.receive(append([]byte(nil), b[:n]...))
		s.gate.RUnlock()
	}
}

func (s *server) send(b []byte) { _, _ = s.conn.WriteToUDPAddrPort(b, s.outbound) }

func (s *server) receive(b []byte) {
	p, ok := decode(b)
	if !ok || !written(b) || p.has(flagBounced) || p.has(flagSyn) && p.has(flagAck) {
		s.rec.event("server %s got a packet that no client wrote: %x", s.id, b)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	key := [2]netip.AddrPort{p.src, p.dst}
	f := s.flows[key]
	switch {
	case p.has(flagSyn):
		if f == nil {
			f = &serverFlow{iss: rand.Uint32(), next: p.seq + 1, answered: map[uint32][]byte{}}
			f.sent = f.iss + 1
			s.flows[key] = f
			s.rec.took(s, p.src, time.Now())
		}
		s.send((&packet{flags: flagSyn | flagAck, src: p.dst, dst: p.src, seq: f.iss, ack: p.seq + 1}).encode())
	case f == nil:
		s.rec.reached(s, p.src, false)
		b[0] |= flagBounced
		b[1], b[2], b[3] = 0, 0, 0
		s.send(b)
	case p.has(flagRst):
		delete(s.flows, key)
	default:
		s.rec.reached(s, p.src, true)
		s.data(key, f, p)
	}
}

// data answers a request, which is one packet. A copy gets the same answer.
func (s *server) data(key [2]netip.AddrPort, f *serverFlow, p *packet) {
	if len(p.data) == 0 {
		if p.has(flagFin) && p.seq == f.next {
			f.next++
			s.send((&packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.sent, ack: f.next}).encode())
		}
		return
	}
	if answer := f.answered[p.seq]; answer != nil {
		s.send(answer)
		return
	}
	if p.seq != f.next {
		return
	}
	f.next += uint32(len(p.data))
	if p.has(flagFin) {
		f.next++
	}
	id := requestID(p.data)
	s.rec.run(s, id, time.Now())
	body := "seal of " + id
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Trefoilweir-Server-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", s.id, len(body), body)
	answer := &packet{flags: flagAck, src: p.dst, dst: p.src, seq: f.sent, ack: f.next, data: []byte(text)}
	f.sent += uint32(len(text))
	if p.has(flagFin) || s.state == "draining" {
		answer.flags |= flagFin
		f.sent++
	}
	encoded := answer.encode()
	f.answered[p.seq] = encoded
	time.AfterFunc(s.work, func() {
		s.gate.RLock()
		defer s.gate.RUnlock()
		s.send(encoded)
	})
}

// requestID returns the attempt id of a request.
func requestID(b []byte) string {
	for _, line := range strings.Split(string(b), "\r\n") {
		if name, value, ok := strings.Cut(line, ": "); ok && name == "X-Trefoilweir-Attempt-Id" {
			return value
		}
	}
	return ""
}
