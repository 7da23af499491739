package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxBufferSize bounds the total size of buffered lines, in bytes.
	maxBufferSize = 256 << 10
	// flushDelay is how long lines are buffered before they are written.
	flushDelay = 20 * time.Millisecond
)

// AsyncWriter writes log lines in the background. Write never blocks: when the
// output is slower than the process, lines are dropped and counted. Before the
// next accepted line, the writer adds a line with the number of dropped lines.
type AsyncWriter struct {
	out     io.Writer
	dropped *metrics.Counter

	mu                 sync.Mutex
	buffer             []byte
	spare              []byte
	droppedSinceReport int
	flushScheduled     bool
	// writing is held while a batch is written to out, so that batches keep
	// their order.
	writing sync.Mutex
}

// NewAsyncWriter returns a writer that counts dropped lines in set.
func NewAsyncWriter(out io.Writer, set *metrics.Set) *AsyncWriter {
	return &AsyncWriter{out: out, dropped: set.GetOrCreateCounter("trefoilweir_log_lines_dropped_total")}
}

// Write implements io.Writer. It takes one whole line.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > maxBufferSize {
		w.droppedSinceReport++
		w.dropped.Inc()
		return len(line), nil
	}
	if w.droppedSinceReport > 0 {
		w.buffer = fmt.Appendf(w.buffer, "{\"%s\":\"warn\",\"%s\":\"log lines dropped\",\"lines\":%d}\n", KeyLevel, KeyMessage, w.droppedSinceReport)
		w.droppedSinceReport = 0
	}
	w.buffer = append(w.buffer, line...)
	if !w.flushScheduled {
		w.flushScheduled = true
		time.AfterFunc(flushDelay, func() { _ = w.Sync() })
	}
	return len(line), nil
}

// Sync writes the buffered lines to the output.
func (w *AsyncWriter) Sync() error {
	w.writing.Lock()
	defer w.writing.Unlock()
	w.mu.Lock()
	batch := w.buffer
	w.buffer, w.spare, w.flushScheduled = w.spare[:0], nil, false
	w.mu.Unlock()
	_, err := w.out.Write(batch)
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
	return err
}
