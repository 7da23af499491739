// Package packetplane runs a balancer or an agent of the packet plane: the
// sockets, the clock and the supervision around the decisions of
// core/dispatch, core/ownership and core/fleet.
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
	// busyTickInterval and tickIdle are the times between ticks, with short timeouts
	// to watch and without.
	busyTickInterval = 10 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// receiveBufferSize is the size of the sockets' buffers, in bytes.
	receiveBufferSize = 1 << 20
	// maxDatagramLen is over the size of any datagram, in bytes.
	maxDatagramLen = 2048
	// partBackoff is the pause after a part has failed often.
	partBackoff = time.Second
	// parentRequestInterval is how often a parent is asked for the age of its view.
	parentRequestInterval = 400 * time.Millisecond
	// readHeaderTimeout bounds a slow client.
	readHeaderTimeout = 5 * time.Second
	// reloadInterval is how often the settings file is read again.
	reloadInterval = 5 * time.Second
	// reloadSignal and reloadFile are the causes of a reload.
	reloadSignal = "signal"
	reloadFile   = "file"
	// graceMargin is the time left of the grace period when a process ends.
	graceMargin = 500 * time.Millisecond
)

// Options of a process.
type Options struct {
	Settings *plane.Settings
	Codec    flow.Codec
	Source   fleetsync.Source
	Log      *zap.Logger
	Metrics  *metrics.Set
	// Reload reads the settings again.
	Reload func() (*plane.Settings, error)
}

// role is what differs between a balancer and an agent. Its methods are called
// with the lock held.
type role interface {
	// fromPeer takes a datagram of another process.
	fromPeer(now time.Duration, from netip.Addr, m *relay.Message)
	// tick passes time.
	tick(now time.Duration)
	// waiting reports whether short timeouts are to be watched.
	waiting() bool
	// load is told to peers.
	load() relay.Load
	// onViewChange is called after the view has changed.
	onViewChange(now time.Duration)
	// tableSizes returns the number of entries of each table, by name.
	tableSizes() map[string]int
	// peers are the processes that it judges, with the verdict.
	peers(now time.Duration) []plane.Peer
	// readyToStop reports whether the process may end after it was asked to.
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
	// callerConn is the socket from which packets for callers are sent.
	callerConn *net.UDPConn
	sendBuffer []byte

	children    children
	suspensions suspensionDetector
	// clockErrorLogged says that a failure of the clock was logged.
	clockErrorLogged  bool
	lastParentRequest time.Duration
	parentIndex       int
	stopping          bool
	stopStart         time.Duration
	events            *eventLog
}

func newProcess(o Options, name string) (*Process, error) {
	p := &Process{
		Options: o, roleName: name, serviceTag: relay.ServiceTag(o.Settings.Service), start: time.Now(), view: fleet.New(),
		children: newChildren(), suspensions: suspensionDetector{bootClock: bootTime}, sendBuffer: make([]byte, 0, maxDatagramLen),
	}
	p.events = newEventLog(o.Log, o.Metrics)
	p.sync = fleetsync.New(fleetsync.Options{
		Self: o.Settings.IP, DataCentre: o.Settings.DataCentre, Source: o.Source, PeerPort: o.Settings.PeerPort, Seeds: o.Settings.Seeds, FirstStart: o.Settings.FirstStart, Lock: &p.mu,
		View: p.view, Now: p.now, OnChange: p.viewChanged, Log: o.Log.Named("fleetsync"), Metrics: o.Metrics,
	})
	var err error
	p.peerConn, err = listen(netip.AddrPortFrom(o.Settings.IP, o.Settings.PeerPort))
	return p, err
}

// now is the steady time since the start of the process.
func (p *Process) now() time.Duration { return time.Since(p.start) }

// tickLoop passes time.
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
			if p.role.waiting() {
				next = busyTickInterval
			}
		})
		timer.Reset(next)
	}
}

// tick passes time. The lock is held.
func (p *Process) tick(now time.Duration) {
	p.checkSuspension(now)
	p.role.tick(now)
	p.sendParentRequest(now)
	p.notifySilentChildren(now)
	p.view.Expire(now)
}

// checkSuspension ages the view by the time in which the VM was suspended. The
// process asks the platform then instead of deciding by what it knew before.
func (p *Process) checkSuspension(now time.Duration) {
	gap, err := p.suspensions.sinceLastCall(now)
	if err != nil && !p.clockErrorLogged {
		p.clockErrorLogged = true
		p.Log.Warn("clock cannot be read, suspensions of the VM are not noticed", telemetry.Error(err))
	}
	if gap > 0 {
		p.view.RecordSuspension(gap)
		p.Log.Warn("process was suspended", zap.Duration("for", gap), telemetry.Version(p.view.Version()), zap.Uint64("revision", p.view.Revision()))
	}
}

// serveReady answers the probes of the platform's routers.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.view.Usable() || p.stopping {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// part is a function under supervision.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the name.
func (p part) String() string { return p.name }

// run serves until the process was asked to stop and may end.
func (p *Process) run(ctx context.Context, parts []part) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	supervisor := suture.New("trefoilweir", suture.Spec{EventHook: p.logSupervisorEvent, FailureBackoff: partBackoff})
	mux := http.NewServeMux()
	mux.Handle(fleetsync.PathFleet, p.sync)
	parts = append(parts,
		part{"relay", p.receiveLoop(p.peerConn, p.handlePeerDatagram)},
		part{"peer_http", serveHTTP(netip.AddrPortFrom(p.Settings.IP, p.Settings.PeerPort), mux)},
		part{"ready_http", serveHTTP(p.Settings.ReadyAddr, http.HandlerFunc(p.serveReady))},
		part{"platform", p.sync.ReadPlatform}, part{"follow", p.sync.FetchFromPeers}, part{"tick", p.tickLoop},
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
	p.Log.Info("process started", zap.String("data_centre", p.Settings.DataCentre), zap.Bool("first_start", p.Settings.FirstStart))
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
