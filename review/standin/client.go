package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	// resetWindow is by how much the sequence number of a reset may differ from
	// the client's last acknowledgement.
	resetWindow = 76_800
	openTimeout = 1400 * time.Millisecond
)

// client is a host with clients. Its packets go through the routers of its zone.
type client struct {
	w        *world
	zone     string
	address  netip.AddrPort
	conn     *net.UDPConn
	mu       sync.Mutex
	flows    map[netip.AddrPort]*flow // by the flow's end at the client
	nextPort uint16
}

// outcome is how an attempt ended.
type outcome string

const (
	answered  outcome = "answered"
	notOpened outcome = "not opened"
	wasReset  outcome = "reset"
	closed    outcome = "closed by the server"
	timedOut  outcome = "no answer until the deadline"
	foreign   outcome = "foreign answer"
)

// flow is one flow at its client.
type flow struct {
	c              *client
	key            flowKey
	in             chan *packet
	open           bool
	seq, ack       uint32
	firstSent      time.Time
	closedByServer bool
	reset          bool
}

func (w *world) startClient(zone string, address netip.AddrPort) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	c := &client{w: w, zone: zone, address: address, conn: conn, flows: map[netip.AddrPort]*flow{}, nextPort: 20000}
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
		p, err := decode(raw)
		own := err == nil && p.has(flagRst) && p.Sum == 0 && len(p.Data) == 0
		if err != nil || !own && !p.authentic(raw) {
			c.w.rec.broken("MIXED", "client %s got a packet that its sender did not write so", c.address)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst]
		c.mu.Unlock()
		if f == nil || f.key.route != p.Src {
			continue
		}
		select {
		case f.in <- p:
		default:
		}
	}
}

// newFlow returns a flow from a new port.
func (c *client) newFlow(route netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextPort++
	f := &flow{c: c, key: flowKey{netip.AddrPortFrom(c.address.Addr(), c.nextPort), route}, in: make(chan *packet, 64), seq: rand.Uint32()}
	c.flows[f.key.client] = f
	return f
}

func (f *flow) unregister() {
	f.c.mu.Lock()
	defer f.c.mu.Unlock()
	delete(f.c.flows, f.key.client)
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	p := packet{Flags: flags, Src: f.key.client, Dst: f.key.route, Seq: seq, Ack: ack, Data: data}
	if to, ok := f.c.w.route(f.c.zone, f.key); ok {
		_, _ = f.c.conn.WriteToUDPAddrPort(p.encode(), to)
	}
}

// connect opens the flow: a SYN and copies of it after 200 and 600 ms.
func (f *flow) connect() outcome {
	f.firstSent = time.Now()
	f.c.w.mu.Lock()
	f.c.w.opened[f.key] = f.firstSent
	f.c.w.mu.Unlock()
	f.c.w.rec.note("client opens %s to %s", f.key.client, f.key.route)
	copies := []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}
	for i := range copies {
		f.send(flagSyn, f.seq, uint32(i), nil)
		next := openTimeout
		if i+1 < len(copies) {
			next = copies[i+1]
		}
		deadline := time.After(time.Until(f.firstSent.Add(next)))
	wait:
		for {
			select {
			case p := <-f.in:
				switch {
				case p.has(flagRst):
					f.c.w.rec.note("client %s: reset before the flow was open", f.key.client)
					f.unregister()
					return notOpened
				case p.has(flagSyn) && p.has(flagAck) && p.Ack == f.seq+1:
					f.open, f.seq, f.ack = true, f.seq+1, p.Seq+1
					f.send(flagAck, f.seq, f.ack, nil)
					return answered
				}
			case <-deadline:
				break wait
			}
		}
	}
	f.unregister()
	return notOpened
}

// request sends a request and waits for its answer.
func (f *flow) request(id string, limit time.Duration) outcome {
	data := fmt.Appendf(nil, "GET /map HTTP/1.1\r\nHost: seats\r\nX-Trefoilweir-Attempt-Id: %s\r\n\r\n", id)
	f.c.w.requestSent(id)
	f.c.w.rec.note("client sends %s on %s", id, f.key.client)
	result := f.exchange(id, data, limit)
	f.c.w.rec.note("client: %s %s", id, result)
	return result
}

