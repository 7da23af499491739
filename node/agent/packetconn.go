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

// identity identifies this agent process to other processes.
type identity struct {
	// address is the datagram address that connection IDs contain.
	address     netip.AddrPort
	service     uint32
	incarnation uint64
}

// packetConn is the agent's datagram socket. To the QUIC stack it is a
// net.PacketConn whose addresses are those of callers: it extracts QUIC packets
// from Forward datagrams and sends responses in Return datagrams. It handles
// all other datagrams itself.
//
// It must not embed *net.UDPConn: the QUIC stack would find the methods for
// batched reads and bypass ReadFrom.
type packetConn struct {
	socket    *net.UDPConn
	keys      *keys.Store
	self      identity
	now       func() time.Duration
	view      func() *view
	metrics   *instruments
	balancers *balancerSet
	redirects *redirectCache
	load      *loadState
	// control receives the payload of Control datagrams. It must neither keep
	// the payload nor block.
	control     func(from peerAgent, payload []byte)
	sequence    atomic.Uint64
	sendBuffers sync.Pool
	// readBuffer and scratch are reused by ReadFrom, which only one goroutine
	// calls.
	readBuffer [wire.MaxDatagramLen]byte
	scratch    connid.Scratch
}

var _ net.PacketConn = (*packetConn)(nil)

// ReadFrom returns the next QUIC packet and its caller's address.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.socket.ReadFromUDPAddrPort(c.readBuffer[:])
		if err != nil {
			return 0, nil, err
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		packet, caller, ok := c.receiveWithRecover(c.readBuffer[:n], from)
		if !ok {
			continue
		}
		if len(packet) > len(p) {
			c.metrics.dropped("oversize")
			continue
		}
		return copy(p, packet), net.UDPAddrFromAddrPort(caller), nil
	}
}

// receiveWithRecover drops a datagram whose handling panics, so that the reads
// continue.
func (c *packetConn) receiveWithRecover(datagram []byte, from netip.AddrPort) (packet []byte, caller netip.AddrPort, ok bool) {
	defer func() {
		if p := recover(); p != nil {
			c.metrics.panicked("datagrams")
			packet, ok = nil, false
		}
	}()
	return c.receive(datagram, from)
}

// WriteTo sends a QUIC packet to a caller through a balancer. QUIC retransmits
// what is lost, so a failed send is an error only if the socket is closed.
func (c *packetConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	caller, ok := addr.(*net.UDPAddr)
	if !ok {
		return 0, trace.BadParameter("address %v is not a UDP address", addr)
	}
	to, ok := c.balancers.next(c.now(), c.view().balancers)
	if !ok {
		c.metrics.dropped("no_balancer")
		return len(p), nil
	}
	header := wire.Header{Kind: wire.Return, Caller: unmapped(caller.AddrPort())}
	if err := c.send(to, &header, p); errors.Is(err, net.ErrClosed) {
		return 0, err
	}
	return len(p), nil
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// send seals and sends one datagram. It sets the header fields that are the
// same in all datagrams of the agent, and a sequence number if the header has
// none.
func (c *packetConn) send(to netip.AddrPort, h *wire.Header, payload []byte) error {
	if wire.HeaderLen+len(payload) > wire.MaxDatagramLen {
		c.metrics.dropped("send_oversize")
		return trace.LimitExceeded("payload of %d bytes does not fit into a datagram", len(payload))
	}
	buffer, _ := c.sendBuffers.Get().(*[wire.MaxDatagramLen]byte)
	if buffer == nil {
		buffer = new([wire.MaxDatagramLen]byte)
	}
	defer c.sendBuffers.Put(buffer)
	h.Service, h.Incarnation = c.self.service, c.self.incarnation
	if h.Sequence == 0 {
		h.Sequence = c.sequence.Add(1)
	}
	h.Busy, h.Waiting, h.State = c.load.headerFields()
	if h.State&wire.StateDraining != 0 {
		h.Flags |= wire.FlagLeaving
	}
	n := wire.HeaderLen + copy(buffer[wire.HeaderLen:], payload)
	c.keys.WireCodec().Seal(buffer[:n], h)
	_, err := c.socket.WriteToUDPAddrPort(buffer[:n], to)
	if err != nil {
		c.metrics.dropped("send_error")
	}
	return err
}

// sendPing sends a Ping that asks the balancer for a Pong.
func (c *packetConn) sendPing(to netip.AddrPort) {
	_ = c.send(to, &wire.Header{Kind: wire.Ping, Flags: wire.FlagEcho}, nil)
}

// Close implements net.PacketConn.
func (c *packetConn) Close() error { return c.socket.Close() }

// LocalAddr implements net.PacketConn.
func (c *packetConn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline implements net.PacketConn.
func (c *packetConn) SetDeadline(t time.Time) error { return c.socket.SetDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *packetConn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn.
func (c *packetConn) SetWriteDeadline(t time.Time) error { return c.socket.SetWriteDeadline(t) }

// SetReadBuffer and SetWriteBuffer let the QUIC stack enlarge the buffers of
// the socket.
func (c *packetConn) SetReadBuffer(bytes int) error { return c.socket.SetReadBuffer(bytes) }

// SetWriteBuffer is described at SetReadBuffer.
func (c *packetConn) SetWriteBuffer(bytes int) error { return c.socket.SetWriteBuffer(bytes) }
