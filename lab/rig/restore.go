package rig

import (
	"bytes"
	"strings"
	"time"

	"trefoilweir.example/lab/kvstore"
)

// RestoreStore makes the store unavailable and returns it from a backup after the
// time down. Then the operator and the targets write again what it has lost, each
// within a heartbeat, and entries of targets that have left expire.
func (s *System) RestoreStore(b *kvstore.Backup, down time.Duration) {
	s.Store.SetFault(kvstore.Reset)
	time.AfterFunc(down, func() {
		s.Store.Restore(b)
		s.Store.SetFault(kvstore.None)
		time.AfterFunc(heartbeatMS*time.Millisecond, s.writeAgain)
		time.AfterFunc(3*heartbeatMS*time.Millisecond, s.expireEntries)
	})
}

// writeAgain writes the routes and the entries that differ from those in the
// store.
func (s *System) writeAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.entries {
		s.putEntry(id, e)
	}
	s.zoneDrains.writeAgain(s.Store)
	if !bytes.Equal(s.Store.Values()[configKey], s.published) {
		s.Store.Put(configKey, s.published)
	}
}

// expireEntries removes the entries of targets that have left.
func (s *System) expireEntries() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.Store.Values() {
		if id, ok := strings.CutPrefix(key, entryPrefix); ok && s.entries[id] == nil {
			s.Store.Remove(key)
		}
	}
}
