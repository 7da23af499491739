// Package packetplane runs a balancer or an agent of the packet plane. It
// provides the sockets, the clock and the supervision for the state machines of
// core/dispatch and core/ownership and the view of core/fleet. A decision is one
// step of a state machine.
package packetplane

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/node/fleetsync"
	"trefoilweir.example/node/telemetry"
)

const (
	// busyTickInterval is the time between ticks while short timeouts are
	// pending, idleTickInterval the time between other ticks.
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// receiveBufferSize is the size of a socket's receive buffer, in bytes.
	receiveBufferSize = 1 << 20
	// maxDatagramLen is larger than any datagram, in bytes.
	maxDatagramLen = 2048
	// partBackoff is the supervisor's pause after repeated failures of a part.
	partBackoff = time.Second
	// parentRequestInterval is the time between requests to parents for the age
	// of their view.
	parentRequestInterval = 400 * time.Millisecond
	// readHeaderTimeout bounds the time in which an HTTP client sends the header
	// of a request.
	readHeaderTimeout = 5 * time.Second
	// reloadInterval is how often the settings file is read again.
	reloadInterval = 5 * time.Second
	// reloadSignal and reloadFile are the causes of a reload.
	reloadSignal = "signal"
	reloadFile   = "file"
	// graceMargin is how long before the end of the grace period a stopping
	// process ends its work at the latest. An agent then sends its flow table.
	graceMargin = 500 * time.Millisecond
)

// Options are the options of a process.
type Options struct {
	Settings *plane.Settings
	Codec    flow.Codec
	Source   fleetsync.Source
	Log      *zap.Logger
	Metrics  *metrics.Set
	// Reload reads the settings again.
	Reload func() (*plane.Settings, error)
}

// role has the methods that differ between a balancer and an agent. They are
// called with the lock held.
type role interface {
	// fromPeer handles a datagram of another process.
	fromPeer(now time.Duration, from netip.Addr, m *relay.Message)
	// tick handles timeouts.
	tick(now time.Duration)
	// hasTimeouts reports whether short timeouts are pending that tick must
	// check.
	hasTimeouts() bool
	// load returns the load for heartbeats.
	load() relay.Load
	// onViewChange is called after the view has changed.
	onViewChange(now time.Duration)
	// tableSizes returns the number of entries of each table, by name.
	tableSizes() map[string]int
	// peers returns what the process knows about other agents, for operators.
	peers(now time.Duration) []plane.Peer
	// readyToStop reports whether a stop that began at stopStart may complete.
	readyToStop(now, stopStart time.Duration) bool
}

// Process is one process of the packet plane.
type Process struct {
	Options
	role       role
	roleName   string
	serviceTag uint64
	start      time.Time

	mu   sync.Mutex
	view *fleet.View
	sync *fleetsync.Sync
	out  plane.Out

	peerConn *net.UDPConn
	// callerConn is the socket for packets to callers.
	callerConn *net.UDPConn
	sendBuffer []byte

	children    children
	suspensions suspensionDetector
	// clockErrorLogged says that an error of the boot clock was logged.
	clockErrorLogged  bool
	lastParentRequest time.Duration
	parentIndex       int
	// drained has the drained data centres that were logged.
	drained   []string
	stopping  bool
	stopStart time.Duration
	// halted says that the process handles no datagrams and no timeouts any more,
	// because it has handed over its state.
	halted bool
	events *eventLog
	// peerHandlers serve further paths on the peer port.
	peerHandlers map[string]http.Handler
	// beforeExit, if it is set, runs when a planned stop is complete.
	beforeExit func(context.Context)
}

func newProcess(o Options, name string) (*Process, error) {
	p := &Process{
		Options: o, roleName: name, serviceTag: relay.ServiceTag(o.Settings.Service), start: time.Now(), view: fleet.New(),
		children: newChildren(), suspensions: suspensionDetector{bootClock: bootTime}, sendBuffer: make([]byte, 0, maxDatagramLen),
	}
	p.view.SetRegions(o.Settings.Regions)
	p.events = newEventLog(o.Log, o.Metrics)
	p.sync = fleetsync.New(fleetsync.Options{
		Self: o.Settings.IP, DataCentre: o.Settings.DataCentre, Source: o.Source, PeerPort: o.Settings.PeerPort, Seeds: o.Settings.Seeds, FirstStart: o.Settings.FirstStart, Lock: &p.mu,
		View: p.view, Now: p.now, OnChange: p.viewChanged, Log: o.Log.Named("fleetsync"), Metrics: o.Metrics,
	})
	var err error
	p.peerConn, err = listen(netip.AddrPortFrom(o.Settings.IP, o.Settings.PeerPort))
	return p, err
}

