package balancer

import (
	"context"
	"net/netip"

	"trefoilweir.example/core/wire"
)

// internal reads the internal datagram socket: responses, pings and pongs of
// agents.
type internal struct{ b *Balancer }

// String names the part in logs.
func (internal) String() string { return "internal datagrams" }

// Serve handles datagrams until ctx ends.
func (i internal) Serve(ctx context.Context) error {
	r := newReader()
	return readLoop(ctx, i.b.conn, func() error { return i.b.stepInternal(r) })
}

func (b *Balancer) stepInternal(r *reader) error {
	n, from, err := b.conn.ReadFromUDPAddrPort(r.buf[:])
	if err != nil {
		return err
	}
	if why := b.handleInternal(r, n, unmap(from)); why != reasonNone {
		b.counters.drop(why)
	}
	return nil
}

// handleInternal acts on a datagram of n bytes in the buffer. Nothing is
// decided on a datagram before its tag, source and service have been checked.
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
	e := b.entryFor(h.Service)
	if e == nil {
		return reasonUnknownService
	}
	switch h.Kind {
	case wire.Return:
		b.heardAgent(from, h)
		return giveBack(e, h, r.buf[wire.HeaderLen:n])
	case wire.Pong:
		b.heardAgent(from, h)
		b.counters.pongs.Inc()
		return reasonNone
	case wire.Ping:
		b.heardAgent(from, h)
		return b.pong(r, h.Sequence, h.Service, from)
	}
	return reasonWireKind
}

// giveBack sends the payload of a Return to its caller.
func giveBack(e *entry, h *wire.Header, payload []byte) reason {
	if !h.Caller.Addr().IsValid() || h.Caller.Addr().IsUnspecified() || h.Caller.Port() == 0 || len(payload) == 0 {
		return reasonBadCaller
	}
	return e.answer(payload, h.Caller)
}

func (b *Balancer) pong(r *reader, sequence uint64, service uint32, to netip.AddrPort) reason {
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
