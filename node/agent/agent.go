// Package agent is the process beside a target. It owns the callers' QUIC
// connections, decides on each request, and sends it to the target or to a
// peer.
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

// ConfigSource has the configuration and the VM list in force. What it returns
// is immutable.
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

// Options are the parts that New connects.
type Options struct {
	Settings settings.Agent
	Source   ConfigSource
	Keys     *keys.Store
	Peers    PeerClient
	// Incarnation differs between the processes at one address.
	Incarnation uint64
	// Log is optional.
	Log *zap.Logger
	// Metrics is optional.
	Metrics *metrics.Set
}

// Agent is the agent of one target.
type Agent struct {
	settings  settings.Agent
	source    ConfigSource
	peers     PeerClient
	log       *zap.Logger
	metrics   *instruments
	start     time.Time
	self      identity
	load      *loadFigures
	balancers *balancers
	edge      *edge
	callers   *callers
	target    *targetClient
	gate      *gate
	tickets   *tickets

	current     atomic.Pointer[view]
	refreshing  sync.Mutex
	seen        seen
	stopping    atomic.Bool
	drainStart  atomic.Int64
	nextRequest atomic.Uint64
	// open is the number of requests without an answer.
	open atomic.Int64
	// reports is the number of reports to the homes of tickets on their way.
	reports atomic.Int64
}

// New binds the datagram address and prepares the agent. The configuration
// must have the agent's service.
func New(o Options) (*Agent, error) {
	a, err := prepare(o)
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
	a.connect(o.Keys, socket)
	ids := &connectionIDs{
		keys: o.Keys, agent: a.self.address, service: a.self.service, incarnation: uint16(o.Incarnation),
	}
	if a.callers, err = newCallers(a.edge, ids, certificate, a.admit); err != nil {
		return nil, trace.NewAggregate(err, socket.Close())
	}
	a.callers.handler = a.handleCaller
	return a, nil
}

// prepare makes the parts that need no socket.
func prepare(o Options) (*Agent, error) {
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
		load:      &loadFigures{},
		balancers: newBalancers(),
		target:    newTargetClient(o.Settings.TargetAddress),
		gate:      newGate(),
	}
	a.load.targetDown = a.target.down.Load
	a.current.Store(v)
	a.load.limit.Store(int64(v.target.Connections))
	return a, nil
}

// connect wires the parts together.
func (a *Agent) connect(store *keys.Store, socket *net.UDPConn) {
	bound := socket.LocalAddr().(*net.UDPAddr).AddrPort()
	a.self.address = netip.AddrPortFrom(a.settings.DatagramAddress.Addr().Unmap(), bound.Port())
	a.edge = &edge{
		socket: socket, keys: store, self: a.self, now: a.now, view: a.view, metrics: a.metrics,
		balancers: a.balancers, redirects: newRedirects(), load: a.load, control: a.receiveControl,
	}
	a.tickets = newTickets(store, a.self, a.settings.PeerAddress, a.now)
	a.gate.now, a.gate.load = a.now, a.load
	a.gate.send, a.gate.onResume, a.gate.newMachine = a.sendControl, a.resumed, a.newMachine
}

// newMachine returns an admission machine. A warm one has no slot ramp.
func (a *Agent) newMachine(warm bool) machine {
	v := a.view()
	limits := v.limits
	if warm {
		limits.ColdStart = 0
	}
	return admission.New(limits, v.admissionPeers(), a.self.incarnation)
}

// now is the time on the agent's monotonic clock.
func (a *Agent) now() time.Duration { return time.Since(a.start) }

func (a *Agent) view() *view { return a.current.Load() }

// Address returns the bound datagram address.
func (a *Agent) Address() netip.AddrPort { return a.self.address }

// PeerHandler serves the requests of other agents. It is mounted on the peer
// link.
func (a *Agent) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+runPath, a.handleRun)
	a.registerTicketHandlers(mux)
	return mux
}

var errFull = errors.New("connection limit reached")

// admit counts a connection for as long as it lives, and refuses it over the
// limit. It only gets here over the limit if no other agent can take it.
func (a *Agent) admit(ctx context.Context) error {
	if a.load.full() {
		a.metrics.event("connection_refused")
		return errFull
	}
	a.load.connections.Add(1)
	context.AfterFunc(ctx, func() { a.load.connections.Add(-1) })
	return nil
}
