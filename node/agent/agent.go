// Package agent implements the agent, the process beside a target. It
// terminates the callers' QUIC connections, decides on each request, and sends
// it to the target or to a peer.
//
// Terms of this package:
//   - A target is the server process that runs the requests of a service.
//   - A caller is an HTTP/3 client of the service.
//   - A peer is another agent of the service. Agents exchange control messages
//     as datagrams, and requests and tickets over HTTP/3 on the peer link.
//   - A balancer forwards the datagrams of callers to agents and returns the
//     responses.
//   - A flow is the series of QUIC packets of one connection. A first packet
//     carries no connection ID that an agent has issued.
//   - A class groups the requests of a service that share a path prefix.
//   - A slot is the capacity of the target for one request at a time.
//   - A ticker is a response that streams events until one side ends it.
//   - A ticket is the key of a request that must not run twice. Its home is the
//     agent that decides which attempt may run and keeps the answer.
//   - A verdict tells what is known about whether a request ran.
//   - An incarnation identifies one of the successive processes at an address.
package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/keys"
	"trefoilweir.example/node/settings"
)

// ConfigSource provides the current configuration and VM list. The values that
// it returns are immutable.
type ConfigSource interface {
	Current() *config.Config
	// Changes returns a channel that is closed at the next change.
	Changes() <-chan struct{}
	VMs() []config.VM
}

// PeerClient sends requests to other agents.
type PeerClient interface {
	Do(ctx context.Context, addr netip.AddrPort, request *http.Request) (*http.Response, error)
	RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error)
}

// Options holds the settings and dependencies of an Agent.
type Options struct {
	Settings settings.Agent
	Source   ConfigSource
	Keys     *keys.Store
	Peers    PeerClient
	// Incarnation distinguishes successive processes at one address.
	Incarnation uint64
	// Log is optional.
	Log *zap.Logger
	// Metrics is optional.
	Metrics *metrics.Set
}

// Agent serves the callers of one target.
type Agent struct {
	settings   settings.Agent
	source     ConfigSource
	peers      PeerClient
	log        *zap.Logger
	metrics    *instruments
	start      time.Time
	self       identity
	load       *loadState
	balancers  *balancerSet
	packetConn *packetConn
	callers    *callerServer
	target     *targetClient
	gate       *gate
	tickets    *tickets

	currentView atomic.Pointer[view]
	refreshMu   sync.Mutex
	applied     sourceState
	stopping    atomic.Bool
	drainStart  atomic.Int64
	nextRequest atomic.Uint64
	// openRequests is the number of requests that have no answer yet.
	openRequests atomic.Int64
	// pendingReports is the number of unfinished reports to the homes of
	// tickets.
	pendingReports atomic.Int64
}

// New binds the datagram address and prepares the agent. It fails if the
// configuration does not have the agent's service.
func New(o Options) (*Agent, error) {
	a, err := newWithoutSocket(o)
	if err != nil {
		return nil, err
	}
	certificate, err := tls.LoadX509KeyPair(o.Settings.ServiceCertificate, o.Settings.ServiceKey)
	if err != nil {
		return nil, trace.BadParameter("service_certificate %s and service_key %s: %v",
			o.Settings.ServiceCertificate, o.Settings.ServiceKey, err)
	}
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Settings.DatagramAddress))
	if err != nil {
		return nil, trace.Wrap(err, "datagram_address %s", o.Settings.DatagramAddress)
	}
	a.attachSocket(o.Keys, socket)
	ids := &connIDGenerator{
		keys: o.Keys, agent: a.self.address, service: a.self.service, incarnation: uint16(o.Incarnation),
	}
	if a.callers, err = newCallerServer(a.packetConn, ids, certificate, a.admit); err != nil {
		return nil, trace.NewAggregate(err, socket.Close())
	}
	a.callers.handler = a.handleCaller
	return a, nil
}

// newWithoutSocket creates the agent with the parts that need no socket.
func newWithoutSocket(o Options) (*Agent, error) {
	v, ok := newView(o.Settings, o.Source.Current(), o.Source.VMs())
	if !ok {
		return nil, trace.NotFound("service %q is not in the configuration", o.Settings.Service)
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	a := &Agent{
		settings:  o.Settings,
		source:    o.Source,
		peers:     o.Peers,
		log:       o.Log.With(zap.String("service", o.Settings.Service), zap.String("target", o.Settings.Target)),
		metrics:   &instruments{set: o.Metrics, service: o.Settings.Service},
		start:     time.Now(),
		self:      identity{service: v.service.ID, incarnation: o.Incarnation},
		load:      &loadState{},
		balancers: newBalancerSet(),
		target:    newTargetClient(o.Settings.TargetAddress),
		gate:      newGate(),
	}
	a.load.targetDown = a.target.down.Load
	a.currentView.Store(v)
	a.load.connectionLimit.Store(int64(v.target.Connections))
	return a, nil
}

// attachSocket creates the parts that depend on the socket and connects them
// with the others.
func (a *Agent) attachSocket(store *keys.Store, socket *net.UDPConn) {
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	a.self.address = netip.AddrPortFrom(a.settings.DatagramAddress.Addr().Unmap(), bound.Port())
	a.packetConn = &packetConn{
		socket: socket, keys: store, self: a.self, now: a.now, view: a.view, metrics: a.metrics,
		balancers: a.balancers, redirects: newRedirectCache(), load: a.load, control: a.receiveControl,
	}
	a.tickets = newTickets(store, a.self, a.settings.PeerAddress, a.now)
	a.gate.now, a.gate.load = a.now, a.load
	a.gate.send, a.gate.onResume, a.gate.newMachine = a.sendControl, a.resumed, a.newMachine
}

// newMachine returns an admission machine. A warm machine starts without a slot
// ramp.
func (a *Agent) newMachine(warm bool) machine {
	v := a.view()
	limits := v.limits
	if warm {
		limits.ColdStart = 0
	}
	return admission.New(limits, v.admissionPeers(), a.self.incarnation)
}

// now returns the time since the agent's start, from the monotonic clock.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

func (a *Agent) view() *view { return a.currentView.Load() }

// Address returns the bound datagram address.
func (a *Agent) Address() netip.AddrPort { return a.self.address }

// PeerHandler returns the handler for the requests of other agents on the peer
// link.
func (a *Agent) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+runPath, a.handleRun)
	a.registerTicketHandlers(mux)
	return mux
}

var errConnectionLimit = errors.New("connection limit reached")

// admit counts a connection until ctx ends. It refuses the connection if the
// limit is reached. An agent at its limit redirects first packets, so admit
// refuses only flows that no other agent can take.
func (a *Agent) admit(ctx context.Context) error {
	if a.load.full() {
		a.metrics.event("connection_refused")
		return errConnectionLimit
	}
	a.load.connections.Add(1)
	context.AfterFunc(ctx, func() { a.load.connections.Add(-1) })
	return nil
}
