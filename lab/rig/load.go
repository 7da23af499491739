package rig

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"trefoilweir.example/lab/figure"
	"trefoilweir.example/lab/packets"
)

// Load describes the requests of the callers.
type Load struct {
	// CallersPerZone is the number of callers in a zone. Each makes one request
	// at a time.
	CallersPerZone int
	// LongFlowsPerZone is the number of callers in a zone that keep one flow for
	// many requests.
	LongFlowsPerZone int
	// MeanPause is the mean time between two requests of a caller.
	MeanPause time.Duration
	// WorkMS is the mean work of a request in milliseconds.
	WorkMS float64
	// Timeout is the time limit of a request with all its attempts.
	Timeout time.Duration
	// Retries is the number of attempts after the first one.
	Retries int
}

// Report is the result of a run.
type Report struct {
	Requests, Finished, NotServed int
	// ByOutcome counts the requests that were not served by the outcome of their
	// last attempt.
	ByOutcome map[packets.Outcome]int
	// P50MS and P99MS are percentiles of the latency of finished requests, in
	// milliseconds.
	P50MS, P99MS float64
	Violations   map[packets.Violation]int
	Notes        []string
	Failures     []string
	StoreCalls   int
	// Samples are the finished requests, Marks the steps of a demo.
	Samples []figure.Sample
	Marks   []figure.Mark
}

type recorder struct {
	mu        sync.Mutex
	requests  int
	finished  int
	byOutcome map[packets.Outcome]int
	latency   *hdrhistogram.Histogram
	begin     time.Time
	samples   []figure.Sample
}

func (r *recorder) add(outcome packets.Outcome, target string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	if outcome != packets.Answered {
		r.byOutcome[outcome]++
		return
	}
	r.finished++
	r.samples = append(r.samples, figure.Sample{At: time.Since(r.begin), Latency: took, Target: target})
	// The histogram holds values up to a minute and returns an error for others.
	_ = r.latency.RecordValue(took.Microseconds())
}

// RunLoad runs the callers until ctx ends.
func (s *System) RunLoad(ctx context.Context, load Load) (Report, error) {
	rec := &recorder{byOutcome: map[packets.Outcome]int{}, latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), begin: time.Now()}
	s.mu.Lock()
	s.recorder = rec
	s.mu.Unlock()
	var users sync.WaitGroup
	for z, zone := range s.Zones {
		for n := range load.CallersPerZone {
			c, err := packets.StartCaller(netip.AddrPortFrom(s.callerAddress(z, n), portPackets), s.route(zone), s.Journal)
			if err != nil {
				return Report{}, err
			}
			s.mu.Lock()
			s.callers = append(s.callers, c)
			s.mu.Unlock()
			u := &user{System: s, Load: load, caller: c, recorder: rec, name: fmt.Sprintf("%s-%d", zone, n), keepsFlow: n < load.LongFlowsPerZone,
				service: &s.Services[n%len(s.Services)], seed: s.Seed<<16 + uint64(z<<8+n)}
			users.Go(func() { u.run(ctx) })
		}
	}
	users.Wait()
	return s.report(rec), nil
}

func (s *System) report(r *recorder) Report {
	violations, notes := s.Journal.Violations()
	return Report{
		Requests: r.requests, Finished: r.finished, NotServed: r.requests - r.finished, ByOutcome: r.byOutcome,
		P50MS: float64(r.latency.ValueAtQuantile(50)) / 1000, P99MS: float64(r.latency.ValueAtQuantile(99)) / 1000,
		Samples: r.samples, Marks: s.marks, Violations: violations, Notes: notes, Failures: s.Failures(), StoreCalls: s.Store.Calls(),
	}
}

// Failed reports whether the run had violations or failures.
func (r *Report) Failed() bool { return len(r.Violations)+len(r.Failures) > 0 }

// String returns one line with all counts and percentiles, including zeros.
func (r *Report) String() string {
	line := fmt.Sprintf("requests=%d finished=%d not_served=%d p50_ms=%.1f p99_ms=%.1f store_calls=%d",
		r.Requests, r.Finished, r.NotServed, r.P50MS, r.P99MS, r.StoreCalls)
	for _, v := range []packets.Violation{packets.BrokenFlow, packets.RanTwice, packets.RanAfterNotRun, packets.Misrouted,
		packets.WrongAnswer, packets.LateFlow, packets.OldRoute, packets.InvalidPacket} {
		line += fmt.Sprintf(" %s=%d", v, r.Violations[v])
	}
	line += fmt.Sprintf(" failures=%d", len(r.Failures))
	for _, o := range slices.Sorted(maps.Keys(r.ByOutcome)) {
		line += fmt.Sprintf(" %s=%d", o, r.ByOutcome[o])
	}
	return line
}
