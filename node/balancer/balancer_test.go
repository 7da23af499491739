package balancer

import (
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
	"trefoilweir.example/node/settings"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// waitTimeout bounds waits. It is long because the machine may be busy.
const waitTimeout = 20 * time.Second

type testKeys struct {
	id        *connid.Codec
	wire      *wire.Codec
	panicOnce atomic.Bool
}

func newTestKeys(t testing.TB) *testKeys {
	key := []byte("0123456789abcdef")
	id, err := connid.NewCodec(map[uint8][]byte{1: key}, 1)
	assert.NilError(t, err)
	w, err := wire.NewCodec(map[uint8][]byte{1: key}, 1)
	assert.NilError(t, err)
	return &testKeys{id: id, wire: w}
}

func (k *testKeys) ConnIDCodec() *connid.Codec {
	if k.panicOnce.Swap(false) {
		panic("injected by the test")
	}
	return k.id
}
func (k *testKeys) WireCodec() *wire.Codec { return k.wire }

type testSource struct {
	mu      sync.Mutex
	current *config.Config
	changed chan struct{}
	vms     []config.VM
}

func (s *testSource) Current() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

func (s *testSource) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *testSource) VMs() []config.VM { return s.vms }

func (s *testSource) publish(c *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = c
	close(s.changed)
	s.changed = make(chan struct{})
}

// fakeAgent is the datagram socket of an agent.
type fakeAgent struct {
	t    testing.TB
	conn *net.UDPConn
	keys *testKeys
	buf  [wire.MaxDatagramLen]byte
}

func newUDPSocket(t testing.TB) *net.UDPConn {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func newFakeAgent(t testing.TB, keys *testKeys) *fakeAgent {
	return &fakeAgent{t: t, conn: newUDPSocket(t), keys: keys}
}

func (a *fakeAgent) addr() netip.AddrPort { return localAddr(a.conn) }

// receive waits for the next datagram of the given kind.
func (a *fakeAgent) receive(kind wire.Kind) (h wire.Header, payload []byte, from netip.AddrPort) {
	a.t.Helper()
	assert.NilError(a.t, a.conn.SetReadDeadline(time.Now().Add(waitTimeout)))
	for {
		n, from, err := a.conn.ReadFromUDPAddrPort(a.buf[:])
		assert.NilError(a.t, err)
		assert.NilError(a.t, a.keys.wire.Open(a.buf[:n], &h))
		if h.Kind == kind {
			return h, a.buf[wire.HeaderLen:n], from
		}
	}
}

func (a *fakeAgent) send(to netip.AddrPort, h wire.Header, payload string) {
	a.t.Helper()
	_, err := a.conn.WriteToUDPAddrPort(sealDatagram(a.keys, h, payload), to)
	assert.NilError(a.t, err)
}

func sealDatagram(keys *testKeys, h wire.Header, payload string) []byte {
	out := append(make([]byte, wire.HeaderLen), payload...)
	keys.wire.Seal(out, &h)
	return out
}

// connectionID returns a connection ID as the agent would issue it.
func connectionID(t testing.TB, keys *testKeys, agent netip.AddrPort, service uint32) []byte {
	var id [connid.Len]byte
	assert.NilError(t, keys.id.Encode(&id, connid.ID{Agent: agent, Service: service, Incarnation: 1, Nonce: 5}))
	return id[:]
}

func longPacket(first byte, version uint32, dcid []byte, size int) []byte {
	out := []byte{first}
	out = binary.BigEndian.AppendUint32(out, version)
	out = append(out, byte(len(dcid)))
	out = append(out, dcid...)
	out = append(out, 0)
	return append(out, make([]byte, max(0, size-len(out)))...)
}

func initialPacket(n int) []byte {
	return longPacket(0xc0, version1, binary.BigEndian.AppendUint64(nil, uint64(n)), minFirstDatagramLen)
}

func shortPacket(id []byte) []byte { return append(append([]byte{0x40}, id...), "protected"...) }

func service(id uint32, agents ...netip.AddrPort) config.Service {
	s := config.Service{Name: "booking", ID: id, Address: loopback}
	if id != 1 {
		s.Name = "gallery"
	}
	for _, a := range agents {
		s.Targets = append(s.Targets, config.Target{Agent: a, Slots: 7, Speed: 1, State: config.TargetActive})
	}
	return s
}

func configuration(version uint64, services ...config.Service) *config.Config {
	return &config.Config{Version: version, Preset: "ordinary", Services: services,
		AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}}
}

