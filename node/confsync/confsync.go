// Package confsync keeps a process up to date with the newest configuration and
// the list of VMs. It performs the I/O for the state machine of
// core/distribution: it reads the platform, queries peers and serves queries of
// peers.
//
// A configuration consists of a manifest and the parts that the manifest names
// by their hashes. Its head is its version and the hash of its manifest, and
// heads are ordered. The processes of a data centre form a tree: a few of them,
// the readers, watch the platform, and every other process polls its parents.
package confsync

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
	"trefoilweir.example/node/platform"
	"trefoilweir.example/node/telemetry"
)

// ConfigSource provides the configuration and the list of VMs to the rest of a
// process.
type ConfigSource interface {
	// Current returns the active configuration, or nil before the first.
	Current() *config.Config
	// Changes returns a channel that is closed when the configuration or the
	// list of VMs changes next.
	Changes() <-chan struct{}
	// VMs returns the list of VMs. It may be out of date and must not be
	// modified.
	VMs() []config.VM
}

// Transport sends requests to other processes. It returns an error for a
// response that does not report success.
type Transport interface {
	RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error)
}

// Platform reads values from the configuration service.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error)
}

// Times and limits of the I/O.
const (
	// platformWait and peerWait are how long the platform and a peer may hold
	// a poll until there is a change.
	platformWait = 10 * time.Second
	peerWait     = 15 * time.Second
	// queryTimeout bounds a query that is answered at once. It is as long as a
	// starting process waits for its peers.
	queryTimeout = distribution.StartWait
	// partTimeout bounds the fetch of a manifest or a part.
	partTimeout = 5 * time.Second
	// pollSlack is added to the wait of a query, for the network round trip.
	pollSlack = 2 * time.Second
	// vmListRefresh and vmListRefreshPerVM give the period after which a
	// process that is not a reader reads the list of VMs from the platform:
	// the greater of the first and of the second times the number of VMs. This
	// repairs a list that peers no longer update. The period grows with the
	// fleet, so that 14,000 processes make 20 calls per second.
	vmListRefresh      = time.Minute
	vmListRefreshPerVM = 50 * time.Millisecond
	// parallelParts limits the parts that are fetched concurrently.
	parallelParts = 8
	// eventQueueLen limits the events that wait for the loop. While the queue
	// is full, the heads that peers report are dropped; peers report them
	// again.
	eventQueueLen = 256
)

// Options are the parameters of New.
type Options struct {
	// Name and DataCentre identify the process in the list of VMs.
	Name, DataCentre string
	// Platform gives access to the configuration service.
	Platform Platform
	// Transport sends requests to peers.
	Transport Transport
	// Seed makes processes choose different peers. Zero means a random seed.
	Seed uint64
	// Log and Metrics receive log lines and metrics. Both are optional.
	Log     *zap.Logger
	Metrics *metrics.Set
}

// state holds the active configuration, its manifest and parts, and the list of
// VMs. It is immutable; a change stores a new state.
type state struct {
	config   *config.Config
	head     config.Head
	manifest config.Manifest
	parts    *partSet
	vms      vmList
	// changed is closed when another state replaces this one.
	changed chan struct{}
}

// Sync keeps the configuration and the list of VMs up to date while Serve runs.
type Sync struct {
	options  Options
	log      *zap.Logger
	counters counters
	started  time.Time

	events   chan input
	state    atomic.Pointer[state]
	ready    chan struct{}
	position atomic.Pointer[distribution.Position]

	// fetches serializes the use of the assembler.
	fetches struct {
		sync.Mutex
		assembler config.Assembler
	}
	platformState platformState
}

// input is an event for the machine, with the fetched configuration or the list
// of VMs that belongs to it.
type input struct {
	event   distribution.Event
	fetched *state
	vms     *vmList
}