// now returns the monotonic time since the start of the process.
func (p *Process) now() time.Duration { return time.Since(p.start) }

// tickLoop calls tick periodically until ctx ends.
func (p *Process) tickLoop(ctx context.Context) error {
	timer := time.NewTimer(idleTickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
		next := idleTickInterval
		p.step("tick", func(now time.Duration) {
			p.tick(now)
			p.flush(now)
			if p.role.hasTimeouts() {
				next = busyTickInterval
			}
		})
		timer.Reset(next)
	}
}

// tick runs the periodic work. The caller holds the lock.
func (p *Process) tick(now time.Duration) {
	p.checkSuspension(now)
	p.role.tick(now)
	p.sendParentRequest(now)
	p.notifySilentChildren(now)
	p.view.Expire(now)
	p.logDrains()
}

// checkSuspension adds the time in which the VM was suspended to the age of the
// view, so that the process calls the platform instead of using an outdated
// view.
func (p *Process) checkSuspension(now time.Duration) {
	gap, err := p.suspensions.sinceLastCall(now)
	if err != nil && !p.clockErrorLogged {
		p.clockErrorLogged = true
		p.Log.Warn("cannot read the boot clock; suspensions of the VM are not detected", telemetry.Error(err))
	}
	if gap > 0 {
		p.view.RecordSuspension(gap)
		p.Log.Warn("process was suspended", zap.Duration("for", gap), telemetry.Version(p.view.Version()), zap.Uint64("revision", p.view.Revision()))
	}
}

// serveReady answers the readiness probes of the platform's routers.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.view.Usable() || p.stopping {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// part is a supervised function.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the name for supervisor events.
func (p part) String() string { return p.name }

// run runs the parts under supervision until a planned stop is complete or ctx
// ends.
func (p *Process) run(ctx context.Context, parts []part) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	supervisor := suture.New("trefoilweir", suture.Spec{EventHook: p.logSupervisorEvent, FailureBackoff: partBackoff})
	mux := http.NewServeMux()
	mux.Handle(fleetsync.PathFleet, p.sync)
	for path, handler := range p.peerHandlers {
		mux.Handle(path, handler)
	}
	parts = append(parts,
		part{"relay", p.receiveLoop(p.peerConn, p.handlePeerDatagram)},
		part{"peer_http", serveHTTP(netip.AddrPortFrom(p.Settings.IP, p.Settings.PeerPort), mux)},
		part{"ready_http", serveHTTP(p.Settings.ReadyAddr, http.HandlerFunc(p.serveReady))},
		part{"platform", p.sync.ReadPlatform}, part{"follow", p.sync.FetchFromPeers}, part{"drains", p.sync.ReadDrains}, part{"tick", p.tickLoop},
	)
	if p.Settings.MetricsPort != 0 {
		parts = append(parts, part{"metrics_http", serveHTTP(netip.AddrPortFrom(p.Settings.IP, p.Settings.MetricsPort), p.operatorHandler())})
	}
	if p.Settings.ControlAddr.IsValid() {
		parts = append(parts, part{"control_http", serveHTTP(p.Settings.ControlAddr, mux)})
	}
	for _, part := range parts {
		supervisor.Add(part)
	}
	ended := supervisor.ServeBackground(ctx)
	p.Log.Info("process started", zap.String("data_centre", p.Settings.DataCentre), zap.String("service", p.Settings.Service), zap.Bool("first_start", p.Settings.FirstStart))
	stopCheck := time.NewTicker(idleTickInterval)
	defer stopCheck.Stop()
	// The settings file may change without a signal.
	reloadTicker := time.NewTicker(reloadInterval)
	defer reloadTicker.Stop()
	for {
		select {
		case s := <-signals:
			p.handleSignal(s)
		case <-reloadTicker.C:
			p.reload(reloadFile)
		case err := <-ended:
			return trace.Wrap(err)
		case <-ctx.Done():
			return nil
		case <-stopCheck.C:
			if p.stopComplete() {
				if p.beforeExit != nil {
					p.beforeExit(ctx)
				}
				p.Log.Info("process stopped")
				return nil
			}
		}
	}
}

func (p *Process) logSupervisorEvent(event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		p.Log.Error("part panicked", zap.String(telemetry.KeyPart, e.ServiceName), telemetry.Reason(e.PanicMsg), zap.String("stack", e.Stacktrace))
	case suture.EventServiceTerminate:
		p.Log.Error("part failed", zap.String(telemetry.KeyPart, e.ServiceName), zap.Any(telemetry.KeyError, e.Err))
	}
}
