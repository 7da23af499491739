package agent

import (
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/wire"
	"trefoilweir.example/node/keys"
)

// identity is what marks this agent process to others.
type identity struct {
	// address is the datagram address in connection IDs.
	address     netip.AddrPort
	service     uint32
	incarnation uint64
}

// edge is the agent's datagram socket. To the QUIC stack it is a
// net.PacketConn whose addresses are those of callers: it takes payloads out
// of Forward datagrams and puts responses into Return datagrams. It answers
// all other datagrams itself.
//
// It must not embed *net.UDPConn: the QUIC stack would find the methods for
// batched reads and bypass ReadFrom.
type edge struct {
	socket    *net.UDPConn
	keys      *keys.Store
	self      identity
	now       func() time.Duration
	view      func() *view
	metrics   *instruments
	balancers *balancers
	redirects *redirects
	load      *loadFigures
	// control receives the payload of Control datagrams. It must not keep
	// the payload and must not block.
	control  func(from peerAgent, payload []byte)
	sequence atomic.Uint64
	buffers  sync.Pool
	// in and scratch are working memory of ReadFrom, which one goroutine calls.
	in      [wire.MaxDatagramLen]byte
	scratch connid.Scratch
}

var _ net.PacketConn = (*edge)(nil)

// ReadFrom returns the next QUIC packet and its caller's address.
func (e *edge) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(e.in[:])
		if err != nil {
			return 0, nil, err
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		packet, caller, ok := e.receiveContained(e.in[:n], from)
		if !ok {
			continue
		}
		if len(packet) > len(p) {
			e.metrics.dropped("oversize")
			continue
		}
		return copy(p, packet), net.UDPAddrFromAddrPort(caller), nil
	}
}

// receiveContained keeps a panic on one datagram from ending the reads.
func (e *edge) receiveContained(datagram []byte, from netip.AddrPort) (packet []byte, caller netip.AddrPort, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			e.metrics.panicked("datagrams")
			packet, ok = nil, false
		}
	}()
	return e.receive(datagram, from)
}

// WriteTo sends a QUIC packet to a caller through a balancer. Losses are left
// to QUIC, so it fails only when the socket is closed.
func (e *edge) WriteTo(p []byte, addr net.Addr) (int, error) {
	caller, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, trace.BadParameter("address %v is not a UDP address", addr)
	}
	to, ok := e.balancers.next(e.now(), e.view().balancers)
	if !ok {
		e.metrics.dropped("no_balancer")
		return len(p), nil
	}
	header := wire.Header{Kind: wire.Return, Caller: unmapped(caller.AddrPort())}
	if err := e.send(to, &header, p); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// send seals and sends one datagram. It fills in the fields that are the same
// in all of the agent's datagrams, and a sequence number if there is none.
func (e *edge) send(to netip.AddrPort, h *wire.Header, payload []byte) error {
	if wire.HeaderLen+len(payload) > wire.MaxDatagramLen {
		e.metrics.dropped("send_oversize")
		return trace.LimitExceeded("payload of %d bytes does not fit into a datagram", len(payload))
	}
	buffer, _ := e.buffers.Get().(*[wire.MaxDatagramLen]byte)
	if buffer == nil {
		buffer = new([wire.MaxDatagramLen]byte)
	}
	defer e.buffers.Put(buffer)
	h.Service, h.Incarnation = e.self.service, e.self.incarnation
	if h.Sequence == 0 {
		h.Sequence = e.sequence.Add(1)
	}
	h.Busy, h.Waiting, h.State = e.load.header()
	if h.State&wire.StateDraining != 0 {
		h.Flags |= wire.FlagLeaving
	}
	n := wire.HeaderLen + copy(buffer[wire.HeaderLen:], payload)
	e.keys.WireCodec().Seal(buffer[:n], h)
	_, err := e.socket.WriteToUDPAddrPort(buffer[:n], to)
	if err != nil {
		e.metrics.dropped("send_error")
	}
	return err
}

// ping asks a balancer for a Pong.
func (e *edge) ping(to netip.AddrPort) {
	_ = e.send(to, &wire.Header{Kind: wire.Ping, Flags: wire.FlagEcho}, nil)
}

// Close implements net.PacketConn.
func (e *edge) Close() error { return e.socket.Close() }

// LocalAddr implements net.PacketConn.
func (e *edge) LocalAddr() net.Addr { return e.socket.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (e *edge) SetDeadline(t time.Time) error { return e.socket.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (e *edge) SetReadDeadline(t time.Time) error { return e.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (e *edge) SetWriteDeadline(t time.Time) error { return e.socket.SetWriteDeadline(t) }

// SetReadBuffer and SetWriteBuffer let the QUIC stack enlarge the buffers of
// the socket.
func (e *edge) SetReadBuffer(bytes int) error { return e.socket.SetReadBuffer(bytes) }

// SetWriteBuffer is described at SetReadBuffer.
func (e *edge) SetWriteBuffer(bytes int) error { return e.socket.SetWriteBuffer(bytes) }
