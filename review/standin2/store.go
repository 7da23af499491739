package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storedItem is an item of the store, or an event.
type storedItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store, as PROTOCOL.md describes it.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storedItem
	events   []storedItem
	down     bool
	changed  chan struct{}
	server   *http.Server
}

func startStore(address string) (*store, error) {
	s := &store{revision: 1, items: map[string]storedItem{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key. It fails while the store is down.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	item := storedItem{Key: key, Value: value, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		item.Created = old.Created
	}
	s.items[key] = item
	s.events = append(s.events, item)
	s.notify()
	return true
}

// expire removes a key whose lease has run out, also while the store is down.
func (s *store) expire(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storedItem{Key: key, Revision: s.revision, Removed: true})
	s.notify()
}

func (s *store) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// ServeHTTP answers readers. While the store is down it resets the connections of all
// calls, those that wait included.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/v1/kv-key":
		s.serveKey(w, r)
	case r.URL.Path == "/v1/kv-range":
		s.serveRange(w, r)
	case r.URL.Path == "/v1/kv-watch":
		s.serveWatch(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		http.NotFound(w, r)
		return
	}
	_ = json.NewEncoder(w).Encode(struct {
		storedItem
		Current uint64 `json:"current-rev"`
	}{item, s.revision})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []storedItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b storedItem) int { return strings.Compare(a.Key, b.Key) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "truncated": false, "current-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	if err != nil || err2 != nil {
		http.Error(w, "{}", http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		events, current, changed, down := []storedItem{}, s.revision, s.changed, s.down
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || ended {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current-rev": current})
			return
		}
		select {
		case <-changed:
		case <-limit:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}