func (f *flow) exchange(id string, data []byte, limit time.Duration) outcome {
	deadline, rto := time.Now().Add(limit), firstRTO
	f.send(flagAck, f.seq, f.ack, data)
	resend := time.NewTimer(rto)
	defer resend.Stop()
	for {
		select {
		case p := <-f.in:
			if done, result := f.receive(id, data, p); done {
				return result
			}
		case <-resend.C:
			if time.Now().After(deadline) {
				return timedOut
			}
			f.send(flagAck, f.seq, f.ack, data)
			rto = min(2*rto, maxRTO)
			resend.Reset(min(rto, max(time.Millisecond, time.Until(deadline))))
		}
	}
}

func (f *flow) receive(id string, data []byte, p *packet) (done bool, result outcome) {
	switch {
	case p.has(flagRst):
		if !f.takeReset(p) {
			return false, ""
		}
		return true, wasReset
	case p.has(flagSyn):
		// The answer of another server, or a copy.
		f.send(flagAck, f.seq, f.ack, nil)
		return false, ""
	case len(p.Data) == 0 && !p.has(flagFin):
		return false, ""
	case p.Seq != f.ack:
		f.send(flagAck, f.seq, f.ack, nil)
		return false, ""
	}
	f.seq += uint32(len(data))
	f.ack += uint32(len(p.Data))
	if p.has(flagFin) {
		f.ack++
		f.closedByServer = true
	}
	if len(p.Data) == 0 {
		return true, closed
	}
	f.send(flagAck, f.seq, f.ack, nil)
	if f.closedByServer {
		f.send(flagAck|flagFin, f.seq, f.ack, nil)
		f.unregister()
	}
	if !bytes.Contains(p.Data, []byte("X-Trefoilweir-Server-Seal: ")) || !bytes.HasSuffix(p.Data, []byte("\r\n\r\nseats of "+id)) {
		f.c.w.rec.broken("MIXED", "client %s got a foreign answer to %s", f.key.client, id)
		return true, foreign
	}
	return true, answered
}

// takeReset reports whether the client accepts a reset, and judges it.
func (f *flow) takeReset(p *packet) bool {
	if diff := int32(p.Seq - f.ack); p.Sum == 0 && (diff > resetWindow || -diff > resetWindow) {
		f.c.w.rec.note("client %s ignores a reset outside the window", f.key.client)
		return false
	}
	f.reset = true
	f.c.w.flowReset(f.key, p.Sum == 0)
	f.unregister()
	return true
}

// idle handles the packets that arrive between requests. It reports whether the
// flow can carry another request.
func (f *flow) idle(wait time.Duration) bool {
	end := time.After(wait)
	for {
		select {
		case p := <-f.in:
			switch {
			case p.has(flagRst) && f.takeReset(p):
				return false
			case p.has(flagFin) && p.Seq == f.ack:
				f.ack++
				f.closedByServer = true
				f.send(flagAck|flagFin, f.seq, f.ack, nil)
				f.unregister()
				return false
			case len(p.Data) > 0:
				f.send(flagAck, f.seq, f.ack, nil)
			}
		case <-end:
			return true
		}
	}
}

// close ends a flow from the client's side.
func (f *flow) close() {
	if f.closedByServer || f.reset {
		return
	}
	f.c.w.flowClosed(f.key)
	rto := firstRTO
	for range 4 {
		f.send(flagAck|flagFin, f.seq, f.ack, nil)
		end := time.After(rto)
		for waiting := true; waiting; {
			select {
			case p := <-f.in:
				if p.has(flagFin) {
					f.send(flagAck, f.seq+1, p.Seq+1, nil)
					f.unregister()
					return
				}
			case <-end:
				waiting = false
			}
		}
		rto *= 2
	}
	f.unregister()
}
