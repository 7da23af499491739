package kvstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/lab/kvstore"
	"trefoilweir.example/node/fleetsync"
	"trefoilweir.example/platform"
)

const (
	service    = "booking"
	dataCentre = "dc"
	agentCount = 4
	// applyLimit is the time within which all processes must apply a change.
	applyLimit = 3 * time.Second
	// heartbeatInterval is the time between two heartbeats of a process.
	heartbeatInterval = 20 * time.Millisecond
)

// The tests of this file run the product's views against the simulated store that
// returns from a backup.

// process is an agent that keeps its view in step with the store and its peers.
type process struct {
	mu   sync.Mutex
	ip   netip.Addr
	view *fleet.View
	sync *fleetsync.Sync
	now  func() time.Duration
	// stop ends the process, at the latest with the test.
	stop func()
}

// deployment is a store and the agents that follow it, in one data centre.
type deployment struct {
	t         *testing.T
	store     *kvstore.Store
	address   string
	port      uint16
	mu        sync.Mutex
	processes []*process
}

func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, store: kvstore.New()}
	server := httptest.NewServer(d.store)
	t.Cleanup(server.Close)
	d.address = strings.TrimPrefix(server.URL, "http://")
	d.putRoutes(1)
	for n := range agentCount {
		d.putTarget(n, fleet.Ready)
	}
	for n := range agentCount {
		d.start(n)
	}
	go d.sendHeartbeats(t.Context())
	d.await("version 1", func(p *process) bool { return p.view.Version() == 1 && len(p.view.Targets(service)) == agentCount })
	return d
}

func agentIP(n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, 9, byte(n + 1)}) }

func (d *deployment) putRoutes(version int) {
	d.store.Put("op/config", fmt.Appendf(nil, `{"version":%d,"routes":[]}`, version))
}

func (d *deployment) putTarget(n int, state fleet.TargetState) {
	entry, err := json.Marshal(map[string]any{
		"service": service, "address": netip.AddrPortFrom(agentIP(n), 80), "zone": dataCentre, "version": "v1", "slots": 1, "state": state,
		"warmup-left-ms": 0, "sequence": 1, "born": 1,
	})
	assert.NilError(d.t, err)
	d.store.Put(fmt.Sprint("servers/", n), entry)
}

// start starts the process of agent n.
func (d *deployment) start(n int) *process {
	began := time.Now()
	p := &process{ip: agentIP(n), view: fleet.New(), now: func() time.Duration { return time.Since(began) }}
	l, err := net.Listen("tcp4", netip.AddrPortFrom(p.ip, d.port).String())
	assert.NilError(d.t, err)
	d.port = uint16(l.Addr().(*net.TCPAddr).Port)
	p.sync = fleetsync.New(fleetsync.Options{
		Self: p.ip, DataCentre: dataCentre, Source: platform.NewStore(d.address, zap.NewNop()), PeerPort: d.port, Lock: &p.mu, View: p.view,
		Now: p.now, OnChange: func(_, _ bool) {}, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	server := &http.Server{Handler: p.sync}
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { _ = p.sync.ReadPlatform(ctx) })
	loops.Go(func() { _ = p.sync.FetchFromPeers(ctx) })
	p.stop = sync.OnceFunc(func() {
		cancel()
		loops.Wait()
		_ = server.Close()
	})
	d.t.Cleanup(p.stop)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes = append(d.processes, p)
	return p
}

func (d *deployment) all() []*process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]*process{}, d.processes...)
}

// sendHeartbeats reports the state of each process's view to all others.
func (d *deployment) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		for _, from := range d.all() {
			from.mu.Lock()
			progress, age := from.view.Progress(), from.view.Age(from.now())
			from.mu.Unlock()
			for _, to := range d.all() {
				if to != from {
					to.mu.Lock()
					to.sync.HandleHeartbeat(from.ip, progress, age)
					to.mu.Unlock()
				}
			}
		}
		time.Sleep(heartbeatInterval)
	}
}

// await waits until a condition holds at all processes, at most applyLimit.
func (d *deployment) await(what string, holds func(*process) bool) {
	d.t.Helper()
	for deadline := time.Now().Add(applyLimit); ; time.Sleep(heartbeatInterval) {
		behind := 0
		for _, p := range d.all() {
			p.mu.Lock()
			if !holds(p) {
				behind++
			}
			p.mu.Unlock()
		}
		if behind == 0 {
			return
		}
		assert.Assert(d.t, time.Now().Before(deadline), "%d of %d processes do not have %s after %s", behind, len(d.all()), what, applyLimit)
	}
}

func (d *deployment) awaitVersion(version uint64) {
	d.t.Helper()
	d.await(fmt.Sprint("version ", version), func(p *process) bool { return p.view.Version() == version })
}

// revision returns the revision of the last change of the store.
func (d *deployment) revision() uint64 {
	response, err := http.Get("http://" + d.address + "/v1/kv-range?prefix=")
	assert.NilError(d.t, err)
	defer response.Body.Close()
	var body struct {
		Current uint64 `json:"current-rev"`
	}
	assert.NilError(d.t, json.NewDecoder(response.Body).Decode(&body))
	return body.Current
}

