// Package platform is a stand-in for the platform: a configuration service
// that can be read and watched, and a list of VMs that lags. It serves the
// operators' configuration file, split into a manifest and parts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"
)

// Value is one answer of the configuration service.
type Value struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Mode is how the platform behaves.
type Mode string

// The modes.
const (
	// Up answers reads with the newest values.
	Up Mode = "up"
	// Down drops the connection of every read.
	Down Mode = "down"
	// Stale answers with the value before the newest one.
	Stale Mode = "stale"
)

// entry keeps the newest value of a key and the one before it.
type entry struct {
	newest, previous Value
}

// store holds the values. Waiting reads wake when anything changes.
type store struct {
	mu       sync.Mutex
	mode     Mode
	revision uint64
	entries  map[string]entry
	changed  chan struct{}
}

func newStore(mode Mode) *store {
	return &store{mode: mode, entries: map[string]entry{}, changed: make(chan struct{})}
}

func (s *store) setMode(mode Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
	s.wake()
}

func (s *store) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// wake requires the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores a value under a new revision unless it is the newest already.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[key]
	if known && bytes.Equal(e.newest.Value, value) {
		return
	}
	s.revision++
	next := Value{Revision: s.revision, Value: value}
	if known {
		e.previous = e.newest
	} else {
		e.previous = next
	}
	e.newest = next
	s.entries[key] = e
	s.wake()
}

func (s *store) get(key string) (v Value, ok bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if s.mode == Stale {
		return e.previous, ok, s.changed
	}
	return e.newest, ok, s.changed
}

// staleAnswer is how long a waiting read lasts whose answer is older than what
// the reader has.
const staleAnswer = 200 * time.Millisecond

// wait returns the value of key as soon as its revision is higher than after,
// and the current value when the wait is over.
func (s *store) wait(ctx context.Context, key string, after uint64, limit time.Duration) (Value, bool) {
	if v, ok, _ := s.get(key); ok && v.Revision < after {
		limit = min(limit, staleAnswer)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		v, ok, changed := s.get(key)
		if s.currentMode() == Down || ok && v.Revision > after {
			return v, ok
		}
		select {
		case <-ctx.Done():
			return v, ok
		case <-changed:
		}
	}
}
