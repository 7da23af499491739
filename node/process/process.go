// Package process assembles a balancer or agent process from its parts and
// supervises them. The parts are the configuration sync, the server of the peer
// link, the operator port and the role. The role is the balancer or the agent
// itself. In a planned stop, also called a drain, the process ends once the
// role has no work left.
package process

import (
	"context"
	"crypto/tls"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"github.com/thejerf/suture/v4"
	"go.uber.org/zap"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/confsync"
	"trefoilweir.example/node/keys"
	"trefoilweir.example/node/ops"
	"trefoilweir.example/node/peer"
	"trefoilweir.example/node/platform"
	"trefoilweir.example/node/settings"
	"trefoilweir.example/node/telemetry"
)

const (
	// restartBackoff is the delay before parts restart after repeated
	// failures. It is short because a process without its role serves nobody.
	restartBackoff = time.Second
	// stopTimeout bounds the wait for the parts to stop.
	stopTimeout = 5 * time.Second
)

// role is the balancer or the agent of a process. A new one is created after
// each failure.
type role interface {
	// Serve runs until ctx ends or the planned stop is complete.
	Serve(ctx context.Context) error
	// stop performs the planned stop. It returns when no work is left.
	stop(ctx context.Context) error
	// status returns what the operator port shows of the role.
	status() any
	// peerHandler returns the handler of the role's paths on the peer link,
	// or nil.
	peerHandler() http.Handler
}

// dependencies are the parts of a process that its role uses.
type dependencies struct {
	source    confsync.ConfigSource
	keys      *keys.Store
	peers     *peer.Client
	serverTLS *tls.Config
	log       *zap.Logger
	metrics   *metrics.Set
}

// Process is a process with all its parts.
type Process struct {
	common     settings.Common
	roleName   config.Role
	deps       dependencies
	configSync *confsync.Sync
	ops        *ops.Server
	newRole    func(dependencies) (role, error)

	currentRole atomic.Pointer[role]
	// roleHandler handles the role's paths on the peer link.
	roleHandler atomic.Pointer[http.Handler]
	// drainStarted is closed when a planned stop begins.
	drainStarted chan struct{}
	drainOnce    sync.Once
	startTime    time.Time
}

