package agent

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/wire"
	"trefoilweir.example/node/keys"
	"trefoilweir.example/node/peer"
	"trefoilweir.example/node/settings"
)

const (
	testService   = 1
	testDeadline  = 2 * time.Second
	testTimeout   = 10 * time.Second
	testKeysFile  = `{"connid":{"active":1,"generations":{"1":"000102030405060708090a0b0c0d0e0f"}},"datagram":{"active":1,"generations":{"1":"101112131415161718191a1b1c1d1e1f"}},"ticket":{"active":1,"generations":{"1":"202122232425262728292a2b2c2d2e2f"}}}`
	testAuthority = "booking.example"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// fakeSource is a ConfigSource that the test changes.
type fakeSource struct {
	mu      sync.Mutex
	config  *config.Config
	vms     []config.VM
	changed chan struct{}
}

func (s *fakeSource) Current() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

func (s *fakeSource) Changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *fakeSource) VMs() []config.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms
}

// update publishes a new version of the configuration after edit has changed
// the targets.
func (s *fakeSource) update(edit func(targets []config.Target)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.config
	service := next.Services[0]
	service.Targets = append([]config.Target(nil), service.Targets...)
	edit(service.Targets)
	next.Version++
	next.Services = []config.Service{service}
	s.config = &next
	close(s.changed)
	s.changed = make(chan struct{})
}

// cluster is a service with one agent per target. A forwarder takes the place
// of a balancer.
type cluster struct {
	t         testing.TB
	dir       string
	source    *fakeSource
	keys      *keys.Store
	forwarder *forwarder
	agents    []*testAgent
	// drainLimitMS is the drain limit of agents that are started from now on.
	drainLimitMS int
}

type testAgent struct {
	*Agent
	upstream *httptest.Server
	stop     func()
}

// newCluster starts an agent for each target handler.
func newCluster(t testing.TB, targets ...http.HandlerFunc) *cluster {
	c := &cluster{t: t, dir: t.TempDir()}
	assert.NilError(t, os.WriteFile(filepath.Join(c.dir, "keys.json"), []byte(testKeysFile), 0o600))
	var err error
	c.keys, err = keys.Open(filepath.Join(c.dir, "keys.json"))
	assert.NilError(t, err)
	writeCertificate(t, c.dir)
	c.source = &fakeSource{changed: make(chan struct{}), config: &config.Config{
		Version: 1, Preset: "ordinary",
		Presets: map[string]config.Preset{"ordinary": {HandOver: true, HandOverPeers: 3, QueuePerSlot: 4, RetryBudgetPercent: 10}},
		Services: []config.Service{{
			Name: "booking", ID: testService,
			Classes: []config.Class{
				{Name: "ticker", PathPrefix: "/ticker"},
				{Name: "map", PathPrefix: "/map", HoldsSlot: true, DeadlineMS: int(testDeadline / time.Millisecond), Repeatable: true},
				{Name: "hold", PathPrefix: "/hold", HoldsSlot: true, DeadlineMS: int(testDeadline / time.Millisecond), Tickets: true},
			},
		}},
	}}
	c.forwarder = newForwarder(t, c.keys)
	c.source.vms = []config.VM{{
		Name: "balancer-1", Role: config.RoleBalancer, State: config.VMLive,
		DatagramAddress: c.forwarder.agentSocket.LocalAddr().(*net.UDPAddr).AddrPort(),
	}}
	var sockets []*net.UDPConn
	for i := range targets {
		datagram, link := freePort(t, &sockets), freePort(t, &sockets)
		c.source.config.Services[0].Targets = append(c.source.config.Services[0].Targets, config.Target{
			Name: "booking-" + string(rune('1'+i)), Agent: datagram, Peer: link, Slots: 2, Connections: 100, Speed: 1, State: config.TargetActive,
		})
	}
	for _, s := range sockets {
		assert.NilError(t, s.Close())
	}
	for i, target := range targets {
		c.agents = append(c.agents, c.startAgent(i, uint64(i+1), target))
	}
	c.forwarder.routeFirstPackets(c.agents[0].Address())
	return c
}

func freePort(t testing.TB, sockets *[]*net.UDPConn) netip.AddrPort {
	s, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	*sockets = append(*sockets, s)
	return s.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (c *cluster) startAgent(i int, incarnation uint64, target http.HandlerFunc) *testAgent {
	t := c.t
	upstream := httptest.NewServer(target)
	spec := c.source.config.Services[0].Targets[i]
	files := settings.TLS{CA: c.file("cert.pem"), Certificate: c.file("cert.pem"), Key: c.file("key.pem")}
	serverTLS, clientTLS, err := peer.LoadTLS(files)
	assert.NilError(t, err)
	client := peer.NewClient(clientTLS)
	a, err := New(Options{
		Settings: settings.Agent{
			Common:  settings.Common{Name: spec.Name, DatagramAddress: spec.Agent, PeerAddress: spec.Peer},
			Service: "booking", Target: spec.Name,
			TargetAddress:      netip.MustParseAddrPort(upstream.Listener.Addr().String()),
			DrainLimitMS:       c.drainLimitMS,
			ServiceCertificate: c.file("cert.pem"), ServiceKey: c.file("key.pem"),
		},
		Source: c.source, Keys: c.keys, Peers: client, Incarnation: incarnation, Metrics: metrics.NewSet(),
	})
	assert.NilError(t, err)
	link, err := peer.NewServer(spec.Peer, serverTLS, a.PeerHandler())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, a.Serve(ctx)) })
	running.Go(func() { assert.Check(t, link.Serve(ctx)) })
	stop := sync.OnceFunc(func() {
		cancel()
		upstream.CloseClientConnections()
		running.Wait()
		assert.Check(t, client.Close())
		upstream.Close()
	})
	t.Cleanup(stop)
	return &testAgent{Agent: a, upstream: upstream, stop: stop}
}

