// Package platform simulates the platform for the lab: a configuration service
// that can be read and watched, and a VM list whose changes are served with a
// delay. It serves the operators' configuration file, split into a manifest and
// parts.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"
)

// Value is the value of a key with its revision.
type Value struct {
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

// Mode selects how the platform answers reads.
type Mode string

// Modes of a platform.
const (
	// Up returns the newest value.
	Up Mode = "up"
	// Down closes the connection of every read without an answer.
	Down Mode = "down"
	// Stale returns the value before the newest one.
	Stale Mode = "stale"
)

// entry holds the newest value of a key and the one before it.
type entry struct {
	newest, previous Value
}

// store holds the values. A change of any value or of the mode closes changed
// and replaces it.
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
	s.notifyWaiters()
}

func (s *store) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}

// notifyWaiters wakes all long polls. The caller holds s.mu.
func (s *store) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put stores a value under a new revision, unless it equals the newest value.
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
	s.notifyWaiters()
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

// staleWait bounds the wait of a long poll for a key whose current revision is
// lower than the one that the client already has.
const staleWait = 200 * time.Millisecond

// wait returns the value of key once its revision is higher than after, or the
// current value once limit has passed, ctx ends or the mode is Down.
func (s *store) wait(ctx context.Context, key string, after uint64, limit time.Duration) (Value, bool) {
	if v, ok, _ := s.get(key); ok && v.Revision < after {
		limit = min(limit, staleWait)
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
