// Package target implements a simulated target, a server behind the load
// balancer. It is an HTTP handler that runs as many requests at once as it has
// slots, simulates work at a configurable speed with a cold start, optionally
// sheds load, and logs each request that it ran.
package target

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"trefoilweir.example/lab/answer"
)

const (
	// TickerPath is the path prefix of the ticker: a response that writes one
	// line per interval until the caller closes it, and holds no slot.
	TickerPath = "/ticker"
	// LoadPath is the path of the load report, which has the busy slots, the
	// waiting requests and the number of slots.
	LoadPath = "/load"

	headerRequestID      = "Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	// coldSpeedFactor is the fraction of Options.Speed at the start of a target.
	coldSpeedFactor     = 0.25
	defaultTickInterval = 200 * time.Millisecond
)

// Options configures a target.
type Options struct {
	Name    string
	Service string
	// Slots is the number of requests that run at once.
	Slots int
	// Speed divides the work of a request. At speed 1 a request runs for as
	// long as its work.
	Speed float64
	// ColdStart is the time from the start of the target until it reaches Speed.
	ColdStart time.Duration
	// ShedAt is the maximum number of waiting requests. The target refuses
	// further ones. Zero means that it refuses none.
	ShedAt int
	// ReportFactor multiplies the busy slots and waiting requests in the load
	// report, so that it can be made wrong. The default is 1.
	ReportFactor float64
	// ReportAge is the delay of the load report.
	ReportAge time.Duration
	// Log receives the log, one JSON-encoded Entry per line.
	Log io.Writer
}

// Target is a simulated target. It implements http.Handler; create it with New.
type Target struct {
	options Options
	log     *eventLog
	slots   chan struct{}
	waiting atomic.Int64
	started time.Time
	reports *delayedReports
}

// New returns a target and writes the Listen entry to its log.
func New(options Options) *Target {
	if options.ReportFactor == 0 {
		options.ReportFactor = 1
	}
	t := &Target{
		options: options,
		log:     newEventLog(options.Log),
		slots:   make(chan struct{}, options.Slots),
		started: time.Now(),
		reports: newDelayedReports(options.ReportAge),
	}
	t.log.write(Entry{Event: Listen, Service: options.Service, Target: options.Name, Slots: options.Slots, Speed: options.Speed})
	return t
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == LoadPath:
		t.serveLoad(w)
	case strings.HasPrefix(r.URL.Path, TickerPath):
		t.serveTicker(w, r)
	default:
		t.serveWork(w, r)
	}
}

func (t *Target) newEntry(event Event, r *http.Request) Entry {
	return Entry{
		Event: event, Service: t.options.Service, Target: t.options.Name,
		ID: r.Header.Get(headerRequestID), Key: r.Header.Get(headerIdempotencyKey), Method: r.Method, Path: r.URL.Path,
	}
}

// serveWork runs a request: it holds a slot for the time of the work in the query
// and writes the answer.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	if !t.acquireSlot(r) {
		t.log.write(t.newEntry(Shed, r))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	start, end := t.newEntry(Start, r), t.newEntry(End, r)
	start.Slot, end.Slot = true, true
	t.log.write(start)
	// The End entry is deferred, because a broken connection ends the handler
	// with a panic.
	defer func() { t.log.write(end) }()
	bodyHash, _, err := answer.Hash(r.Body)
	if err != nil || !t.runWork(r, &end) {
		panic(http.ErrAbortHandler)
	}
	// The run is complete once the answer is written to the connection: the
	// caller may read the answer before this function returns.
	end.Complete = t.writeAnswer(w, r, bodyHash) == nil
}

// acquireSlot waits for a slot. It returns false if the target sheds the request
// or the request is cancelled.
func (t *Target) acquireSlot(r *http.Request) bool {
	select {
	case t.slots <- struct{}{}:
		return true
	default:
	}
	waiting := t.waiting.Add(1)
	defer t.waiting.Add(-1)
	if t.options.ShedAt > 0 && waiting > int64(t.options.ShedAt) {
		return false
	}
	select {
	case t.slots <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// runWork waits for the duration of the work in the query divided by the speed,
// and records both durations in end. It returns false if the request is cancelled.
func (t *Target) runWork(r *http.Request, end *Entry) bool {
	ms, _ := strconv.ParseFloat(r.URL.Query().Get("work_ms"), 64)
	begin := time.Now()
	timer := time.NewTimer(time.Duration(ms / t.speed() * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case <-timer.C:
		end.WorkMS = ms
		end.RunMS = float64(time.Since(begin)) / float64(time.Millisecond)
		return true
	case <-r.Context().Done():
		return false
	}
}

// speed returns the current speed. It rises linearly from coldSpeedFactor times
// Options.Speed to Options.Speed during the cold start.
func (t *Target) speed() float64 {
	age := time.Since(t.started)
	if age >= t.options.ColdStart {
		return t.options.Speed
	}
	progress := float64(age) / float64(t.options.ColdStart)
	return t.options.Speed * (coldSpeedFactor + (1-coldSpeedFactor)*progress)
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, bodyHash string) error {
	size, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, err := io.Copy(w, answer.Body(answer.Request{
		Service: t.options.Service, Method: r.Method, URI: r.URL.RequestURI(),
		ID: r.Header.Get(headerRequestID), BodyHash: bodyHash, Size: size,
	}))
	return err
}

// serveTicker writes one line per interval until the request is cancelled or a
// write fails.
func (t *Target) serveTicker(w http.ResponseWriter, r *http.Request) {
	interval, err := time.ParseDuration(r.URL.Query().Get("interval"))
	if err != nil || interval <= 0 {
		interval = defaultTickInterval
	}
	t.log.write(t.newEntry(Start, r))
	defer func() { t.log.write(t.newEntry(End, r)) }()
	base := answer.BaseID(r.Header.Get(headerRequestID))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		if _, err := io.WriteString(w, answer.TickerLine(base, n)+"\n"); err != nil {
			return
		}
		if err := http.NewResponseController(w).Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Target) serveLoad(w http.ResponseWriter) {
	current := loadReport{Busy: len(t.slots), Waiting: int(t.waiting.Load()), Slots: t.options.Slots}
	reported := t.reports.push(time.Now(), current)
	reported.Busy = int(float64(reported.Busy) * t.options.ReportFactor)
	reported.Waiting = int(float64(reported.Waiting) * t.options.ReportFactor)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reported)
}