type fixture struct {
	*Balancer
	t      testing.TB
	keys   *testKeys
	source *testSource
	caller *net.UDPConn
	served chan error
}

func newFixture(t testing.TB, c func(keys *testKeys) *config.Config) *fixture {
	keys := newTestKeys(t)
	source := &testSource{changed: make(chan struct{}), current: c(keys)}
	s := settings.Balancer{LingerMS: 100}
	s.DatagramAddress = loopback
	b := New(Options{Settings: s, Source: source, Keys: keys, Incarnation: 77})
	return &fixture{Balancer: b, t: t, keys: keys, source: source, caller: newUDPSocket(t), served: make(chan error, 1)}
}

func (f *fixture) serve() *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	go func() { f.served <- f.Serve(ctx); close(f.served) }()
	f.t.Cleanup(func() {
		cancel()
		<-f.served
	})
	f.waitFor("ready", func(s Status) bool { return s.Ready })
	return f
}

func (f *fixture) waitFor(what string, ok func(Status) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if ok(f.Status()) {
			return poll.Success()
		}
		return poll.Continue("waiting for %s: status is %+v", what, f.Status())
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(5*time.Millisecond))
}

func (f *fixture) address(service int) netip.AddrPort { return f.Status().Services[service].Listen }

func (f *fixture) sendFromCaller(service int, datagram []byte) {
	f.t.Helper()
	_, err := f.caller.WriteToUDPAddrPort(datagram, f.address(service))
	assert.NilError(f.t, err)
}

// TestEndToEnd checks that packets of a flow reach its agent and that the
// agent's responses reach the caller.
func TestEndToEnd(t *testing.T) {
	var a, other *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		a, other = newFakeAgent(t, keys), newFakeAgent(t, keys)
		return configuration(3, service(1, a.addr()))
	}).serve()

	f.sendFromCaller(0, initialPacket(1))
	h, payload, from := a.receive(wire.Forward)
	assert.DeepEqual(t, payload, initialPacket(1))
	assert.Equal(t, h.Flags, wire.FlagFirst|wire.FlagEcho)
	assert.Equal(t, h.Caller, localAddr(f.caller))
	assert.Equal(t, h.Service, uint32(1))
	assert.Equal(t, h.Incarnation, uint64(77))
	assert.Equal(t, from, f.Status().DatagramAddress)

	a.send(from, wire.Header{Kind: wire.Pong, Service: 1, Sequence: h.Sequence}, "")
	a.send(from, wire.Header{Kind: wire.Return, Service: 1, Caller: h.Caller}, "answer")
	var buf [64]byte
	assert.NilError(t, f.caller.SetReadDeadline(time.Now().Add(waitTimeout)))
	n, sender, err := f.caller.ReadFromUDPAddrPort(buf[:])
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "answer")
	assert.Equal(t, sender, f.address(0))

	// The agent of this flow is not configured; the connection ID alone routes
	// the packet.
	f.sendFromCaller(0, shortPacket(connectionID(t, f.keys, other.addr(), 1)))
	h, _, _ = other.receive(wire.Forward)
	assert.Equal(t, h.Flags, wire.Flags(0))

	a.send(from, wire.Header{Kind: wire.Ping, Service: 1, Sequence: 41}, "")
	h, _, _ = a.receive(wire.Pong)
	assert.Equal(t, h.Sequence, uint64(41))
	f.waitFor("pong counted", func(s Status) bool { return s.PongsReceived == 1 && len(s.Agents) == 1 })
	assert.Equal(t, len(f.Status().Dropped), 0)
	assert.Equal(t, f.Status().ConfigVersion, uint64(3))
}

