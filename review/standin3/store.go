package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store of PROTOCOL.md, for readers.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Removed  bool   `json:"removed,omitempty"`
}

func newStore() *store {
	return &store{revision: 100, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a value, and returns when that is acknowledged.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: b, Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.add(it)
	return time.Now()
}

func (s *store) add(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.add(item{Key: key, Revision: s.revision, Removed: true})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		s.serveWatch(w, r, q.Get("prefix"), q.Get("after"), q.Get("wait-ms"))
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n := min(len(found), 500)
	_ = json.NewEncoder(w).Encode(map[string]any{"items": found[:n], "truncated": n < len(found), "current-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, prefix, afterText, waitText string) {
	after, err := strconv.ParseUint(afterText, 10, 64)
	wait, err2 := strconv.Atoi(waitText)
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	limit := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, current, changed := []item{}, s.revision, s.changed
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, it)
			}
		}
		s.mu.Unlock()
		done := len(events) > 0
		if !done {
			select {
			case <-changed:
				continue
			case <-limit:
			case <-r.Context().Done():
				return
			}
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current-rev": current})
		return
	}
}
