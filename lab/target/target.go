// Package target is a stand-in for a server behind the load balancer: an
// HTTP/1.1 server with slots, a speed, a cold start, optional load shedding,
// and a log of what it ran.
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
	// TickerPath is the path of the ticker, which holds no slot.
	TickerPath = "/ticker"
	// LoadPath is the path of the load report.
	LoadPath = "/load"

	requestID      = "Request-Id"
	idempotencyKey = "Idempotency-Key"
	// coldSpeed is the part of its speed that a target has at its start.
	coldSpeed       = 0.25
	defaultInterval = 200 * time.Millisecond
)

// Options describe a target.
type Options struct {
	Name    string
	Service string
	// Slots is how many requests run at once.
	Slots int
	// Speed divides the work of a request.
	Speed float64
	// ColdStart is how long the target takes to reach its speed.
	ColdStart time.Duration
	// ShedAt is the number of waiting requests from which the target refuses.
	// Zero means that it never refuses.
	ShedAt int
	// ReportFactor multiplies the figures of the load report. Default 1.
	ReportFactor float64
	// ReportAge is how old the figures of the load report are.
	ReportAge time.Duration
	// Log receives the log.
	Log io.Writer
}

// Target is an http.Handler. Create it with New.
type Target struct {
	options Options
	journal *journal
	slots   chan struct{}
	waiting atomic.Int64
	started time.Time
	reports *reports
}

// New returns a target and logs that it listens.
func New(options Options) *Target {
	if options.ReportFactor == 0 {
		options.ReportFactor = 1
	}
	t := &Target{
		options: options,
		journal: newJournal(options.Log),
		slots:   make(chan struct{}, options.Slots),
		started: time.Now(),
		reports: newReports(options.ReportAge),
	}
	t.journal.write(Entry{Event: Listen, Service: options.Service, Target: options.Name, Slots: options.Slots, Speed: options.Speed})
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

func (t *Target) entry(event Event, r *http.Request) Entry {
	return Entry{
		Event: event, Service: t.options.Service, Target: t.options.Name,
		ID: r.Header.Get(requestID), Key: r.Header.Get(idempotencyKey), Method: r.Method, Path: r.URL.Path,
	}
}

// serveWork holds a slot for the work that the query asks for.
func (t *Target) serveWork(w http.ResponseWriter, r *http.Request) {
	if !t.takeSlot(r) {
		t.journal.write(t.entry(Shed, r))
		w.Header().Set("Retry-After", "1")
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.slots }()
	start, end := t.entry(Start, r), t.entry(End, r)
	start.Slot, end.Slot = true, true
	t.journal.write(start)
	// Deferred, because a broken connection ends the handler with a panic.
	defer func() { t.journal.write(end) }()
	bodyHash, _, err := answer.Hash(r.Body)
	if err != nil || !t.work(r, &end) {
		panic(http.ErrAbortHandler)
	}
	// A caller may read the answer before this function ends, so the run is
	// complete once the answer is handed to the connection.
	end.Complete = t.writeAnswer(w, r, bodyHash) == nil
}

// takeSlot waits for a slot. It fails if the target sheds load or the caller
// is gone.
func (t *Target) takeSlot(r *http.Request) bool {
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

// work takes the time that the query asks for, divided by the speed.
func (t *Target) work(r *http.Request, end *Entry) bool {
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

// speed rises from coldSpeed to the full speed during the cold start.
func (t *Target) speed() float64 {
	age := time.Since(t.started)
	if age >= t.options.ColdStart {
		return t.options.Speed
	}
	warm := float64(age) / float64(t.options.ColdStart)
	return t.options.Speed * (coldSpeed + (1-coldSpeed)*warm)
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, bodyHash string) error {
	size, _ := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64)
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, err := io.Copy(w, answer.Body(answer.Request{
		Service: t.options.Service, Method: r.Method, URI: r.URL.RequestURI(),
		ID: r.Header.Get(requestID), BodyHash: bodyHash, Size: size,
	}))
	return err
}

// serveTicker writes one line per interval until the caller is gone.
func (t *Target) serveTicker(w http.ResponseWriter, r *http.Request) {
	interval, err := time.ParseDuration(r.URL.Query().Get("interval"))
	if err != nil || interval <= 0 {
		interval = defaultInterval
	}
	t.journal.write(t.entry(Start, r))
	defer func() { t.journal.write(t.entry(End, r)) }()
	base := answer.BaseID(r.Header.Get(requestID))
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
	now := report{Busy: len(t.slots), Waiting: int(t.waiting.Load()), Slots: t.options.Slots}
	shown := t.reports.exchange(time.Now(), now)
	shown.Busy = int(float64(shown.Busy) * t.options.ReportFactor)
	shown.Waiting = int(float64(shown.Waiting) * t.options.ReportFactor)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(shown)
}
