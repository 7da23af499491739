// Package balancer forwards datagrams between callers and agents. A balancer
// receives callers' datagrams on one UDP socket per service address, forwards
// them to agents in authenticated datagrams of package wire, and sends the
// agents' responses back to the callers.
//
// A balancer keeps no flow table. A packet of an established flow carries its
// agent in the connection ID; a first packet, which has no such ID, is assigned
// to an agent by a hash. Any balancer can therefore handle any packet, and
// memory use does not depend on the number of flows.
//
// The network in front of the balancers, which distributes callers' datagrams
// over them, is called the fabric. An entry is the socket of one service
// address. Entries, the reader of the internal socket and the control loop run
// as parts, which a supervisor restarts when they fail.
package balancer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/connid"
	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/wire"
	"trefoilweir.example/node/settings"
)

const (
	// defaultLinger is the minimum time that a stopping balancer continues to
	// forward.
	defaultLinger = 5 * time.Second
	// quietPeriod is how long no caller's datagram may have arrived from the
	// fabric before a stopping balancer exits.
	quietPeriod = time.Second
	// stopPollInterval is how often a stopping balancer checks whether it may
	// exit.
	stopPollInterval = 20 * time.Millisecond
	// socketBufferBytes is the requested size of each send and receive buffer.
	// It holds a burst of datagrams while the reading goroutine is descheduled
	// for a few milliseconds. The system may grant less.
	socketBufferBytes = 4 << 20
	// restartBackoff, failureThreshold and failureDecay (in seconds) configure
	// the supervisor. A part restarts immediately after a panic; only a part
	// that panics repeatedly is delayed.
	restartBackoff   = 100 * time.Millisecond
	failureThreshold = 20
	failureDecay     = 1
	// stopTimeout bounds the wait for a part to stop.
	stopTimeout = 2 * time.Second
)

// ConfigSource provides the configuration and the list of VMs. Both are
// immutable.
type ConfigSource interface {
	// Current returns the active configuration, or nil if there is none yet.
	Current() *config.Config
	// Changes returns a channel that is closed at the next change of either.
	Changes() <-chan struct{}
	// VMs returns the list of VMs that the platform published.
	VMs() []config.VM
}

// Keys provides the codecs for connection IDs and internal datagrams. They may
// be replaced at any time.
type Keys interface {
	ConnIDCodec() *connid.Codec
	WireCodec() *wire.Codec
}

// Options are the parameters of New.
type Options struct {
	Settings settings.Balancer
	Source   ConfigSource
	Keys     Keys
	// Incarnation distinguishes this process from earlier processes at the
	// same address.
	Incarnation uint64
	Log         *zap.Logger
	Metrics     *metrics.Set
}

// Balancer forwards datagrams between callers and agents.
type Balancer struct {
	settings    settings.Balancer
	source      ConfigSource
	keys        Keys
	incarnation uint64
	log         *zap.Logger
	counters    *counters
	start       time.Time
	supervisor  *suture.Supervisor

	// conn is the internal socket, which exchanges datagrams with agents. It is
	// set once, before any part runs.
	conn     *net.UDPConn
	sequence atomic.Uint64
	leaving  atomic.Bool
	// lastCallerDatagram is when a caller's datagram was last received, in
	// nanoseconds since start.
	lastCallerDatagram atomic.Int64
	allowed            atomic.Pointer[networks]
	// returnEntries maps a service ID to the entry that sends its responses.
	returnEntries atomic.Pointer[map[uint32]*entry]

	healthMu sync.Mutex
	health   *placement.Health

	mu      sync.Mutex
	entries map[entryKey]*entry
	config  *config.Config
	// appliedLeaving is the set of agents on leaving VMs that the targets of
	// all entries were computed for, or nil if they were not all computed for
	// the same set.
	appliedLeaving map[netip.AddrPort]bool
	// unopened counts the service addresses that could not be opened when the
	// configuration was last applied.
	unopened int
	started  bool
	stop     context.CancelFunc
	stopped  context.Context
	done     chan struct{}
}

// New returns a balancer. Its sockets are opened by Serve.
func New(o Options) *Balancer {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	b := &Balancer{
		settings:    o.Settings,
		source:      o.Source,
		keys:        o.Keys,
		incarnation: o.Incarnation,
		log:         o.Log,
		counters:    newCounters(o.Metrics),
		start:       time.Now(),
		health:      placement.NewHealth(placement.HealthLimits{}),
		entries:     make(map[entryKey]*entry),
		done:        make(chan struct{}),
	}
	b.allowed.Store(new(networks))
	b.returnEntries.Store(&map[uint32]*entry{})
	b.stopped, b.stop = context.WithCancel(context.Background())
	b.supervisor = suture.New("balancer", suture.Spec{
		EventHook:        b.handleSupervisorEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   restartBackoff,
		Timeout:          stopTimeout,
	})
	return b
}