// TestBadCallerInput checks that malformed datagrams of callers are dropped and
// counted by reason.
func TestBadCallerInput(t *testing.T) {
	agent := netip.MustParseAddrPort("127.0.0.1:9")
	f := newFixture(t, func(*testKeys) *config.Config {
		return configuration(1, service(1, agent), service(2))
	}).serve()
	otherKey, err := connid.NewCodec(map[uint8][]byte{2: make([]byte, connid.KeyLen)}, 2)
	assert.NilError(t, err)
	otherGeneration := connectionID(t, &testKeys{id: otherKey}, agent, 1)
	id := func(a string, service uint32) []byte {
		return connectionID(t, f.keys, netip.MustParseAddrPort(a), service)
	}
	valid := id("127.0.0.1:9", 1)
	badLength := append([]byte{0x3f}, valid[1:]...)
	eight := make([]byte, 8)
	for _, c := range []struct {
		name     string
		datagram []byte
		want     reason
	}{
		{"routable", shortPacket(valid), reasonNone},
		{"first", initialPacket(1), reasonNone},
		{"long header, routable", longPacket(0xe0, version1, valid, 60), reasonNone},
		{"0-RTT", longPacket(0xd0, version1, eight, 60), reasonNone},
		{"version 2 Initial", longPacket(0xd0, version2, eight, 1200), reasonNone},
		{"unknown version", longPacket(0xff, 0x1a2a3a4a, make([]byte, 60), 1200), reasonNone},
		{"forged ID in a first packet is only a hash input", longPacket(0xc0, version1, id("127.0.0.1:9", 2), 1200), reasonNone},
		{"empty", nil, reasonShort},
		{"short header cut", shortPacket(valid)[:17], reasonShort},
		{"long header cut", initialPacket(1)[:12], reasonShort},
		{"long header without source ID", initialPacket(1)[:14], reasonShort},
		{"fills the buffer", make([]byte, wire.MaxDatagramLen-wire.HeaderLen), reasonTooLong},
		{"version negotiation", longPacket(0xc0, 0, eight, 1200), reasonVersionNegotiation},
		{"length octet", shortPacket(badLength), reasonIDLength},
		{"ID too long", longPacket(0xc0, version1, make([]byte, 21), 1200), reasonIDLength},
		{"ID of a first packet too short", longPacket(0xc0, version1, eight[:7], 1200), reasonIDLength},
		{"unknown generation", shortPacket(otherGeneration), reasonUnknownGeneration},
		{"other service", shortPacket(id("127.0.0.1:9", 2)), reasonOtherService},
		{"outside the agent networks", shortPacket(id("127.0.0.2:9", 1)), reasonAgentNetwork},
		{"agent port 0", shortPacket(id("127.0.0.1:0", 1)), reasonAgentNetwork},
		{"Handshake of an unknown flow", longPacket(0xe0, version1, eight, 1200), reasonIDLength},
		{"version 2 Retry", longPacket(0xc0, version2, eight, 1200), reasonIDLength},
		{"small Initial", longPacket(0xc0, version1, eight, 1199), reasonSmallFirst},
		{"small unknown version", longPacket(0xc0, 9, eight, 100), reasonSmallFirst},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, r := f.returnEntry(1), newReader()
			copy(r.buf[wire.HeaderLen:], c.datagram)
			got, why := e.prepare(r, len(c.datagram), loopback)
			assert.Equal(t, reasonNames[why], reasonNames[c.want])
			if why == reasonNone {
				assert.Equal(t, got, agent)
			}
		})
	}
	f.sendFromCaller(0, shortPacket(badLength))
	f.sendFromCaller(1, initialPacket(1))
	f.waitFor("drops", func(s Status) bool {
		return s.Dropped["id_length"] == 1 && s.Dropped["no_target"] == 1
	})
}

