package telemetry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/node/telemetry"
)

// blockedOutput is a writer that blocks until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *blockedOutput) Write(b []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(b)
}

// Guards against a writer that blocks the process when its output blocks, and
// against lines that are dropped without a report in the log.
func TestAsyncWriterNeverBlocks(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	set := telemetry.NewMetrics()
	w := telemetry.NewAsyncWriter(out, set)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	begin := time.Now()
	for range 1000 {
		_, err := w.Write(line)
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(begin) < 5*time.Second)
	dropped := set.GetOrCreateCounter("trefoilweir_log_lines_dropped_total").Get()
	assert.Assert(t, dropped > 0 && dropped < 1000)
	close(out.release)
	assert.NilError(t, w.Sync())
	_, err := w.Write(line)
	assert.NilError(t, err)
	assert.NilError(t, w.Sync())
	out.mu.Lock()
	defer out.mu.Unlock()
	assert.Assert(t, strings.Contains(out.text.String(), "log lines dropped"))
}
