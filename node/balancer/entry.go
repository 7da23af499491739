package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
)

// fewCandidates is how many candidates are ranked at first. All of
// placement.MaxRank are ranked only if none of these is usable.
const fewCandidates = 4

// entry is the socket of one service address. It reads the datagrams of
// callers and forwards them to agents.
type entry struct {
	b   *Balancer
	key entryKey
	// opened orders entries by the time they were opened.
	opened  int
	name    string
	conn    *net.UDPConn
	targets atomic.Pointer[[]placement.Target]
	// source is the part of the configuration that targets was made from.
	// Balancer.mu guards it.
	source []config.Target
	// configured is false once the service or its address has left the
	// configuration; open flows go on.
	configured atomic.Bool
	counters   serviceCounters
}

// entryKey identifies an entry by its settings, not by the address that the
// system chose for port 0.
type entryKey struct {
	service uint32
	listen  netip.AddrPort
}

// reader holds the working memory of one reading goroutine, so that
// forwarding does not allocate.
type reader struct {
	buf        [wire.MaxDatagramLen]byte
	packet     packet
	header     wire.Header
	scratch    connid.Scratch
	candidates []netip.AddrPort
}

func newReader() *reader {
	return &reader{candidates: make([]netip.AddrPort, 0, placement.MaxCandidates)}
}

// String names the part in logs.
func (e *entry) String() string { return "entry " + e.name }

// Serve forwards until ctx ends. The socket outlives it, so that a panic
// loses one datagram and not the socket.
func (e *entry) Serve(ctx context.Context) error {
	r := newReader()
	return readLoop(ctx, e.conn, func() error { return e.step(r) })
}

// step reads one datagram and forwards it.
func (e *entry) step(r *reader) error {
	n, from, err := e.conn.ReadFromUDPAddrPort(r.buf[wire.HeaderLen:])
	if err != nil {
		return err
	}
	e.b.heardFabric()
	agent, why := e.prepare(r, n, unmap(from))
	if why == reasonNone {
		why = e.b.send(r.buf[:wire.HeaderLen+n], agent)
	}
	if why != reasonNone {
		e.b.counters.drop(why)
		return nil
	}
	e.counters.forwarded.Inc()
	return nil
}

// prepare chooses the agent for the caller's datagram of n bytes in the
// buffer and seals the header in front of it.
func (e *entry) prepare(r *reader, n int, from netip.AddrPort) (netip.AddrPort, reason) {
	if wire.HeaderLen+n >= len(r.buf) {
		// A datagram that fills the buffer may have been cut.
		return netip.AddrPort{}, reasonTooLong
	}
	datagram := r.buf[wire.HeaderLen : wire.HeaderLen+n]
	if why := parsePacket(datagram, connid.Len, &r.packet); why != reasonNone {
		return netip.AddrPort{}, why
	}
	r.header = wire.Header{Kind: wire.Forward, Caller: from}
	agent, why := e.established(r)
	if why != reasonNone && r.packet.kind != typeShort {
		if first := checkFirst(&r.packet, n); first == reasonNone {
			agent, why = e.place(r)
		} else if first != reasonNotFirst {
			why = first
		}
	}
	if why != reasonNone {
		return agent, why
	}
	e.b.seal(r.buf[:wire.HeaderLen+n], &r.header, e.key.service)
	return agent, reasonNone
}

// established returns the agent in the connection ID. The ID is encrypted but
// not authenticated, so its service and network are checked.
func (e *entry) established(r *reader) (netip.AddrPort, reason) {
	id, err := e.b.keys.ConnIDCodec().Decode(r.packet.dcid, &r.scratch)
	switch {
	case err == connid.ErrGeneration:
		return netip.AddrPort{}, reasonUnknownGeneration
	case err != nil:
		return netip.AddrPort{}, reasonIDLength
	case id.Service != e.key.service:
		return netip.AddrPort{}, reasonOtherService
	case !e.b.networks().allow(id.Agent):
		return netip.AddrPort{}, reasonAgentNetwork
	}
	return id.Agent, reasonNone
}

// place chooses the agent for a first packet and asks it for an echo.
func (e *entry) place(r *reader) (netip.AddrPort, reason) {
	targets := *e.targets.Load()
	agent, ok := e.b.choose(r, e.key.service, targets)
	if !ok {
		return netip.AddrPort{}, reasonNoTarget
	}
	if !e.b.networks().allow(agent) {
		return netip.AddrPort{}, reasonAgentNetwork
	}
	e.b.echoed(e.key.service, agent)
	e.counters.first.Inc()
	r.header.Flags = wire.FlagFirst | wire.FlagEcho
	return agent, reasonNone
}

// answer sends an agent's response to a caller.
func (e *entry) answer(payload []byte, caller netip.AddrPort) reason {
	if _, err := e.conn.WriteToUDPAddrPort(payload, caller); err != nil {
		return reasonSendFailed
	}
	e.counters.returned.Inc()
	return reasonNone
}

// readLoop calls step until ctx ends or the socket fails.
func readLoop(ctx context.Context, conn *net.UDPConn, step func() error) error {
	past := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(past) })
	defer stop()
	for {
		err := step()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return trace.Wrap(err, "reading %s", conn.LocalAddr())
		}
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
