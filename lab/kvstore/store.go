// Package kvstore is a stand-in for the store of the users' platform: entries
// with revisions that can be read, listed and watched over HTTP, with the
// faults that its published description names.
package kvstore

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait bounds a watch.
const maxWait = 30 * time.Second

// pageSize is the number of entries in one page of a listing.
const pageSize = 500

// Item is an entry, or an event about one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Fault is what the store does to calls.
type Fault string

// The faults.
const (
	None Fault = ""
	// Unavailable answers 503, Many answers 429.
	Unavailable     Fault = "busy"
	TooManyRequests Fault = "many"
	// Silent never answers, Lost does so after the work.
	Silent Fault = "silent"
	// Reset ends connections.
	Reset Fault = "reset"
	// Slow answers late.
	Slow Fault = "slow"
)

// slowBy is the delay of a slow store.
const slowBy = 200 * time.Millisecond

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// floor is the revision up to which the history is gone.
	floor   uint64
	changed chan struct{}
	fault   Fault
	calls   int
}

// New returns an empty store.
func New() *Store {
	return &Store{items: map[string]Item{}, changed: make(chan struct{}), revision: 1}
}

// Put writes an entry.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.append(it)
	return s.revision
}

// Remove removes an entry.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.append(Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) append(it Item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.floor = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets what happens to all calls.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls since the start.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	fault := s.fault
	s.mu.Unlock()
	if !s.pass(w, r, fault) {
		return
	}
	switch r.URL.Path {
	case "/v1/kv-key":
		s.serveKey(w, r)
	case "/v1/kv-range":
		s.serveRange(w, r)
	case "/v1/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// pass reports whether a call goes on.
func (s *Store) pass(w http.ResponseWriter, r *http.Request, f Fault) bool {
	switch f {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
	case TooManyRequests:
		w.WriteHeader(http.StatusTooManyRequests)
	case Silent:
		<-r.Context().Done()
	case Reset:
		panic(http.ErrAbortHandler)
	case Slow:
		time.Sleep(slowBy)
		return true
	default:
		return true
	}
	return false
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	answer(w, struct {
		Item
		Current uint64 `json:"current-rev"`
	}{it, s.revision})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []Item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > pageSize
	answer(w, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "current-rev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, err2 := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || err2 != nil {
		http.Error(w, "after and wait-ms are numbers", http.StatusBadRequest)
		return
	}
	limit := time.After(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	for {
		s.mu.Lock()
		changed, fault := s.changed, s.fault
		gone := after < s.floor
		events, current := s.since(query.Get("prefix"), after), s.revision
		s.mu.Unlock()
		if !s.pass(w, r, fault) {
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-limit:
			answer(w, map[string]any{"events": []Item{}, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(prefix string, after uint64) (events []Item) {
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A caller that has left is no fault of the store.
	_ = json.NewEncoder(w).Encode(v)
}