// newProcess returns a process. It opens what can fail because of the settings,
// such as the files that they name.
func newProcess(common settings.Common, roleName config.Role, out io.Writer, newRole func(dependencies) (role, error)) (*Process, error) {
	log, err := telemetry.NewLogger(telemetry.Options{Out: out, Level: common.LogLevel, Role: string(roleName), Name: common.Name})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Process{common: common, roleName: roleName, newRole: newRole, drainStarted: make(chan struct{}), startTime: time.Now()}
	p.deps.log, p.deps.metrics = log, telemetry.NewMetrics()
	if p.deps.keys, err = keys.Open(common.KeysFile); err != nil {
		return nil, trace.Wrap(err)
	}
	var clientTLS *tls.Config
	if p.deps.serverTLS, clientTLS, err = peer.LoadTLS(common.TLS); err != nil {
		return nil, trace.Wrap(err)
	}
	p.deps.peers = peer.NewClient(clientTLS)
	reader, err := platform.New(platform.Options{URLs: common.Platform, Seed: uint64(time.Now().UnixNano()), Metrics: p.deps.metrics})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.configSync, err = confsync.New(confsync.Options{
		Name: common.Name, DataCentre: common.DataCentre, Platform: reader,
		Transport: p.deps.peers, Log: log, Metrics: p.deps.metrics,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p.deps.source = p.configSync
	p.ops, err = ops.New(ops.Options{
		Address: common.OperatorAddress, TLS: p.deps.serverTLS, Status: func() any { return p.Status() }, Healthy: p.healthy,
		Drain: p.Drain, Metrics: p.deps.metrics, Log: log,
	})
	return p, trace.Wrap(err)
}

// Drain begins the planned stop, unless it has begun already.
func (p *Process) Drain() { p.drainOnce.Do(func() { close(p.drainStarted) }) }

// Run serves until a planned stop is complete. SIGTERM, SIGINT or the end of ctx
// begins the planned stop. SIGTERM or SIGINT during a planned stop makes Run
// return at once with an error. SIGHUP reloads the keys file.
func (p *Process) Run(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	// The parts run on after ctx ends, because a planned stop needs them.
	serveContext, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	supervisor := p.newSupervisor()
	supervisorDone := supervisor.ServeBackground(serveContext)
	p.deps.log.Info("process started", zap.String("data_centre", p.common.DataCentre))
	stopped := p.stopOnDrain(serveContext)
	for {
		select {
		case s := <-signals:
			if s == syscall.SIGHUP {
				p.reloadKeys()
				continue
			}
			if p.draining() {
				p.deps.log.Warn("planned stop aborted by a second signal")
				return trace.LimitExceeded("planned stop aborted by a second signal")
			}
			p.Drain()
		case <-ctx.Done():
			p.Drain()
			ctx = context.WithoutCancel(ctx)
		case err := <-supervisorDone:
			return trace.Wrap(err, "supervisor ended unexpectedly")
		case err := <-stopped:
			cancel()
			<-supervisorDone
			p.deps.log.Info("process stopped")
			return trace.NewAggregate(err, p.deps.peers.Close())
		}
	}
}

// stopOnDrain starts a goroutine that stops the role when the planned stop
// begins. The returned channel receives the result.
func (p *Process) stopOnDrain(ctx context.Context) <-chan error {
	stopped := make(chan error, 1)
	go func() {
		<-p.drainStarted
		p.deps.log.Info("planned stop begins")
		var err error
		if r := p.currentRole.Load(); r != nil {
			err = (*r).stop(ctx)
		}
		stopped <- err
	}()
	return stopped
}

func (p *Process) draining() bool {
	select {
	case <-p.drainStarted:
		return true
	default:
		return false
	}
}

func (p *Process) reloadKeys() {
	if err := p.deps.keys.Reload(); err != nil {
		p.deps.metrics.GetOrCreateCounter("trefoilweir_keys_reload_failures_total").Inc()
		p.deps.log.Error("cannot reload the keys file; the previous keys stay in force", telemetry.Error(err))
		return
	}
	p.deps.log.Info("keys file reloaded")
}

func (p *Process) newSupervisor() *suture.Supervisor {
	s := suture.New("trefoilweir", suture.Spec{EventHook: p.recordSupervisorEvent, FailureBackoff: restartBackoff, Timeout: stopTimeout})
	s.Add(part{"confsync", p.configSync.Serve})
	s.Add(part{"peer", p.servePeers})
	s.Add(part{"ops", p.ops.Serve})
	s.Add(part{string(p.roleName), p.serveRole})
	return s
}

// part is a supervised function with a name for logs and metrics.
type part struct {
	name  string
	serve func(context.Context) error
}

// Serve implements suture.Service.
func (p part) Serve(ctx context.Context) error { return p.serve(ctx) }

// String returns the name under which the supervisor reports the part.
func (p part) String() string { return p.name }

func (p *Process) recordSupervisorEvent(event suture.Event) {
	switch e := event.(type) {
	case suture.EventServicePanic:
		p.incPartCounter("trefoilweir_panics_total", e.ServiceName)
		p.deps.log.Error("part panicked", zap.String(telemetry.KeyPart, e.ServiceName),
			telemetry.Reason(e.PanicMsg), zap.String("stack", e.Stacktrace))
	case suture.EventServiceTerminate:
		p.incPartCounter("trefoilweir_part_failures_total", e.ServiceName)
		p.deps.log.Error("part failed", zap.String(telemetry.KeyPart, e.ServiceName), zap.Any(telemetry.KeyError, e.Err))
	case suture.EventStopTimeout:
		p.deps.log.Error("part did not stop in time", zap.String(telemetry.KeyPart, e.ServiceName))
	}
}

func (p *Process) incPartCounter(metric, partName string) {
	p.deps.metrics.GetOrCreateCounter(metric + `{part="` + partName + `"}`).Inc()
}

// servePeers serves the peer link. It binds the peer address at each start.
func (p *Process) servePeers(ctx context.Context) error {
	server, err := peer.NewServer(p.common.PeerAddress, p.deps.serverTLS, p.peerHandler())
	if err != nil {
		return trace.Wrap(err)
	}
	return server.Serve(ctx)
}

// peerHandler routes /config/ to confsync and all other paths to the role.
func (p *Process) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/config/", p.configSync.Handler())
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		handler := p.roleHandler.Load()
		if handler == nil {
			http.Error(w, "role is not running", http.StatusServiceUnavailable)
			return
		}
		(*handler).ServeHTTP(w, r)
	})
	return mux
}

// serveRole runs the role as soon as there is a configuration. It creates a new
// role at each start, because the previous one lost its state.
func (p *Process) serveRole(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-p.drainStarted:
		return suture.ErrDoNotRestart
	case <-p.configSync.Ready():
	}
	r, err := p.newRole(p.deps)
	if err != nil {
		return trace.Wrap(err)
	}
	if handler := r.peerHandler(); handler != nil {
		p.roleHandler.Store(&handler)
	}
	p.currentRole.Store(&r)
	err = r.Serve(ctx)
	if p.draining() {
		return suture.ErrDoNotRestart
	}
	p.currentRole.Store(nil)
	p.roleHandler.Store(nil)
	if err == nil && ctx.Err() == nil {
		err = trace.Errorf("%s ended without a planned stop", p.roleName)
	}
	return trace.Wrap(err)
}

func (p *Process) healthy() error {
	switch {
	case p.draining():
		return trace.Errorf("draining")
	case p.currentRole.Load() == nil:
		return trace.Errorf("%s is not running yet", p.roleName)
	default:
		return nil
	}
}