// TestBadAgentInput checks that the balancer drops datagrams that no agent of
// the system can have sent.
func TestBadAgentInput(t *testing.T) {
	f := newFixture(t, func(*testKeys) *config.Config { return configuration(1, service(1)) }).serve()
	caller := localAddr(f.caller)
	ok := wire.Header{Kind: wire.Return, Service: 1, Caller: caller}
	forged := sealDatagram(f.keys, ok, "x")
	forged[24]++
	changed := sealDatagram(f.keys, ok, "x")
	changed[wire.HeaderLen]++
	version := sealDatagram(f.keys, ok, "x")
	version[0] = 2
	generation := sealDatagram(f.keys, ok, "x")
	generation[2] = 9
	with := func(change func(h *wire.Header)) []byte {
		h := ok
		change(&h)
		return sealDatagram(f.keys, h, "x")
	}
	inside, outside := netip.MustParseAddrPort("127.0.0.1:9"), netip.MustParseAddrPort("127.0.0.2:9")
	for _, c := range []struct {
		name     string
		datagram []byte
		from     netip.AddrPort
		want     reason
	}{
		{"valid", sealDatagram(f.keys, ok, "x"), inside, reasonNone},
		{"short", sealDatagram(f.keys, ok, "x")[:63], inside, reasonWireShort},
		{"fills the buffer", make([]byte, wire.MaxDatagramLen), inside, reasonTooLong},
		{"changed header", forged, inside, reasonWireTag},
		{"changed payload", changed, inside, reasonWireTag},
		{"version", version, inside, reasonWireVersion},
		{"generation", generation, inside, reasonWireGeneration},
		{"unknown kind", with(func(h *wire.Header) { h.Kind = 9 }), inside, reasonWireKind},
		{"kind for agents", with(func(h *wire.Header) { h.Kind = wire.Forward }), inside, reasonWireKind},
		{"source", sealDatagram(f.keys, ok, "x"), outside, reasonSourceNetwork},
		{"service", with(func(h *wire.Header) { h.Service = 8 }), inside, reasonUnknownService},
		{"no caller", with(func(h *wire.Header) { h.Caller = netip.AddrPort{} }), inside, reasonBadCaller},
		{"caller port 0", with(func(h *wire.Header) { h.Caller = netip.AddrPortFrom(caller.Addr(), 0) }), inside, reasonBadCaller},
		{"empty answer", sealDatagram(f.keys, ok, ""), inside, reasonBadCaller},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReader()
			copy(r.buf[:], c.datagram)
			assert.Equal(t, reasonNames[f.handleInternal(r, len(c.datagram), c.from)], reasonNames[c.want])
		})
	}
}

// TestNewConfiguration checks that the address of a new service is opened, and
// that established flows survive the removal of their service from the
// configuration.
func TestNewConfiguration(t *testing.T) {
	var a *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		a = newFakeAgent(t, keys)
		return configuration(1, service(1, a.addr()))
	}).serve()
	f.source.publish(configuration(2, service(1, a.addr()), service(2, a.addr())))
	f.waitFor("opened", func(s Status) bool { return s.ConfigVersion == 2 && len(s.Services) == 2 })
	f.source.publish(configuration(3, service(2, a.addr())))
	f.waitFor("removed", func(s Status) bool { return s.ConfigVersion == 3 && !s.Services[0].Configured })

	f.sendFromCaller(0, initialPacket(1))
	f.sendFromCaller(0, shortPacket(connectionID(t, f.keys, a.addr(), 1)))
	h, _, from := a.receive(wire.Forward)
	assert.Equal(t, h.Flags, wire.Flags(0), "a removed service placed a new flow")
	a.send(from, wire.Header{Kind: wire.Return, Service: 1, Caller: h.Caller}, "late")
	f.waitFor("returned", func(s Status) bool { return s.Services[0].Returned == 1 && s.Dropped["no_target"] == 1 })
}

// TestAddressInUse checks that a service address that was in use is opened once
// it is free.
func TestAddressInUse(t *testing.T) {
	taken := newUDPSocket(t)
	f := newFixture(t, func(*testKeys) *config.Config { return configuration(1, service(2)) }).serve()
	s := service(1)
	s.Address = localAddr(taken)
	f.source.publish(configuration(2, s, service(2)))
	f.waitFor("not ready", func(s Status) bool { return s.ConfigVersion == 2 && !s.Ready })
	taken.Close()
	f.waitFor("ready", func(s Status) bool { return s.Ready })
}

