package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func newTestBody(text io.Reader, length int64) *replayBody {
	return newReplayBody(&http.Request{Method: http.MethodPost, Body: io.NopCloser(text), ContentLength: length})
}

// Guards against an attempt that skips or repeats bytes that an earlier attempt
// has read.
func TestEveryAttemptReadsTheWholeBody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, maxReplayBytes).Draw(t, "size")
		text := strings.Repeat("0123456789", size/10+1)[:size]
		b := newTestBody(strings.NewReader(text), -1)
		for _, part := range rapid.SliceOfN(rapid.IntRange(0, size), 0, 5).Draw(t, "parts") {
			attempt, ok := b.newReader(func() {})
			assert.Assert(t, ok)
			got, err := io.ReadAll(io.LimitReader(attempt, int64(part)))
			assert.NilError(t, err)
			assert.Equal(t, string(got), text[:part])
		}
		attempt, _ := b.newReader(func() {})
		got, err := io.ReadAll(attempt)
		assert.NilError(t, err)
		assert.Equal(t, string(got), text)
	})
}

// Guards against a second attempt with a body whose start is no longer
// buffered.
func TestLargeBodyIsReadOnce(t *testing.T) {
	b := newTestBody(strings.NewReader(strings.Repeat("a", maxReplayBytes+1)), -1)
	first, ok := b.newReader(func() {})
	assert.Assert(t, ok)
	_, err := io.Copy(io.Discard, first)
	assert.NilError(t, err)
	_, ok = b.newReader(func() {})
	assert.Assert(t, !ok)
}

// Guards against an attempt that waits for the reader of an earlier one while
// that reader is blocked until the caller sends more.
func TestAbandonedReaderDoesNotBlockTheNext(t *testing.T) {
	source, caller := io.Pipe()
	b := newTestBody(source, -1)
	first, _ := b.newReader(func() {})
	buffer := make([]byte, 5)
	go func() { _, _ = caller.Write([]byte("start")) }()
	_, err := io.ReadFull(first, buffer)
	assert.NilError(t, err)
	abandoned := make(chan struct{})
	go func() {
		_, _ = first.Read(make([]byte, 3))
		close(abandoned)
	}()
	second, ok := b.newReader(func() {})
	assert.Assert(t, ok)
	_, err = io.ReadFull(second, buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer), "start")
	go func() {
		_, _ = caller.Write([]byte(" end"))
		_ = caller.Close()
	}()
	rest, err := io.ReadAll(second)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), " end")
	<-abandoned
}

// Guards against a body with a gap. After the next attempt has started, the
// reader of the abandoned attempt reads the bytes that exceed the limit, and
// they are not buffered for the next attempt.
func TestBytesConsumedByAbandonedReaderAreAnError(t *testing.T) {
	b := newTestBody(strings.NewReader(strings.Repeat("a", maxReplayBytes+10)), -1)
	first, _ := b.newReader(func() {})
	second, ok := b.newReader(func() {})
	assert.Assert(t, ok)
	_, err := io.Copy(io.Discard, first)
	assert.NilError(t, err)
	_, err = io.ReadAll(second)
	assert.ErrorIs(t, err, errBodyConsumed)
}
