package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxWait bounds the wait of a long poll, so that a client that is gone does
// not hold its call for ever.
const maxWait = time.Minute

// Calls holds the number of calls since the start. A long poll is one call.
type Calls struct {
	Total         uint64            `json:"total"`
	ByKey         map[string]uint64 `json:"by_key"`
	PeakPerSecond uint64            `json:"peak_per_second"`
}

type callCounter struct {
	mu        sync.Mutex
	calls     Calls
	second    int64
	perSecond uint64
}

func newCallCounter() *callCounter {
	return &callCounter{calls: Calls{ByKey: map[string]uint64{}}}
}

func (c *callCounter) add(key string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if second := now.Unix(); second != c.second {
		c.second, c.perSecond = second, 0
	}
	c.perSecond++
	c.calls.PeakPerSecond = max(c.calls.PeakPerSecond, c.perSecond)
	c.calls.Total++
	c.calls.ByKey[key]++
}

func (c *callCounter) encode() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Marshal(c.calls)
}

// Handler returns the handler of the platform. It serves the value of a key at
// GET /v1/values/{key}, and the number of calls at GET /calls for tests. The
// parameter after turns a read into a long poll for a higher revision, and wait
// bounds the wait.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.serveValue)
	mux.HandleFunc("GET /calls", p.serveCalls)
	return mux
}

func (p *Platform) serveValue(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	p.calls.add(key, time.Now())
	after, wait, ok := readParameters(r)
	if !ok {
		http.Error(w, "after or wait is not valid", http.StatusBadRequest)
		return
	}
	value, found := p.store.wait(r.Context(), key, after, wait)
	switch {
	case p.store.currentMode() == Down:
		panic(http.ErrAbortHandler)
	case !found:
		http.Error(w, "no such key", http.StatusNotFound)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(value)
	}
}

func readParameters(r *http.Request) (after uint64, wait time.Duration, ok bool) {
	query := r.URL.Query()
	var err error
	if s := query.Get("after"); s != "" {
		if after, err = strconv.ParseUint(s, 10, 64); err != nil {
			return 0, 0, false
		}
	}
	if s := query.Get("wait"); s != "" {
		if wait, err = time.ParseDuration(s); err != nil || wait < 0 {
			return 0, 0, false
		}
	}
	return after, min(wait, maxWait), true
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	data, err := p.calls.encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