// Serve opens the sockets and forwards datagrams until ctx ends or Shutdown has
// finished. It may be called only once.
func (b *Balancer) Serve(ctx context.Context) error {
	if err := b.openInternalSocket(); err != nil {
		return err
	}
	defer close(b.done)
	defer b.closeSockets()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.stopped, cancel)()
	b.supervisor.Add(internalReader{b})
	b.supervisor.Add(&control{b: b})
	_ = b.supervisor.Serve(ctx)
	if b.stopped.Err() != nil {
		return nil
	}
	return trace.Wrap(ctx.Err())
}

func (b *Balancer) openInternalSocket() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return trace.BadParameter("balancer was already started")
	}
	conn, err := listen(b.settings.DatagramAddress)
	if err != nil {
		return trace.Wrap(err, "datagram address %s cannot be opened", b.settings.DatagramAddress)
	}
	b.conn = conn
	b.started = true
	return nil
}

// Shutdown stops the balancer gracefully. The balancer tells agents that it is
// leaving and continues to forward until the linger time has passed and no
// caller's datagram has arrived for 1 s. If ctx ends first, Shutdown stops the
// balancer at once and returns the error of ctx.
func (b *Balancer) Shutdown(ctx context.Context) error {
	b.mu.Lock()
	started := b.started
	b.mu.Unlock()
	defer b.stop()
	if !started {
		return nil
	}
	b.leaving.Store(true)
	begun := b.now()
	linger := b.linger()
	b.log.Info("leaving", zap.Duration("linger", linger))
	tick := time.NewTicker(stopPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-b.done:
			return nil
		case <-ctx.Done():
			b.stop()
			<-b.done
			return trace.Wrap(ctx.Err())
		case <-tick.C:
		}
		now := b.now()
		if now-begun >= linger && now-time.Duration(b.lastCallerDatagram.Load()) >= quietPeriod {
			b.stop()
			<-b.done
			return nil
		}
	}
}

func (b *Balancer) linger() time.Duration {
	if b.settings.LingerMS > 0 {
		return time.Duration(b.settings.LingerMS) * time.Millisecond
	}
	return defaultLinger
}

func (b *Balancer) closeSockets() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.conn.Close()
	for _, e := range b.entries {
		_ = e.conn.Close()
	}
}

func (b *Balancer) now() time.Duration { return time.Since(b.start) }

func (b *Balancer) networks() networks { return *b.allowed.Load() }

func (b *Balancer) returnEntry(service uint32) *entry { return (*b.returnEntries.Load())[service] }

func (b *Balancer) recordCallerDatagram() { b.lastCallerDatagram.Store(int64(b.now())) }

func (b *Balancer) flags() wire.Flags {
	if b.leaving.Load() {
		return wire.FlagLeaving
	}
	return 0
}

// seal sets the flags, service, incarnation and sequence number in the header
// and seals the datagram.
func (b *Balancer) seal(datagram []byte, h *wire.Header, service uint32) {
	h.Flags |= b.flags()
	h.Service = service
	h.Incarnation = b.incarnation
	h.Sequence = b.sequence.Add(1)
	b.keys.WireCodec().Seal(datagram, h)
}

func (b *Balancer) send(datagram []byte, to netip.AddrPort) reason {
	if _, err := b.conn.WriteToUDPAddrPort(datagram, to); err != nil {
		return reasonSendFailed
	}
	return reasonNone
}

// handleSupervisorEvent logs an event of the supervisor and counts panics.
func (b *Balancer) handleSupervisorEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServicePanic:
		b.counters.panics.Inc()
		b.log.Error("part panicked and was restarted", zap.String("part", e.ServiceName),
			zap.String("panic", e.PanicMsg), zap.String("stack", e.Stacktrace))
	case suture.EventServiceTerminate:
		b.log.Warn("part ended", zap.String("part", e.ServiceName), zap.Any("error", e.Err))
	default:
		b.log.Warn("supervisor", zap.String("event", e.String()))
	}
}

func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	// The balancer also works with the default buffers if the system refuses
	// larger ones.
	_ = conn.SetReadBuffer(socketBufferBytes)
	_ = conn.SetWriteBuffer(socketBufferBytes)
	return conn, nil
}