func (c *cluster) file(name string) string { return filepath.Join(c.dir, name) }

// client returns an HTTP/3 client with its own connection.
func (c *cluster) client() *http.Client {
	transport := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
	c.t.Cleanup(func() { _ = transport.Close() })
	return &http.Client{Transport: transport, Timeout: testTimeout}
}

func (c *cluster) url(path string) string { return "https://" + c.forwarder.address() + path }

// metric returns the value of one of the agent's counters.
func (a *testAgent) metric(name string) uint64 { return a.metrics.set.GetOrCreateCounter(name).Get() }

func writeCertificate(t testing.TB, dir string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		DNSNames:    []string{peer.DNSName, testAuthority},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	assert.NilError(t, err)
	for name, block := range map[string]*pem.Block{
		"cert.pem": {Type: "CERTIFICATE", Bytes: der}, "key.pem": {Type: "PRIVATE KEY", Bytes: keyDER},
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(block), 0o600))
	}
}

// forwarder takes the place of the network fabric and a balancer. It sends
// packets with an issued connection ID to the agent that issued it, and first
// packets to firstPacketAgent.
type forwarder struct {
	t                testing.TB
	keys             *keys.Store
	callerSocket     *net.UDPConn
	agentSocket      *net.UDPConn
	mu               sync.Mutex
	firstPacketAgent netip.AddrPort
	sequence         uint64
	pongs            map[uint64]wire.Header
	pings            int
	// sent and received count datagrams to and from agents, by kind.
	sent, received [wire.Control + 1]int
	// droppedIncarnation is the incarnation whose Return datagrams are dropped.
	droppedIncarnation uint64
}

func newForwarder(t testing.TB, store *keys.Store) *forwarder {
	f := &forwarder{t: t, keys: store, pongs: make(map[uint64]wire.Header)}
	var err error
	f.callerSocket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	f.agentSocket, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	assert.NilError(t, err)
	var running sync.WaitGroup
	running.Go(f.forwardAll)
	running.Go(f.returnAll)
	t.Cleanup(func() {
		_, _ = f.callerSocket.Close(), f.agentSocket.Close()
		running.Wait()
	})
	return f
}

func (f *forwarder) address() string { return f.callerSocket.LocalAddr().String() }

// routeFirstPackets selects the agent that receives first packets.
func (f *forwarder) routeFirstPackets(agent netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.firstPacketAgent = agent
}

func (f *forwarder) dropReturnsOf(incarnation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.droppedIncarnation = incarnation
}

func (f *forwarder) dropsReturnsOf(incarnation uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.droppedIncarnation == incarnation
}

func (f *forwarder) send(to netip.AddrPort, h wire.Header, payload []byte) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sequence++
	f.sent[h.Kind]++
	h.Sequence = f.sequence
	buffer := make([]byte, wire.HeaderLen, wire.MaxDatagramLen)
	buffer = append(buffer, payload...)
	f.keys.WireCodec().Seal(buffer, &h)
	_, _ = f.agentSocket.WriteToUDPAddrPort(buffer, to)
	return h.Sequence
}

func (f *forwarder) forwardAll() {
	buffer := make([]byte, wire.MaxDatagramLen)
	var scratch connid.Scratch
	for {
		n, caller, err := f.callerSocket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		h := wire.Header{Kind: wire.Forward, Service: testService, Caller: caller}
		f.mu.Lock()
		to := f.firstPacketAgent
		f.mu.Unlock()
		destination, _, _ := destinationID(buffer[:n])
		id, err := f.keys.ConnIDCodec().Decode(destination, &scratch)
		if err == nil && id.Service == testService {
			to = id.Agent
		} else {
			h.Flags = wire.FlagFirst | wire.FlagEcho
		}
		f.send(to, h, buffer[:n])
	}
}

func (f *forwarder) returnAll() {
	buffer := make([]byte, wire.MaxDatagramLen)
	for {
		n, from, err := f.agentSocket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		var h wire.Header
		if err := f.keys.WireCodec().Open(buffer[:n], &h); err != nil {
			continue
		}
		f.mu.Lock()
		f.received[h.Kind]++
		f.mu.Unlock()
		switch h.Kind {
		case wire.Return:
			if f.dropsReturnsOf(h.Incarnation) {
				continue
			}
			_, _ = f.callerSocket.WriteToUDPAddrPort(buffer[wire.HeaderLen:n], h.Caller)
		case wire.Pong:
			f.mu.Lock()
			f.pongs[h.Sequence] = h
			f.mu.Unlock()
		case wire.Ping:
			f.mu.Lock()
			f.pings++
			f.mu.Unlock()
			f.send(from, wire.Header{Kind: wire.Pong, Service: testService}, nil)
		}
	}
}
