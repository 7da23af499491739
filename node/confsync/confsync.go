// Package confsync keeps a process on the newest configuration. It does the
// I/O for core/distribution: it reads the platform, asks peers, and answers
// peers on the peer link.
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

// ConfigSource is what the other parts of a process use.
type ConfigSource interface {
	// Current returns the configuration in force, or nil before the first.
	Current() *config.Config
	// Changes returns a channel that is closed when the configuration or the
	// list of VMs changes next.
	Changes() <-chan struct{}
	// VMs returns the list of VMs. It lags and must not be changed.
	VMs() []config.VM
}

// Transport sends requests to other processes. An answer other than success
// is an error.
type Transport interface {
	RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, body []byte) ([]byte, error)
}

// Platform reads the configuration service.
type Platform interface {
	Get(ctx context.Context, key string) (platform.Value, error)
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (platform.Value, error)
}

// Times of the I/O.
const (
	// platformWait and peerWait are how long a poll waits for a change.
	platformWait = 10 * time.Second
	peerWait     = 15 * time.Second
	// askTimeout bounds a short question. It is that of the start-up phase.
	askTimeout = distribution.StartWait
	// partTimeout bounds the fetch of one part.
	partTimeout = 5 * time.Second
	// pollSlack is added to peerWait, for the way there and back.
	pollSlack = 2 * time.Second
	// vmsRefresh and vmsRefreshPerVM are the period after which a process
	// that is not a reader reads the list of VMs from the platform. It
	// repairs a list that peers no longer update, and grows with the fleet:
	// 14,000 processes make 20 calls per second.
	vmsRefresh      = time.Minute
	vmsRefreshPerVM = 50 * time.Millisecond
	// parallelParts is how many parts are fetched at once.
	parallelParts = 8
	// eventQueue bounds events that wait. Peers that tell their version are
	// not heard while it is full; they tell it again.
	eventQueue = 256
)

// Options of a Sync.
type Options struct {
	// Name and DataCentre are those of the process in the list of VMs.
	Name, DataCentre string
	// Platform reads the configuration service.
	Platform Platform
	// Transport sends requests to peers.
	Transport Transport
	// Seed makes the choice of peers differ between processes. Zero means a
	// random seed.
	Seed uint64
	// Log and Metrics are those of the process. Optional.
	Log     *zap.Logger
	Metrics *metrics.Set
}

// state is what the process has. It is immutable.
type state struct {
	config   *config.Config
	head     config.Head
	manifest config.Manifest
	parts    *partSet
	vms      vmList
	// changed is closed when the next state is in force.
	changed chan struct{}
}

// Sync follows the configuration. Create it with New and run Serve.
type Sync struct {
	options Options
	log     *zap.Logger
	meters  meters
	started time.Time

	events chan input
	state  atomic.Pointer[state]
	ready  chan struct{}
	place  atomic.Pointer[distribution.Position]

	// fetches is used by one fetch at a time.
	fetches struct {
		sync.Mutex
		assembler config.Assembler
	}
	platformState platformState
}

// input is an event with what came with it.
type input struct {
	event   distribution.Event
	fetched *state
	vms     *vmList
}

// New returns a Sync without a configuration.
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
		events: make(chan input, eventQueue), ready: make(chan struct{}),
	}
	s.state.Store(&state{parts: newPartSet(), changed: make(chan struct{})})
	s.place.Store(&distribution.Position{})
	s.meters = newMeters(o.Metrics, s)
	return s, nil
}

// Current implements Source.
func (s *Sync) Current() *config.Config { return s.state.Load().config }

// Changes implements Source.
func (s *Sync) Changes() <-chan struct{} { return s.state.Load().changed }

// VMs implements Source.
func (s *Sync) VMs() []config.VM { return s.state.Load().vms.vms }

// Ready is closed when the start-up phase is over and the process may serve.
func (s *Sync) Ready() <-chan struct{} { return s.ready }

// Status is what operators see.
type Status struct {
	// Ready says that the start-up phase is over.
	Ready bool `json:"ready"`
	// Version, Hash and Preset are those in force.
	Version uint64 `json:"version"`
	Hash    string `json:"hash"`
	Preset  string `json:"preset"`
	// Reader says that the process watches the platform; otherwise Parents
	// are the peers it polls.
	Reader  bool                  `json:"reader"`
	Parents []distribution.Source `json:"parents,omitempty"`
	// VMs is the length of the list of VMs.
	VMs int `json:"vms"`
}

// Status returns what operators see.
func (s *Sync) Status() Status {
	st, place := s.state.Load(), s.place.Load()
	out := Status{Version: st.head.Version, Reader: place.Reader, Parents: place.Parents, VMs: len(st.vms.vms)}
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

// Serve follows the configuration until ctx ends. It may be called again
// after it returned.
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
	if vms := s.state.Load().vms; vms.listed {
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

// run is one call of Serve.
type run struct {
	*Sync
	machine *distribution.Machine
	ctx     context.Context
	cancel  context.CancelFunc
	tasks   sync.WaitGroup
	// endPoll ends the poll in progress, endVMs the watch of the list of VMs.
	endPoll, endVMs context.CancelFunc
	nextRefresh     time.Time
}

func (r *run) stop() {
	r.cancel()
	r.tasks.Wait()
}

// step gives an event to the machine and does what it says.
func (r *run) step(in input) {
	if in.vms != nil && !r.adoptVMs(*in.vms) {
		return
	}
	// time.Since uses the monotonic clock, which goes on while the process is
	// stopped by a signal, so that the machine sees the gap.
	actions := r.machine.Step(time.Since(r.started), in.event)
	place := r.machine.Position()
	r.place.Store(&place)
	for _, a := range actions {
		r.do(a, in)
	}
}

// closeOnce closes a channel that only the calling goroutine closes.
func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

// Handler answers peers on the peer link: /config/head, /config/manifest,
// /config/parts/{sha256} and /config/vms.
func (s *Sync) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/head", s.serveHead)
	mux.HandleFunc("GET /config/manifest", s.serveManifest)
	mux.HandleFunc("GET /config/parts/{sha256}", s.servePart)
	mux.HandleFunc("GET /config/vms", s.serveVMs)
	return mux
}
