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

// resetWindow is how far the sequence number of a reset may be from the last
// acknowledgement of an open flow.
const resetWindow = 76_800

// client is a caller with one address. It receives packets at its address, at the
// port of datagram-addr.
type client struct {
	name, zone string
	ip         netip.Addr
	conn       *net.UDPConn
	fleet      *fleet

	mu    sync.Mutex
	flows map[uint16]*clientFlow
	port  uint16
}

// clientFlow is the client's end of a flow.
type clientFlow struct {
	*client
	id             flowID
	in             chan *packet
	next, received uint32
	open, ended    bool
	lastAck        uint32
}

func startClient(f *fleet, name, zone string, ip netip.Addr) (*client, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, portDatagram)))
	if err != nil {
		return nil, err
	}
	c := &client{name: name, zone: zone, ip: ip, conn: conn, fleet: f, flows: map[uint16]*clientFlow{}, port: 1024}
	go c.receiveLoop()
	return c, nil
}

func (c *client) receiveLoop() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok || !p.has(flagRst) && !p.valid(b[:n]) {
			c.fleet.rec.violation("MIXED", "client %s got a packet that its sender did not write so", c.name)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil && f.id.route == p.src {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// newFlow prepares a flow from a new port.
func (c *client) newFlow(route netip.AddrPort) *clientFlow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &clientFlow{client: c, id: flowID{netip.AddrPortFrom(c.ip, c.port), route}, in: make(chan *packet, 256), next: rand.Uint32()}
	c.flows[c.port] = f
	return f
}

func (f *clientFlow) send(p packet) {
	p.src, p.dst = f.id.client, f.id.route
	if !p.has(flagSyn) {
		f.lastAck = p.ack
	}
	raw := p.encode()
	if to := f.fleet.route(f.zone, f.id); to.IsValid() {
		_, _ = f.conn.WriteToUDPAddrPort(raw, to)
	}
}

// dial opens the flow. The client sends copies after 200 and 600 ms and gives up
// after 1.4 s.
func (f *clientFlow) dial() bool {
	begin := time.Now()
	for copies, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond} {
		for {
			left := time.Until(begin.Add(at))
			if left <= 0 {
				break
			}
			select {
			case p := <-f.in:
				switch {
				case p.has(flagRst):
					f.ended = true
					return false
				case p.has(flagSyn) && p.ack == f.next+1:
					f.next++
					f.received = p.seq + 1
					f.open = true
					f.send(packet{flags: flagAck, seq: f.next, ack: f.received})
					return true
				}
			case <-time.After(left):
			}
		}
		if copies < 3 {
			f.send(packet{flags: flagSyn, seq: f.next, ack: uint32(copies)})
		}
	}
	f.ended = true
	return false
}

// handle handles a packet outside of the handshake. It returns the answer that the
// packet completes.
func (f *clientFlow) handle(p *packet) (answer string) {
	switch {
	case p.has(flagRst):
		f.handleReset(p)
	case p.has(flagSyn):
		f.send(packet{flags: flagAck, seq: f.next, ack: f.received})
	case p.has(flagFin):
		f.ended = true
		f.send(packet{flags: flagFin | flagAck, seq: f.next, ack: p.seq + uint32(len(p.data)) + 1})
	case len(p.data) > 0:
		if p.seq == f.received {
			f.received += uint32(len(p.data))
			answer = string(p.data)
		}
		f.send(packet{flags: flagAck, seq: f.next, ack: f.received})
	}
	return answer
}

// handleReset judges a reset of the open flow.
func (f *clientFlow) handleReset(p *packet) {
	distance := int64(int32(p.seq - f.lastAck))
	if p.sum != 0 || distance > resetWindow || distance < -resetWindow {
		return
	}
	f.ended = true
	f.fleet.rec.resetOfOpenFlow(f.id, f.name)
}

// request sends a request and returns whether the answer came in time.
func (f *clientFlow) request(request string, timeout time.Duration) bool {
	f.fleet.rec.sent(request, f.id)
	data, deadline, wait := []byte(request), time.Now().Add(timeout), firstRetransmit
	p := packet{flags: flagAck, seq: f.next, ack: f.received, data: data}
	f.next += uint32(len(data))
	f.send(p)
	again := time.NewTimer(wait)
	defer again.Stop()
	for !f.ended {
		select {
		case in := <-f.in:
			answer := f.handle(in)
			if answer == "" {
				continue
			}
			if !strings.HasPrefix(answer, "answer "+request+" by ") || len(answer) < answerSize {
				f.fleet.rec.violation("MIXED", "client %s got %q for %s", f.name, fmt.Sprintf("%.40s", answer), request)
			}
			f.fleet.rec.answered(request, answer)
			return true
		case <-again.C:
			p.ack = f.received
			f.send(p)
			wait = min(lastRetransmit, 2*wait)
			again.Reset(wait)
		case <-time.After(time.Until(deadline)):
			f.fleet.rec.unanswered(request, "deadline")
			return false
		}
	}
	f.fleet.rec.unanswered(request, "flow ended")
	return false
}

// idle handles packets until a time.
func (f *clientFlow) idle(until time.Time) {
	for left := time.Until(until); left > 0; left = time.Until(until) {
		select {
		case p := <-f.in:
			f.handle(p)
		case <-time.After(left):
		}
	}
}
