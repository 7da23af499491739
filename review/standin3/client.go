package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// client is a client of PROTOCOL.md, section "Flows". It opens a flow for each
// request.
type client struct {
	address netip.Addr
	conn    *net.UDPConn
	router  *router
	zone    string
	rec     *record

	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]chan []byte
}

func startClient(address netip.AddrPort, zone string, r *router, rec *record) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{address: address.Addr(), conn: conn, router: r, zone: zone, rec: rec, port: 1024, flows: map[netip.AddrPort]chan []byte{}}
	go c.read()
	return c, nil
}

func (c *client) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		raw := append([]byte(nil), b[:n]...)
		p, ok := decode(raw)
		if !ok || !written(raw) && !isReset(raw, p) {
			c.rec.event("client %s got a packet that no server wrote: %x", c.address, raw)
			continue
		}
		c.mu.Lock()
		ch := c.flows[p.dst]
		c.mu.Unlock()
		if ch != nil {
			select {
			case ch <- raw:
			default:
			}
		}
	}
}

// attempt sends one request on a flow of its own to a route. It returns the outcome,
// the front that got the opening packet, and the client's end of the flow.
func (c *client) attempt(id string, to netip.AddrPort, deadline time.Duration) (outcome, front string, src netip.AddrPort, sent time.Time) {
	c.mu.Lock()
	c.port++
	src = netip.AddrPortFrom(c.address, c.port)
	ch := make(chan []byte, 64)
	c.flows[src] = ch
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.flows, src)
		c.mu.Unlock()
	}()
	send := func(p *packet) string {
		f, name := c.router.pick(c.zone, src, to)
		if f.IsValid() {
			_, _ = c.conn.WriteToUDPAddrPort(p.encode(), f)
		}
		return name
	}
	iss := rand.Uint32()
	sent = time.Now()
	due := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}
	var peer uint32
	timer := time.NewTimer(0)
	defer timer.Stop()
	for copies, open := 0, false; !open; {
		select {
		case <-timer.C:
			if copies == len(due)-1 {
				return "not opened", front, src, sent
			}
			name := send(&packet{flags: flagSyn, src: src, dst: to, seq: iss, ack: uint32(copies)})
			if copies == 0 {
				front = name
			}
			copies++
			timer.Reset(time.Until(sent.Add(due[copies])))
		case raw := <-ch:
			p, _ := decode(raw)
			if p.has(flagRst) {
				return "reset before open", front, src, sent
			}
			if p.has(flagSyn) && p.has(flagAck) && p.ack == iss+1 {
				peer, open = p.seq+1, true
			}
		}
	}
	request := fmt.Sprintf("GET /p HTTP/1.1\r\nHost: %s\r\nX-Trefoilweir-Attempt-Id: %s\r\n\r\n", to, id)
	data := &packet{flags: flagAck | flagFin, src: src, dst: to, seq: iss + 1, ack: peer, data: []byte(request)}
	wait := 200 * time.Millisecond
	send(data)
	timer.Reset(wait)
	for {
		select {
		case <-timer.C:
			if time.Since(sent) > deadline {
				return "deadline", front, src, sent
			}
			send(data)
			wait = min(2*wait, 1600*time.Millisecond)
			timer.Reset(wait)
		case raw := <-ch:
			p, _ := decode(raw)
			switch {
			case p.has(flagSyn):
			case p.has(flagRst) && written(raw):
				return "reset by the server", front, src, sent
			case p.has(flagRst):
				if d := int32(p.seq - peer); d < 76800 && d > -76800 {
					return "reset by the system", front, src, sent
				}
			case len(p.data) > 0 && p.seq == peer:
				end := peer + uint32(len(p.data))
				if p.has(flagFin) {
					end++
				}
				send(&packet{flags: flagAck, src: src, dst: to, seq: iss + 2 + uint32(len(request)), ack: end})
				if !strings.HasSuffix(string(p.data), "seal of "+id) {
					return "foreign answer", front, src, sent
				}
				return "answered", front, src, sent
			}
		}
	}
}