// TestSilentAgentIsLeftOut checks that an agent that stops responding receives
// no new flows.
func TestSilentAgentIsLeftOut(t *testing.T) {
	var silent, alive *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		silent, alive = newFakeAgent(t, keys), newFakeAgent(t, keys)
		return configuration(1, service(1, silent.addr(), alive.addr()))
	}).serve()
	// Find a flow that ranks the silent agent first. Only that agent receives
	// an echo request, because the fake agents answer none.
	flow := 0
	targets := *f.returnEntry(1).targets.Load()
	for placement.Rank(nil, 1, binary.BigEndian.AppendUint64(nil, uint64(flow)), targets, 1)[0] != silent.addr() {
		flow++
	}
	f.sendFromCaller(0, initialPacket(flow))
	silent.receive(wire.Forward)
	f.waitFor("suspect", func(s Status) bool {
		for _, a := range s.Agents {
			if a.Agent == silent.addr() && a.Suspect {
				return true
			}
		}
		return false
	})
	f.sendFromCaller(0, initialPacket(flow))
	h, _, _ := alive.receive(wire.Forward)
	assert.Assert(t, h.Flags&wire.FlagFirst != 0)
	f.waitFor("confirmed and probed", func(s Status) bool { return s.PingsSent >= 2 })
}

// TestShutdown checks that a graceful stop continues to forward and then ends.
func TestShutdown(t *testing.T) {
	var a *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		a = newFakeAgent(t, keys)
		return configuration(1, service(1, a.addr()))
	}).serve()
	id := connectionID(t, f.keys, a.addr(), 1)
	stopped := make(chan error, 1)
	begun := time.Now()
	go func() { stopped <- f.Shutdown(context.Background()) }()
	f.waitFor("leaving", func(s Status) bool { return s.Leaving })
	f.sendFromCaller(0, shortPacket(id))
	h, _, _ := a.receive(wire.Forward)
	assert.Equal(t, h.Flags, wire.FlagLeaving)
	assert.NilError(t, <-stopped)
	assert.Assert(t, time.Since(begun) >= quietPeriod, "stopped within the quiet period after a caller's datagram")
	assert.NilError(t, <-f.served)
}

// TestShutdownWaitsForTheFabric checks that a stopping balancer does not exit
// while the fabric still sends it datagrams.
func TestShutdownWaitsForTheFabric(t *testing.T) {
	f := newFixture(t, func(*testKeys) *config.Config { return configuration(1, service(1)) }).serve()
	f.lastCallerDatagram.Store(int64(time.Hour))
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	err := f.Shutdown(ctx)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.NilError(t, <-f.served)
}

// TestPanicIsContained checks that a panic in a part is counted and does not
// stop the process.
func TestPanicIsContained(t *testing.T) {
	var a *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		a = newFakeAgent(t, keys)
		return configuration(1, service(1, a.addr()))
	}).serve()
	f.keys.panicOnce.Store(true)
	f.sendFromCaller(0, initialPacket(1))
	f.waitFor("panic", func(s Status) bool { return s.Panics == 1 })
	f.sendFromCaller(0, initialPacket(2))
	_, payload, _ := a.receive(wire.Forward)
	assert.DeepEqual(t, payload, initialPacket(2))
}

// newManualFixture returns a balancer with open sockets whose parts do not run.
func newManualFixture(t testing.TB) (*fixture, *fakeAgent, *entry) {
	var a *fakeAgent
	f := newFixture(t, func(keys *testKeys) *config.Config {
		a = newFakeAgent(t, keys)
		return configuration(1, service(1, a.addr()))
	})
	assert.NilError(t, f.openInternalSocket())
	t.Cleanup(f.closeSockets)
	f.apply(f.source.Current(), nil)
	return f, a, f.returnEntry(1)
}

