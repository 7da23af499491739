package balancer

import (
	"context"
	"net/netip"

	"trefoilweir.example/core/wire"
)

// internalReader is the part that reads the internal socket, on which agents
// send responses, pings and pongs.
type internalReader struct{ b *Balancer }

// String returns the name of the part in logs.
func (internalReader) String() string { return "internal datagrams" }

// Serve handles datagrams until ctx ends.
func (i internalReader) Serve(ctx context.Context) error {
	r := newReader()
	return readLoop(ctx, i.b.conn, func() error { return i.b.receiveInternal(r) })
}

func (b *Balancer) receiveInternal(r *reader) error {
	n, from, err := b.conn.ReadFromUDPAddrPort(r.buf[:])
	if err != nil {
		return err
	}
	if why := b.handleInternal(r, n, unmap(from)); why != reasonNone {
		b.counters.drop(why)
	}
	return nil
}

// handleInternal handles the datagram in the first n bytes of r.buf. It checks
// the tag, the source network and the service before it acts on the datagram.
func (b *Balancer) handleInternal(r *reader, n int, from netip.AddrPort) reason {
	if n >= len(r.buf) {
		return reasonTooLong
	}
	h := &r.header
	if err := b.keys.WireCodec().Open(r.buf[:n], h); err != nil {
		return wireReason(err)
	}
	if !b.networks().allow(from) {
		return reasonSourceNetwork
	}
	e := b.returnEntry(h.Service)
	if e == nil {
		return reasonUnknownService
	}
	switch h.Kind {
	case wire.Return:
		b.recordHeard(from, h)
		return returnToCaller(e, h, r.buf[wire.HeaderLen:n])
	case wire.Pong:
		b.recordHeard(from, h)
		b.counters.pongsReceived.Inc()
		return reasonNone
	case wire.Ping:
		b.recordHeard(from, h)
		return b.sendPong(r, h.Sequence, h.Service, from)
	}
	return reasonWireKind
}

// returnToCaller sends the payload of a Return datagram to the caller in its
// header.
func returnToCaller(e *entry, h *wire.Header, payload []byte) reason {
	if !h.Caller.Addr().IsValid() || h.Caller.Addr().IsUnspecified() || h.Caller.Port() == 0 || len(payload) == 0 {
		return reasonBadCaller
	}
	return e.sendToCaller(payload, h.Caller)
}

func (b *Balancer) sendPong(r *reader, sequence uint64, service uint32, to netip.AddrPort) reason {
	r.header = wire.Header{Kind: wire.Pong, Flags: b.flags(), Service: service, Incarnation: b.incarnation, Sequence: sequence}
	out := r.buf[:wire.HeaderLen]
	b.keys.WireCodec().Seal(out, &r.header)
	b.counters.pingsAnswered.Inc()
	return b.send(out, to)
}

func wireReason(err error) reason {
	switch err {
	case wire.ErrShort:
		return reasonWireShort
	case wire.ErrVersion:
		return reasonWireVersion
	case wire.ErrGeneration:
		return reasonWireGeneration
	case wire.ErrKind:
		return reasonWireKind
	}
	return reasonWireTag
}
