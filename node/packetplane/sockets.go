package packetplane

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// latencySampleInterval is the number of received datagrams for each one whose
// forwarding latency is measured.
const latencySampleInterval = 32

func listen(a netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", a)
	}
	if err := conn.SetReadBuffer(receiveBufferSize); err != nil {
		return nil, trace.Wrap(err)
	}
	return conn, nil
}

func (p *Process) sendTo(a netip.Addr, m *relay.Message) {
	p.sendBuffer = m.Append(p.sendBuffer[:0])
	if _, err := p.peerConn.WriteToUDPAddrPort(p.sendBuffer, netip.AddrPortFrom(a, p.Settings.PeerPort)); err != nil {
		p.events.sendFailed(a, err)
	}
}

// flush sends the datagrams and packets of a decision, and records its events and
// latencies. The caller holds the lock.
func (p *Process) flush(now time.Duration) {
	for i := range p.out.Sends {
		p.sendTo(p.out.Sends[i].To, &p.out.Sends[i].Message)
	}
	for _, raw := range p.out.ToTarget {
		if _, err := p.peerConn.WriteToUDPAddrPort(raw, p.Settings.TargetAddr); err != nil {
			p.events.sendFailed(p.Settings.TargetAddr.Addr(), err)
		}
	}
	for _, c := range p.out.ToCaller {
		a := netip.AddrPortFrom(netip.AddrFrom4(c.IP), p.Settings.PacketAddr.Port())
		if _, err := p.callerConn.WriteToUDPAddrPort(c.Raw, a); err != nil {
			p.events.sendFailed(a.Addr(), err)
		}
	}
	p.events.add(now, p.out.Events, p.view)
	p.events.recordLatencies(p.out.Latencies)
	p.out.Clear()
}

// receiveLoop returns a function that passes the datagrams of a socket to handle,
// with the lock held, until ctx ends.
func (p *Process) receiveLoop(conn *net.UDPConn, handle func(now time.Duration, from netip.AddrPort, b []byte)) func(context.Context) error {
	return func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(time.Now()) })
		defer stop()
		b := make([]byte, maxDatagramLen)
		for count := 0; ; count++ {
			n, from, err := conn.ReadFromUDPAddrPort(b)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				// The error is an ICMP message about an earlier datagram. The
				// socket still works.
				if errors.Is(err, syscall.ECONNREFUSED) {
					continue
				}
				return trace.Wrap(err)
			}
			received := p.now()
			p.step("datagram", func(now time.Duration) {
				handle(now, from, b[:n])
				p.flush(now)
				if count%latencySampleInterval == 0 {
					p.events.recordLatency(plane.LatencyForwarded, p.Settings.Service, p.now()-received)
				}
			})
		}
	}
}

// handlePeerDatagram handles a datagram of another process.
func (p *Process) handlePeerDatagram(now time.Duration, from netip.AddrPort, b []byte) {
	m, err := relay.Decode(b)
	if err != nil {
		p.out.Event(plane.Event{Kind: plane.EventDropped, Peer: from.Addr(), Reason: "malformed_relay"})
		return
	}
	peer := from.Addr().Unmap()
	p.sync.NoteSender(peer)
	if m.Kind == relay.Heartbeat {
		p.sync.HandleHeartbeat(peer, m.Progress, m.Age)
		if m.Load.Flags&relay.FlagReplyRequested != 0 {
			p.children.recordRequest(now, peer)
			reply := p.heartbeat(now, 0)
			p.sendTo(peer, &reply)
		}
	}
	p.role.fromPeer(now, peer, &m)
}

// serveHTTP returns a function that serves a handler on an address until ctx
// ends.
func serveHTTP(a netip.AddrPort, h http.Handler) func(context.Context) error {
	return func(ctx context.Context) error {
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", a.String())
		if err != nil {
			return trace.Wrap(err)
		}
		server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err = server.Serve(l)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return trace.Wrap(err)
	}
}