// roundTrip returns a function that forwards one datagram from the caller to
// the agent and one back.
func roundTrip(t testing.TB, f *fixture, a *fakeAgent, e *entry, datagram []byte) func() {
	in, out := newReader(), newReader()
	to, internal, caller := f.address(0), f.Status().DatagramAddress, f.caller
	answer := sealDatagram(a.keys, wire.Header{Kind: wire.Return, Service: 1, Caller: localAddr(caller)}, string(datagram))
	deadline := time.Now().Add(5 * time.Minute)
	for _, conn := range []*net.UDPConn{f.conn, e.conn, caller, a.conn} {
		assert.NilError(t, conn.SetDeadline(deadline))
	}
	var buf [wire.MaxDatagramLen]byte
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	return func() {
		_, err := caller.WriteToUDPAddrPort(datagram, to)
		must(err)
		must(e.forwardNext(in))
		_, _, err = a.conn.ReadFromUDPAddrPort(buf[:])
		must(err)
		_, err = a.conn.WriteToUDPAddrPort(answer, internal)
		must(err)
		must(f.receiveInternal(out))
		_, _, err = caller.ReadFromUDPAddrPort(buf[:])
		must(err)
	}
}

// TestForwardingDoesNotAllocate checks that forwarding allocates nothing in
// either direction, for first packets and for established flows.
func TestForwardingDoesNotAllocate(t *testing.T) {
	f, a, e := newManualFixture(t)
	for name, datagram := range map[string][]byte{
		"first":       initialPacket(1),
		"established": shortPacket(connectionID(t, f.keys, a.addr(), 1)),
	} {
		t.Run(name, func(t *testing.T) {
			step := roundTrip(t, f, a, e, datagram)
			assert.Equal(t, testing.AllocsPerRun(200, step), 0.0)
		})
	}
	assert.Equal(t, len(f.Status().Dropped), 0)
}

// TestHeapIsIndependentOfFlows checks that the balancer keeps no state per flow:
// after 100,000 flows from different callers the heap is as large as after
// 1,000.
func TestHeapIsIndependentOfFlows(t *testing.T) {
	f, a, e := newManualFixture(t)
	id := connectionID(t, f.keys, a.addr(), 1)
	r := newReader()
	flows := func(from, to int) uint64 {
		for i := from; i < to; i++ {
			caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 999)
			for _, datagram := range [][]byte{initialPacket(i), shortPacket(id)} {
				n := copy(r.buf[wire.HeaderLen:], datagram)
				if _, why := e.prepare(r, n, caller); why != reasonNone {
					t.Fatal(reasonNames[why])
				}
			}
		}
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := flows(0, 1000)
	after := flows(1000, 100000)
	const slack = 128 << 10
	t.Logf("heap after 1,000 flows: %d bytes, after 100,000: %d bytes", before, after)
	assert.Assert(t, after < before+slack, "heap grew by %d bytes", after-before)
}

func BenchmarkPrepareFirst(b *testing.B) { benchmarkPrepare(b, true) }

func BenchmarkPrepareEstablished(b *testing.B) { benchmarkPrepare(b, false) }

func benchmarkPrepare(b *testing.B, first bool) {
	f, a, e := newManualFixture(b)
	datagram := shortPacket(connectionID(b, f.keys, a.addr(), 1))
	if first {
		datagram = initialPacket(1)
	}
	r := newReader()
	caller := localAddr(f.caller)
	n := copy(r.buf[wire.HeaderLen:], datagram)
	b.ReportAllocs()
	for b.Loop() {
		if _, why := e.prepare(r, n, caller); why != reasonNone {
			b.Fatal(reasonNames[why])
		}
	}
}

// BenchmarkRoundTrip forwards a datagram from the caller to the agent and one
// back, through real sockets and in one goroutine.
func BenchmarkRoundTrip(b *testing.B) {
	f, a, e := newManualFixture(b)
	step := roundTrip(b, f, a, e, shortPacket(connectionID(b, f.keys, a.addr(), 1)))
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}
