package load_test

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
	"gotest.tools/v3/assert"
	"trefoilweir.example/lab/keys"
	"trefoilweir.example/lab/load"
	"trefoilweir.example/lab/target"
)

// faultProxy is an HTTP/3 server that forwards requests to a target in the same
// process and injects a fault.
type faultProxy struct {
	dir     string
	target  *target.Target
	fault   func(w http.ResponseWriter, r *http.Request) (done bool)
	tickets atomic.Uint64
	server  *http3.Server
	address netip.AddrPort
}

func startFaultProxy(t *testing.T, loggedService string) *faultProxy {
	d := &faultProxy{dir: t.TempDir()}
	assert.NilError(t, keys.Write(d.dir, []string{"booking"}))
	log, err := os.Create(filepath.Join(d.dir, "booking-1.log"))
	assert.NilError(t, err)
	t.Cleanup(func() { log.Close() })
	d.target = target.New(target.Options{Name: "booking-1", Service: loggedService, Slots: 50, Speed: 1, Log: log})
	pair, err := tls.LoadX509KeyPair(filepath.Join(d.dir, "service-booking.pem"), filepath.Join(d.dir, "service-booking-key.pem"))
	assert.NilError(t, err)
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	d.address = socket.LocalAddr().(*net.UDPAddr).AddrPort()
	d.server = &http3.Server{Handler: d, TLSConfig: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}})}
	go d.server.Serve(socket)
	t.Cleanup(func() { d.server.Close(); socket.Close() })
	return d
}

func (d *faultProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ticket := fmt.Sprintf("ticket-%d", d.tickets.Add(1))
	if strings.HasPrefix(r.URL.Path, "/.well-known/") {
		fmt.Fprintln(w, ticket)
		return
	}
	if d.fault != nil && d.fault(w, r) {
		return
	}
	if r.URL.Path != target.TickerPath {
		w.Header().Set("Next-Ticket", ticket)
	}
	w.Header().Set("Request-Verdict", "ran")
	d.target.ServeHTTP(w, r)
}

// runWithoutAnswer runs a request at the target and discards the answer.
func (d *faultProxy) runWithoutAnswer(r *http.Request) { d.target.ServeHTTP(httptest.NewRecorder(), r) }

func (d *faultProxy) run(t *testing.T) load.Report {
	options := load.Defaults()
	options.Services = []load.Service{{Name: "booking", Address: d.address, Weight: 1}}
	options.CAFile = filepath.Join(d.dir, "ca.pem")
	options.Requests, options.Rate, options.Sessions, options.Tickers, options.WorkMS = 200, 200, 10, 2, 5
	options.Timeout = 2 * time.Second
	results, err := load.Run(t.Context(), options)
	assert.NilError(t, err)
	evidence, err := load.ReadEvidence(filepath.Join(d.dir, "*.log"))
	assert.NilError(t, err)
	return load.Evaluate(options.Seed, results, evidence, nil)
}

// Guards against a report of faults in a system that has none.
func TestCleanRun(t *testing.T) {
	report := startFaultProxy(t, "booking").run(t)
	assert.NilError(t, report.Check(0, 0), "%+v", report)
	assert.Equal(t, report.Requests, 202)
	assert.Equal(t, report.Finished, 202)
	assert.Assert(t, report.P99MS >= report.P50MS && report.P50MS > 0)
}

// Guards against a report that misses a fault.
func TestFaultsAreFound(t *testing.T) {
	for _, test := range []struct {
		name    string
		fault   func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool
		counter func(*load.Report) int
	}{
		{"doubled", func(d *faultProxy, _ http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/submit" {
				d.runWithoutAnswer(r)
			}
			return false
		}, func(r *load.Report) int { return r.Doubled }},
		{"ran after not run", func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != "/hold" {
				return false
			}
			d.runWithoutAnswer(r)
			w.Header().Set("Request-Verdict", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		}, func(r *load.Report) int { return r.RanAfterNotRun }},
		{"wrong answer", func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/map" {
				r.Header.Set("Request-Id", "another")
			}
			return false
		}, func(r *load.Report) int { return r.WrongAnswer }},
		{"lost without a run", func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path == "/file" {
				panic(http.ErrAbortHandler)
			}
			return false
		}, func(r *load.Report) int { return r.Lost }},
		{"broken ticker", func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool {
			return r.URL.Path == target.TickerPath
		}, func(r *load.Report) int { return r.BrokenFlows }},
		{"unknown outcome", func(d *faultProxy, w http.ResponseWriter, r *http.Request) bool {
			if r.URL.Path != "/submit" {
				return false
			}
			w.Header().Set("Request-Verdict", "may-have-run")
			w.WriteHeader(http.StatusBadGateway)
			return true
		}, func(r *load.Report) int { return r.UnknownOutcome }},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := startFaultProxy(t, "booking")
			d.fault = func(w http.ResponseWriter, r *http.Request) bool { return test.fault(d, w, r) }
			report := d.run(t)
			assert.Assert(t, test.counter(&report) > 0, "%+v", report)
			assert.Assert(t, report.Check(0, report.Requests) != nil)
			assert.Equal(t, report.Finished+report.RefusedNotRun+report.UnknownOutcome, report.Requests)
		})
	}
}

// Guards against a run at another service's target that is not counted.
func TestMisroutedIsFound(t *testing.T) {
	report := startFaultProxy(t, "gallery").run(t)
	assert.Assert(t, report.Misrouted > 0)
}

// Guards against a connection that the system closes abruptly and the report
// does not count.
func TestCutConnectionIsBroken(t *testing.T) {
	d := startFaultProxy(t, "booking")
	var requests atomic.Int64
	d.fault = func(http.ResponseWriter, *http.Request) bool {
		if requests.Add(1) == 100 {
			go d.server.Close()
		}
		return false
	}
	report := d.run(t)
	// Two of the broken flows are tickers.
	assert.Assert(t, report.BrokenFlows > 2, "%+v", report)
}

// Guards against callers that do not retry, or retry without limit, after the
// verdict "not-run", and against a retry with another ticket while the outcome
// is unknown.
func TestCallersObeyVerdicts(t *testing.T) {
	d := startFaultProxy(t, "booking")
	var firstTicket, repeated atomic.Value
	d.fault = func(w http.ResponseWriter, r *http.Request) bool {
		first := strings.HasSuffix(r.Header.Get("Request-Id"), "~1")
		switch {
		case first && r.URL.Path == "/map":
			w.Header().Set("Request-Verdict", "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
			return true
		case first && r.URL.Path == "/hold" && firstTicket.CompareAndSwap(nil, r.Header.Get("Request-Id")+" "+r.Header.Get("Idempotency-Key")):
			w.Header().Set("Request-Verdict", "may-have-run")
			w.WriteHeader(http.StatusBadGateway)
			return true
		case r.URL.Path == "/hold" && !first:
			repeated.Store(r.Header.Get("Request-Id") + " " + r.Header.Get("Idempotency-Key"))
		}
		return false
	}
	report := d.run(t)
	assert.NilError(t, report.Check(0, 0), "%+v", report)
	assert.Assert(t, report.Attempts > report.Requests+50)
	assert.Equal(t, repeated.Load(), strings.Replace(firstTicket.Load().(string), "~1", "~2", 1))
}