// New returns a Sync that has no configuration yet.
func New(o Options) (*Sync, error) {
	if o.Name == "" || o.DataCentre == "" || o.Platform == nil || o.Transport == nil {
		return nil, trace.BadParameter("confsync: name, data centre, platform and transport are required")
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Metrics == nil {
		o.Metrics = telemetry.NewMetrics()
	}
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	s := &Sync{
		options: o, log: o.Log.Named("confsync"), started: time.Now(),
		events: make(chan input, eventQueueLen), ready: make(chan struct{}),
	}
	s.state.Store(&state{parts: newPartSet(), changed: make(chan struct{})})
	s.position.Store(&distribution.Position{})
	s.counters = newCounters(o.Metrics, s)
	return s, nil
}

// Current implements ConfigSource.
func (s *Sync) Current() *config.Config { return s.state.Load().config }

// Changes implements ConfigSource.
func (s *Sync) Changes() <-chan struct{} { return s.state.Load().changed }

// VMs implements ConfigSource.
func (s *Sync) VMs() []config.VM { return s.state.Load().vms.vms }

// Ready returns a channel that is closed when the start-up phase is over and
// the process may serve.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Status is the state of a Sync that the operator port reports.
type Status struct {
	// Ready reports whether the start-up phase is over.
	Ready bool `json:"ready"`
	// Version, Hash and Preset are those of the active configuration.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Preset  string `json:"preset"`
	// Reader reports whether the process watches the platform. Otherwise
	// Parents are the peers that it polls.
	Reader  bool                  `json:"reader"`
	Parents []distribution.Source `json:"parents,omitempty"`
	// VMs is the number of VMs in the list.
	VMs int `json:"vms"`
}

// Status returns the current state.
func (s *Sync) Status() Status {
	st, position := s.state.Load(), s.position.Load()
	out := Status{Version: st.head.Version, Reader: position.Reader, Parents: position.Parents, VMs: len(st.vms.vms)}
	if st.config != nil {
		out.Hash, out.Preset = st.head.Hash.String(), st.config.Preset
	}
	select {
	case <-s.ready:
		out.Ready = true
	default:
	}
	return out
}

// Serve keeps the configuration up to date until ctx ends. It may be called
// again after it has returned.
func (s *Sync) Serve(ctx context.Context) error {
	run := &run{
		Sync: s,
		machine: distribution.New(distribution.Options{
			Self: s.options.Name, DataCentre: s.options.DataCentre, Seed: s.options.Seed, Current: s.state.Load().head,
		}),
	}
	run.ctx, run.cancel = context.WithCancel(ctx)
	defer run.stop()
	run.step(input{event: distribution.Start{}})
	if vms := s.state.Load().vms; vms.loaded {
		run.step(input{event: distribution.VMList{VMs: vms.vms}})
	}
	ticker := time.NewTicker(distribution.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			run.step(input{event: distribution.Tick{}})
			run.refreshVMs()
		case in := <-s.events:
			run.step(in)
		}
	}
}

// run is the state of one call of Serve.
type run struct {
	*Sync
	machine *distribution.Machine
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// cancelPoll cancels the poll in progress, and cancelVMWatch the watch of
	// the list of VMs.
	cancelPoll, cancelVMWatch context.CancelFunc
	nextVMListRefresh         time.Time
}

func (r *run) stop() {
	r.cancel()
	r.tasks.Wait()
}

// step passes an event to the machine and performs the actions that it returns.
func (r *run) step(in input) {
	if in.vms != nil && !r.adoptVMs(*in.vms) {
		return
	}
	// time.Since uses the monotonic clock, which advances while a signal stops
	// the process, so that the machine detects the pause.
	actions := r.machine.Step(time.Since(r.started), in.event)
	position := r.machine.Position()
	r.position.Store(&position)
	for _, a := range actions {
		r.perform(a, in)
	}
}

// closeOnce closes a channel if it is still open. No other goroutine may close
// the channel.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Handler returns the handler for requests of peers: /config/head,
// /config/manifest, /config/parts/{sha256} and /config/vms.
func (s *Sync) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/head", s.serveHead)
	mux.HandleFunc("GET /config/manifest", s.serveManifest)
	mux.HandleFunc("GET /config/parts/{sha256}", s.servePart)
	mux.HandleFunc("GET /config/vms", s.serveVMs)
	return mux
}
