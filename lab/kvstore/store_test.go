package kvstore

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func get(t *testing.T, s *Store, path string) (int, map[string]any) {
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	var body map[string]any
	if w.Code == http.StatusOK {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body))
	}
	return w.Code, body
}

// Guards against a simulated store that is more lenient than the real one: it
// must report removed entries, filter by prefix, reject a watch from before a
// compaction and inject faults.
func TestStore(t *testing.T) {
	s := New()
	first := s.Put("servers/a", []byte("1"))
	s.Put("op/config", []byte("2"))
	s.Remove("servers/a")
	code, _ := get(t, s, "/v1/kv-key?key=servers/a")
	assert.Equal(t, code, http.StatusNotFound)
	_, body := get(t, s, "/v1/kv-range?prefix=op/")
	assert.Equal(t, len(body["items"].([]any)), 1)
	_, body = get(t, s, "/v1/kv-watch?prefix=&after=2&wait-ms=1")
	assert.Equal(t, len(body["events"].([]any)), 2)
	_, body = get(t, s, "/v1/kv-watch?prefix=none&after=2&wait-ms=1")
	assert.Equal(t, len(body["events"].([]any)), 0)
	s.Compact()
	code, _ = get(t, s, "/v1/kv-watch?prefix=&after=2&wait-ms=1")
	assert.Equal(t, code, http.StatusGone)
	for fault, want := range map[Fault]int{Unavailable: http.StatusServiceUnavailable, TooManyRequests: http.StatusTooManyRequests} {
		s.SetFault(fault)
		code, _ = get(t, s, "/v1/kv-range?prefix=")
		assert.Equal(t, code, want)
	}
	assert.Equal(t, first, uint64(2))
}

// Guards against a simulated store whose return from a backup differs from that
// of the real one: later changes are lost, a watch from one of them is rejected
// until the revision is given out again, and the header counts the returns.
func TestRestore(t *testing.T) {
	s := New()
	s.Put("op/config", []byte("1"))
	backup := s.Backup()
	lost := s.Put("servers/a", []byte("2"))
	s.Restore(backup)
	code, _ := get(t, s, "/v1/kv-key?key=servers/a")
	assert.Equal(t, code, http.StatusNotFound)
	path := fmt.Sprintf("/v1/kv-watch?prefix=&after=%d&wait-ms=1", lost)
	code, _ = get(t, s, path)
	assert.Equal(t, code, http.StatusGone)
	assert.Equal(t, s.Put("servers/b", []byte("3")), lost)
	code, _ = get(t, s, path)
	assert.Equal(t, code, http.StatusOK)
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/kv-range?prefix=", nil))
	assert.Equal(t, w.Header().Get(eraHeader), "2")
}
