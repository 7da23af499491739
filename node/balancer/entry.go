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

// initialCandidates is how many candidates are ranked first. All
// placement.MaxCandidates are ranked only if none of these is usable.
const initialCandidates = 4

// entry is the socket of one service address, and the part that forwards the
// callers' datagrams received on it to agents.
type entry struct {
	b   *Balancer
	key entryKey
	// openOrder orders entries by the time at which they were opened.
	openOrder int
	name      string
	conn      *net.UDPConn
	targets   atomic.Pointer[[]placement.Target]
	// configTargets is the list in the configuration that targets was computed
	// from. Balancer.mu guards it.
	configTargets []config.Target
	// configured is false once the service or its address is no longer in the
	// configuration. Established flows are still forwarded.
	configured atomic.Bool
	counters   serviceCounters
}

// entryKey identifies an entry by its service and its configured address. For
// port 0 this differs from the address that the system assigned.
type entryKey struct {
	service uint32
	listen  netip.AddrPort
}

// reader holds the buffers of one reading goroutine, so that forwarding does
// not allocate.
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

// String returns the name of the part in logs.
func (e *entry) String() string { return "entry " + e.name }

// Serve forwards datagrams until ctx ends. It does not close the socket, so
// that a panic loses only the datagram that caused it.
func (e *entry) Serve(ctx context.Context) error {
	r := newReader()
	return readLoop(ctx, e.conn, func() error { return e.forwardNext(r) })
}

// forwardNext reads one datagram and forwards it.
func (e *entry) forwardNext(r *reader) error {
	n, from, err := e.conn.ReadFromUDPAddrPort(r.buf[wire.HeaderLen:])
	if err != nil {
		return err
	}
	e.b.recordCallerDatagram()
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

// prepare chooses the agent for a caller's datagram and seals the header in
// front of it. The datagram is the n bytes after the header in r.buf.
func (e *entry) prepare(r *reader, n int, from netip.AddrPort) (netip.AddrPort, reason) {
	if wire.HeaderLen+n >= len(r.buf) {
		// A datagram that fills the buffer may have been truncated.
		return netip.AddrPort{}, reasonTooLong
	}
	datagram := r.buf[wire.HeaderLen : wire.HeaderLen+n]
	if why := parsePacket(datagram, connid.Len, &r.packet); why != reasonNone {
		return netip.AddrPort{}, why
	}
	r.header = wire.Header{Kind: wire.Forward, Caller: from}
	agent, why := e.decodeAgent(r)
	if why != reasonNone && r.packet.kind != typeShort {
		if first := checkFirstPacket(&r.packet, n); first == reasonNone {
			agent, why = e.placeFlow(r)
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

// decodeAgent returns the agent in the connection ID of r.packet. The ID is
// encrypted but not authenticated, so decodeAgent checks that it names the
// service of this entry and an agent in an allowed network.
func (e *entry) decodeAgent(r *reader) (netip.AddrPort, reason) {
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

// placeFlow chooses the agent for a first packet and requests an echo from it.
func (e *entry) placeFlow(r *reader) (netip.AddrPort, reason) {
	targets := *e.targets.Load()
	agent, ok := e.b.chooseAgent(r, e.key.service, targets)
	if !ok {
		return netip.AddrPort{}, reasonNoTarget
	}
	if !e.b.networks().allow(agent) {
		return netip.AddrPort{}, reasonAgentNetwork
	}
	e.b.recordEchoSent(e.key.service, agent)
	e.counters.firstPackets.Inc()
	r.header.Flags = wire.FlagFirst | wire.FlagEcho
	return agent, reasonNone
}

// sendToCaller sends an agent's response to a caller.
func (e *entry) sendToCaller(payload []byte, caller netip.AddrPort) reason {
	if _, err := e.conn.WriteToUDPAddrPort(payload, caller); err != nil {
		return reasonSendFailed
	}
	e.counters.returned.Inc()
	return reasonNone
}

// readLoop calls readNext until ctx ends or the socket fails.
func readLoop(ctx context.Context, conn *net.UDPConn, readNext func() error) error {
	past := time.Unix(1, 0)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetReadDeadline(past) })
	defer stop()
	for {
		err := readNext()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return trace.Wrap(err, "socket %s cannot be read", conn.LocalAddr())
		}
	}
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
