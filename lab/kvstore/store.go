// Package kvstore simulates the key-value store of the users' platform: entries
// with revisions that can be read, listed and watched over HTTP. It injects the
// faults that the store's published description lists.
package kvstore

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWait bounds the duration of a watch call.
const maxWait = 30 * time.Second

// eraHeader is the header of all responses that counts how often the store came
// back from a backup.
const eraHeader = "Store-Era"

// pageSize is the maximum number of entries in one page of a listing.
const pageSize = 500

// Item is an entry, or an event that reports its change or removal.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// Fault selects a fault that the store injects into all calls.
type Fault string

// Faults of the store.
const (
	None Fault = ""
	// Unavailable returns status 503, TooManyRequests returns status 429.
	Unavailable     Fault = "busy"
	TooManyRequests Fault = "many"
	// Silent never answers.
	Silent Fault = "silent"
	// Reset closes the connection without an answer.
	Reset Fault = "reset"
	// Slow answers after slowDelay.
	Slow Fault = "slow"
)

// slowDelay is the delay that the fault Slow adds to a call.
const slowDelay = 200 * time.Millisecond

// Store is the simulated store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	history  []Item
	// compactedTo is the highest revision whose event has been compacted.
	compactedTo uint64
	changed     chan struct{}
	fault       Fault
	calls       int
	// era is 1 plus the number of calls of Restore.
	era uint64
}

// New returns an empty store.
func New() *Store {
	return &Store{items: map[string]Item{}, changed: make(chan struct{}), revision: 1, era: 1}
}

// Put stores an entry and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.appendEvent(it)
	return s.revision
}

// Remove removes the entry of key, if there is one.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.appendEvent(Item{Key: key, Revision: s.revision, Removed: true})
}

func (s *Store) appendEvent(it Item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops all past events. A watch from before them, and one from a
// revision that the store has not reached, fails with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// Backup is a copy of the state of a Store.
type Backup struct {
	revision, compactedTo uint64
	items                 map[string]Item
	history               []Item
}

// Backup returns a copy of the current state.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{s.revision, s.compactedTo, maps.Clone(s.items), slices.Clone(s.history)}
}

// Restore returns the store to the state of a backup. All later changes are
// lost, and their revisions are given out again.
func (s *Store) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.compactedTo, s.items, s.history = b.revision, b.compactedTo, maps.Clone(b.items), slices.Clone(b.history)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Values returns the values of all entries by key.
func (s *Store) Values() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string][]byte, len(s.items))
	for key, it := range s.items {
		values[key] = it.Value
	}
	return values
}

// SetFault sets the fault of all calls, including watches that are waiting.
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
	w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if !s.applyFault(w, r, fault) {
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

// applyFault applies a fault to a call and reports whether the call continues.
func (s *Store) applyFault(w http.ResponseWriter, r *http.Request, f Fault) bool {
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
		time.Sleep(slowDelay)
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
	writeJSON(w, struct {
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
	writeJSON(w, map[string]any{"items": items[:min(len(items), pageSize)], "truncated": truncated, "current-rev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, waitErr := strconv.Atoi(query.Get("wait-ms"))
	if err != nil || waitErr != nil {
		http.Error(w, "after and wait-ms are numbers", http.StatusBadRequest)
		return
	}
	limit := time.After(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	for {
		s.mu.Lock()
		changed, fault := s.changed, s.fault
		w.Header().Set(eraHeader, strconv.FormatUint(s.era, 10))
		unknown := after < s.compactedTo || after > s.revision
		events, current := s.eventsSince(query.Get("prefix"), after), s.revision
		s.mu.Unlock()
		if !s.applyFault(w, r, fault) {
			return
		}
		if unknown {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-limit:
			writeJSON(w, map[string]any{"events": []Item{}, "current-rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsSince(prefix string, after uint64) (events []Item) {
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
