package platform_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/node/platform"
)

func startServer(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(handler)
	t.Cleanup(s.Close)
	return s.URL
}

func newReader(t *testing.T, urls ...string) *platform.Reader {
	t.Helper()
	r, err := platform.New(platform.Options{URLs: urls, Timeout: time.Second})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

// Guards against a reader that gives up at a failing base URL although another
// one works, and against one that calls the failing URL again each time.
func TestSeveralURLs(t *testing.T) {
	var dead, live atomic.Int32
	bad := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		dead.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	good := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		live.Add(1)
		fmt.Fprintf(w, `{"revision":3,"value":%q}`, r.URL.RequestURI())
	})
	r := newReader(t, bad, good+"/")
	v, err := r.Get(context.Background(), platform.KeyManifest)
	assert.NilError(t, err)
	assert.Equal(t, v.Revision, uint64(3))
	assert.Equal(t, string(v.Data), `"/v1/values/manifest"`)
	v, err = r.Watch(context.Background(), "parts/ab", 7, 20*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(v.Data), `"/v1/values/parts/ab?after=7&wait=20s"`)
	assert.Equal(t, dead.Load(), int32(1))
}

// Guards against calls without backoff while the platform is down.
func TestBackoff(t *testing.T) {
	var calls atomic.Int32
	r := newReader(t, startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusInternalServerError)
	}))
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	for ctx.Err() == nil {
		_, err := r.Get(ctx, platform.KeyVMs)
		assert.Assert(t, err != nil)
	}
	// The calls are at least 50, 100, 200 and 400 ms apart, so at most four
	// fit.
	assert.Assert(t, calls.Load() <= 4, "%d calls", calls.Load())
}

// Guards against a missing key that counts as a failure and causes backoff.
func TestNotFound(t *testing.T) {
	r := newReader(t, startServer(t, http.NotFound))
	for range 20 {
		_, err := r.Get(context.Background(), "parts/ab")
		assert.Assert(t, errors.Is(err, platform.ErrNotFound), "%v", err)
	}
}

// Guards against a watch that delays the stop of a process.
func TestWatchEndsWithContext(t *testing.T) {
	r := newReader(t, startServer(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err := r.Watch(ctx, platform.KeyManifest, 1, time.Minute)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Assert(t, time.Since(start) < time.Second)
}
