// Package balancer is the I/O layer of an entry VM: it receives callers'
// datagrams on one UDP socket per service address, forwards them to agents in
// keyed datagrams, and sends the agents' responses back to the callers.
//
// A balancer keeps no flow table. An established flow carries its agent in
// the connection ID, and a first packet is placed by a hash, so any balancer
// can handle any packet, and memory does not depend on the number of flows.
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
	// defaultLinger is how long a stopping balancer forwards at least.
	defaultLinger = 5 * time.Second
	// fabricQuiet is how long the fabric must have sent nothing before a
	// stopping balancer exits.
	fabricQuiet = time.Second
	// stopPoll is how often a stopping balancer looks whether it may exit.
	stopPoll = 20 * time.Millisecond
	// socketBuffer is the size asked for each direction of a socket, in bytes.
	// It covers a burst while the reader is descheduled for a few
	// milliseconds. The system may grant less.
	socketBuffer = 4 << 20
	// restartBackoff, failureThreshold and failureDecay (seconds) let a part
	// restart at once after a panic; only a part that panics over and over is
	// slowed down.
	restartBackoff   = 100 * time.Millisecond
	failureThreshold = 20
	failureDecay     = 1
	// stopTimeout bounds the wait for a part that does not stop.
	stopTimeout = 2 * time.Second
)

// ConfigSource gives the configuration and the list of VMs. Both are
// immutable.
type ConfigSource interface {
	// Current returns the configuration in force, or nil if there is none
	// yet.
	Current() *config.Config
	// Changes returns a channel that is closed at the next change.
	Changes() <-chan struct{}
	// VMs returns the platform's list of VMs.
	VMs() []config.VM
}

// Keys gives the codecs. They may be replaced at any time.
type Keys interface {
	ConnIDCodec() *connid.Codec
	WireCodec() *wire.Codec
}

// Options are the parameters of New.
type Options struct {
	Settings settings.Balancer
	Source   ConfigSource
	Keys     Keys
	// Incarnation distinguishes this process from earlier ones at the same
	// address.
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

	// conn is the internal socket. It is set once, before any part runs.
	conn     *net.UDPConn
	sequence atomic.Uint64
	leaving  atomic.Bool
	// fabricAt is when a caller's datagram was last received, as a duration
	// since start.
	fabricAt atomic.Int64
	allowed  atomic.Pointer[networks]
	// returns maps a service to the entry that sends its responses.
	returns atomic.Pointer[map[uint32]*entry]

	healthMu sync.Mutex
	health   *placement.Health

	mu      sync.Mutex
	entries map[entryKey]*entry
	config  *config.Config
	// left are the agents on leaving VMs that the entries' targets were made
	// with, or nil if not all were made with the same.
	left map[netip.AddrPort]bool
	// unopened counts the addresses that could not be opened at the last try.
	unopened int
	started  bool
	stop     context.CancelFunc
	stopped  context.Context
	done     chan struct{}
}

// New returns a balancer. It opens no sockets before Serve.
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
	b.returns.Store(&map[uint32]*entry{})
	b.stopped, b.stop = context.WithCancel(context.Background())
	b.supervisor = suture.New("balancer", suture.Spec{
		EventHook:        b.event,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   restartBackoff,
		Timeout:          stopTimeout,
	})
	return b
}

// Serve opens the sockets and forwards until ctx ends or Shutdown has
// finished. It may be called once.
func (b *Balancer) Serve(ctx context.Context) error {
	if err := b.open(); err != nil {
		return err
	}
	defer close(b.done)
	defer b.closeSockets()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(b.stopped, cancel)()
	b.supervisor.Add(internal{b})
	b.supervisor.Add(&control{b: b})
	_ = b.supervisor.Serve(ctx)
	if b.stopped.Err() != nil {
		return nil
	}
	return trace.Wrap(ctx.Err())
}

func (b *Balancer) open() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.started {
		return trace.BadParameter("the balancer was started before")
	}
	conn, err := listen(b.settings.DatagramAddress)
	if err != nil {
		return trace.Wrap(err, "opening the datagram address %s", b.settings.DatagramAddress)
	}
	b.conn = conn
	b.started = true
	return nil
}

// Shutdown stops the balancer as planned. It tells agents that the balancer
// is leaving and goes on forwarding until the fabric has sent nothing for 1 s
// and the linger time has passed. If ctx ends first, it stops at once and
// returns the error of ctx.
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
	tick := time.NewTicker(stopPoll)
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
		if now-begun >= linger && now-time.Duration(b.fabricAt.Load()) >= fabricQuiet {
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

func (b *Balancer) entryFor(service uint32) *entry { return (*b.returns.Load())[service] }

func (b *Balancer) heardFabric() { b.fabricAt.Store(int64(b.now())) }

func (b *Balancer) flags() wire.Flags {
	if b.leaving.Load() {
		return wire.FlagLeaving
	}
	return 0
}

// seal completes the header of a datagram of this balancer and writes it.
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

// event counts panics and logs what the supervisor reports.
func (b *Balancer) event(e suture.Event) {
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
	// The system may refuse large buffers; the default ones work too.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}
