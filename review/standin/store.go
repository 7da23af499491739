package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	historyAge   = 20 * time.Second
	maxPageItems = 500
	maxPageBytes = 1 << 20
	maxWatchWait = 30 * time.Second
)

// item is an entry of the store, or an event that reports its change or removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    *int   `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
	at       time.Time
}

// store is the platform's store, as far as the system reads it. It keeps its
// history for historyAge.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []item
	dropped   uint64 // the highest revision whose event is no longer kept
	changed   chan struct{}
	lastWatch map[string]time.Time // when the caller at a listening address last sent a waiting watch
	largest   map[string]int       // the largest response to the caller at a listening address, in bytes
	servers   []*http.Server
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), lastWatch: map[string]time.Time{}, largest: map[string]int{}}
}

// listen serves the store at an address. Each process has an address of its own,
// so that the stand-in can tell them apart.
func (s *store) listen(address string) error {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(address, w, r) })}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

func (s *store) put(key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	none := 0
	it := item{Key: key, Value: data, Revision: s.revision, Created: s.revision, Lease: &none, at: time.Now()}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.record(it)
	return s.revision
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.record(item{Key: key, Revision: s.revision, Removed: true, at: time.Now()})
}

func (s *store) record(it item) {
	s.history = append(s.history, it)
	s.expire()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyAge {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
}

func (s *store) serve(listener string, w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		current := s.revision
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(listener, w, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": 0, "current-rev": current})
	case "/v1/kv-range":
		s.serveRange(listener, w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
		if err != nil || waitErr != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.serveWatch(listener, w, r, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveRange(listener string, w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	current := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	n, size := 0, 0
	for n < len(items) && n < maxPageItems && (n == 0 || size+len(items[n].Value) <= maxPageBytes) {
		size += len(items[n].Value)
		n++
	}
	s.write(listener, w, map[string]any{"items": items[:n], "truncated": n < len(items), "current-rev": current})
}

func (s *store) serveWatch(listener string, w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	limit := time.NewTimer(min(wait, maxWatchWait))
	defer limit.Stop()
	for {
		s.mu.Lock()
		s.expire()
		if wait >= 500*time.Millisecond {
			s.lastWatch[listener] = time.Now()
		}
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events, current, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-limit.C:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || ended {
			s.write(listener, w, map[string]any{"events": events, "current-rev": current})
			return
		}
	}
}

func (s *store) write(listener string, w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.largest[listener] = max(s.largest[listener], len(data))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	// An error means that the caller has gone.
	_, _ = w.Write(data)
}

// watchers returns the listening addresses whose callers sent a waiting watch
// within the last two seconds.
func (s *store) watchers() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for listener, at := range s.lastWatch {
		if time.Since(at) < 2*time.Second {
			out[listener] = true
		}
	}
	return out
}

// largestResponse returns the largest response to the caller at a listening
// address, in bytes.
func (s *store) largestResponse(listener string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.largest[listener]
}

func (s *store) close() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
