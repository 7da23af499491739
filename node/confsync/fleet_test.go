package confsync_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/confsync"
	"trefoilweir.example/node/platform"
)

// fakePlatform is an HTTP server that serves the values that a test sets.
type fakePlatform struct {
	mu       sync.Mutex
	revision uint64
	// epoch counts how often the platform returned from an older copy.
	epoch   uint64
	values  map[string]platform.Value
	changed chan struct{}
	// unreachableFrom names the processes that cannot reach the platform. The
	// empty name stands for all.
	unreachableFrom map[string]bool
	calls           atomic.Int64
	server          *httptest.Server
}

func newFakePlatform(t testing.TB) *fakePlatform {
	p := &fakePlatform{values: map[string]platform.Value{}, unreachableFrom: map[string]bool{}, changed: make(chan struct{})}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

func (p *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Add(1)
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	caller, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/v1/values/")
	// As the platform does, answer a poll after a revision that has not been given
	// out soon.
	const staleWait = 200 * time.Millisecond
	p.mu.Lock()
	if v, ok := p.values[key]; ok && v.Revision < after {
		wait = min(wait, staleWait)
	}
	p.mu.Unlock()
	deadline := time.After(wait)
	for {
		p.mu.Lock()
		v, ok := p.values[key]
		epoch, changed, down := p.epoch, p.changed, p.unreachableFrom[caller] || p.unreachableFrom[""]
		p.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case ok && v.Revision > after || wait == 0:
			reply(w, epoch, v, ok)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, epoch, v, ok)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, epoch uint64, v platform.Value, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"revision": v.Revision, "value": v.Data, "epoch": epoch})
}

// restore makes the platform give out revisions again, as after its return from an
// older copy, and cuts the polls that wait.
func (p *fakePlatform) restore(revision uint64) {
	p.mu.Lock()
	p.revision = revision
	p.epoch++
	p.mu.Unlock()
	p.server.CloseClientConnections()
}

func (p *fakePlatform) put(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, data := range values {
		p.revision++
		p.values[key] = platform.Value{Revision: p.revision, Data: data}
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePlatform) setUnreachable(name string, unreachable bool) {
	p.mu.Lock()
	p.unreachableFrom[name] = unreachable
	p.mu.Unlock()
	p.put(nil)
}

func (p *fakePlatform) publishConfig(c *config.Config) { p.put(platformValues(c)) }

// platformValues returns the values that a publisher stores on the platform.
func platformValues(c *config.Config) map[string][]byte {
	m, parts := config.Split(c)
	values := map[string][]byte{platform.KeyManifest: m.Encode()}
	for hash, data := range parts {
		values["parts/"+hash] = data
	}
	return values
}

func (p *fakePlatform) publishVMs(vms []config.VM) {
	data, _ := json.Marshal(vms)
	p.put(map[string][]byte{platform.KeyVMs: data})
}

// testTransport sends requests over HTTP/1.1. Requests over a blocked connection
// fail.
type testTransport struct {
	client  *http.Client
	blocked *sync.Map
	from    string
	// panics is the number of the next requests that panic.
	panics *atomic.Int32
}

func (l testTransport) RoundTrip(ctx context.Context, addr netip.AddrPort, method, path string, _ []byte) ([]byte, error) {
	if l.panics.Add(-1) >= 0 {
		panic("panic injected by the test")
	}
	if _, ok := l.blocked.Load(l.from + ">" + addr.String()); ok {
		return nil, trace.ConnectionProblem(nil, "no route to %s", addr)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr.String()+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := l.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if response.StatusCode != http.StatusOK {
		return nil, trace.BadParameter("%s", response.Status)
	}
	return body, err
}

// node is one process of the fleet.
type node struct {
	*confsync.Sync
	name    string
	server  *httptest.Server
	handler atomic.Pointer[http.Handler]
	metrics *metrics.Set
	stop    func()
}

type testFleet struct {
	platform *fakePlatform
	nodes    []*node
	vms      []config.VM
	blocked  sync.Map
	panics   atomic.Int32
	client   *http.Client
}

// newFleet returns a fleet of n processes. Method start runs them.
func newFleet(t testing.TB, n, dataCentres int) *testFleet {
	f := &testFleet{platform: newFakePlatform(t), client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}}
	for i := range n {
		node := &node{name: fmt.Sprintf("vm-%03d", i)}
		node.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if h := node.handler.Load(); h != nil {
				(*h).ServeHTTP(w, r)
				return
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}))
		t.Cleanup(node.server.Close)
		f.nodes = append(f.nodes, node)
		f.vms = append(f.vms, config.VM{Name: node.name, Role: config.RoleBalancer, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
			PeerAddress: netip.MustParseAddrPort(node.server.Listener.Addr().String()), State: config.VMLive})
	}
	f.platform.publishVMs(f.vms)
	return f
}

// start runs the processes with indexes from first up to, but not including,
// last.
func (f *testFleet) start(t testing.TB, first, last int) {
	for i := first; i < last; i++ {
		n := f.nodes[i]
		n.metrics = metrics.NewSet()
		reader, err := platform.New(platform.Options{URLs: []string{f.platform.server.URL + "/" + n.name}, Seed: uint64(i), Metrics: n.metrics})
		assert.NilError(t, err)
		n.Sync, err = confsync.New(confsync.Options{Name: n.name, DataCentre: f.vms[i].DataCentre, Platform: reader,
			Transport: testTransport{f.client, &f.blocked, n.name, &f.panics}, Seed: uint64(i + 1), Metrics: n.metrics})
		assert.NilError(t, err)
		handler := n.Handler()
		n.handler.Store(&handler)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { _ = n.Serve(ctx); close(done) }()
		n.stop = func() { n.handler.Store(nil); cancel(); <-done; reader.Close() }
		t.Cleanup(func() { n.stop() })
	}
}

// awaitVersion waits until a process has the version or a higher one.
func awaitVersion(t testing.TB, n *node, version uint64, limit time.Duration) {
	t.Helper()
	deadline := time.After(limit)
	for {
		changes := n.Changes()
		if c := n.Current(); c != nil && c.Version >= version {
			return
		}
		select {
		case <-changes:
		case <-deadline:
			t.Fatalf("%s has %+v after %s, want version %d", n.name, n.Status(), limit, version)
		}
	}
}

func (f *testFleet) awaitVersion(t testing.TB, version uint64, limit time.Duration) {
	t.Helper()
	for _, n := range f.nodes {
		if n.Sync != nil {
			awaitVersion(t, n, version, limit)
		}
	}
}

// awaitVMs waits until a condition holds for the list of VMs of every process.
func (f *testFleet) awaitVMs(t testing.TB, holds func([]config.VM) bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for _, n := range f.nodes {
		for vms := n.VMs(); !holds(vms); vms = n.VMs() {
			assert.Assert(t, time.Now().Before(deadline), "%s has %v", n.name, vms)
			time.Sleep(10 * time.Millisecond)
		}
	}
}
