package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"
)

// idleFlow is a flow that its client keeps open for several requests.
type idleFlow struct {
	c              *client
	src, dst       netip.AddrPort
	in             chan []byte
	next, received uint32
	outcome        string
}

func (f *idleFlow) send(p *packet) {
	p.src, p.dst = f.src, f.dst
	if front, _ := f.c.router.pick(f.c.zone, f.src, f.dst); front.IsValid() {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), front)
	}
}

// dial opens a flow.
func (c *client) dial(to netip.AddrPort) (*idleFlow, bool) {
	c.mu.Lock()
	c.port++
	f := &idleFlow{c: c, src: netip.AddrPortFrom(c.address, c.port), dst: to, in: make(chan []byte, 64)}
	c.flows[f.src] = f.in
	c.mu.Unlock()
	iss, began := rand.Uint32(), time.Now()
	due := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for copies := 0; ; {
		select {
		case <-timer.C:
			if copies == len(due)-1 {
				return nil, false
			}
			f.send(&packet{flags: flagSyn, seq: iss, ack: uint32(copies)})
			copies++
			timer.Reset(time.Until(began.Add(due[copies])))
		case raw := <-f.in:
			p, _ := decode(raw)
			if p.has(flagRst) {
				return nil, false
			}
			if p.has(flagSyn) && p.has(flagAck) && p.ack == iss+1 {
				f.next, f.received = iss+1, p.seq+1
				return f, true
			}
		}
	}
}

// request sends a request and waits for its answer until the deadline.
func (f *idleFlow) request(id string, deadline time.Duration) (outcome string) {
	text := fmt.Sprintf("GET /p HTTP/1.1\r\nHost: %s\r\nX-Trefoilweir-Attempt-Id: %s\r\n\r\n", f.dst, id)
	data := func() *packet { return &packet{flags: flagAck, seq: f.next, ack: f.received, data: []byte(text)} }
	end := time.After(deadline)
	wait := 200 * time.Millisecond
	f.send(data())
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case <-end:
			return "deadline"
		case <-timer.C:
			f.send(data())
			wait = min(2*wait, 1600*time.Millisecond)
			timer.Reset(wait)
		case raw := <-f.in:
			p, _ := decode(raw)
			switch {
			case p.has(flagSyn):
			case p.has(flagRst) && written(raw):
				return "reset by the server"
			case p.has(flagRst):
				if d := int32(p.seq - f.received); d < 76800 && d > -76800 {
					return "reset by the system"
				}
			case len(p.data) > 0 && p.seq == f.received:
				f.received += uint32(len(p.data))
				f.next += uint32(len(text))
				f.send(&packet{flags: flagAck, seq: f.next, ack: f.received})
				if !strings.HasSuffix(string(p.data), "seal of "+id) {
					return "foreign answer"
				}
				return "answered"
			}
		}
	}
}