// stateOf returns the state of target n in a view, or an empty string if it is
// not listed.
func (p *process) stateOf(n int) fleet.TargetState {
	for _, t := range p.view.Targets(service) {
		if t.ID == fmt.Sprint(n) {
			return t.State
		}
	}
	return ""
}

// Guards against a change that only the processes that read the store apply,
// because the store came back from a backup and its revisions are lower than
// those that the others know: requests were handled by an older version.
func TestChangeAfterARestoreReachesAll(t *testing.T) {
	d := newDeployment(t)
	backup := d.store.Backup()
	for version := 2; version <= 6; version++ {
		d.putRoutes(version)
	}
	d.awaitVersion(6)
	d.store.Restore(backup)
	d.putRoutes(8)
	d.putTarget(0, fleet.Draining)
	d.awaitVersion(8)
	d.await("the draining target", func(p *process) bool { return p.stateOf(0) == fleet.Draining })
}

// Guards against a watch that continues across the return of the store from a
// backup: the revisions of the first changes after it are below the position of
// the watch, and no process learned of them.
func TestWatchDoesNotContinueAcrossARestore(t *testing.T) {
	d := newDeployment(t)
	backup := d.store.Backup()
	d.putRoutes(2)
	d.awaitVersion(2)
	d.store.SetFault(kvstore.Reset)
	d.store.Restore(backup)
	d.putTarget(0, fleet.Draining)
	d.putTarget(1, fleet.Ready)
	d.store.SetFault(kvstore.None)
	d.await("the draining target", func(p *process) bool { return p.stateOf(0) == fleet.Draining })
}

// Guards against a process that starts after the return of the store from a
// backup and keeps the older version that the backup has, although its peers
// know a newer one.
func TestStartAfterARestoreGetsTheVersionOfPeers(t *testing.T) {
	d := newDeployment(t)
	backup := d.store.Backup()
	d.putRoutes(2)
	d.awaitVersion(2)
	d.store.Restore(backup)
	// Targets write again, so that the revision is above that of the lost version.
	for n := range agentCount {
		d.putTarget(n, fleet.Ready)
	}
	last := d.revision()
	d.await("the last revision", func(p *process) bool { return p.view.Revision() == last })
	d.start(agentCount)
	d.awaitVersion(2)
}

// Guards against a target that is used again because the store came back from a
// backup in which it was not draining yet.
func TestRestoreDoesNotUndoADrain(t *testing.T) {
	d := newDeployment(t)
	backup := d.store.Backup()
	d.putTarget(0, fleet.Draining)
	d.await("the draining target", func(p *process) bool { return p.stateOf(0) == fleet.Draining })
	d.store.Restore(backup)
	for end := time.Now().Add(2 * fleet.WatchTimeout); time.Now().Before(end); time.Sleep(heartbeatInterval) {
		for _, p := range d.all() {
			p.mu.Lock()
			state := p.stateOf(0)
			p.mu.Unlock()
			assert.Equal(t, state, fleet.Draining, "at %s", p.ip)
		}
	}
}

// killReaders ends the processes that watch the store.
func (d *deployment) killReaders() (killed int) {
	for _, p := range d.all() {
		p.mu.Lock()
		reader := p.sync.Position().Reader
		p.mu.Unlock()
		if !reader {
			continue
		}
		d.mu.Lock()
		d.processes = slices.DeleteFunc(d.processes, func(o *process) bool { return o == p })
		d.mu.Unlock()
		p.stop()
		killed++
	}
	return killed
}

// Guards against a version that stays out of force because the processes that take
// over from killed readers ask for all versions since their start and cannot read
// the answer.
func TestVersionAfterAStormAndTheLossOfTheReaders(t *testing.T) {
	const routes, versions = 350, 75
	d := newDeployment(t)
	config := func(version int, dropped bool) []byte {
		b := fmt.Appendf(nil, `{"version":%d,"routes":[`, version)
		for i := range routes {
			if i == 0 && dropped {
				continue
			}
			b = fmt.Appendf(b, `{"name":"route-%03d-with-a-long-name-as-they-have-it-in-use","host":"198.18.0.1","prefix":"/%d/","route-type":"safe","timeout-ms":%d,"target-latency-ms":120,"priority":2,"service":%q},`, i, i+1, 2000+version, service)
		}
		return append(b[:len(b)-1], "]}"...)
	}
	size := 0
	for version := 2; version < 2+versions; version++ {
		value := config(version, false)
		d.store.Put("op/config", value)
		size += len(value) * 4 / 3
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, size > 5<<20, "a watch from the start has only %d bytes", size)
	d.awaitVersion(1 + versions)
	// The processes that stop here end their calls first, so that nobody reads the
	// next version on their behalf.
	assert.Equal(t, d.killReaders(), fleet.Readers)
	d.store.Put("op/config", config(2+versions, true))
	d.awaitVersion(2 + versions)
	d.await("the dropped route", func(p *process) bool {
		_, ok := p.view.Route(netip.MustParseAddrPort("198.18.0.1:1"))
		return !ok
	})
}
