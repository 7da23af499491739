package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes is how much of a request body is kept for further attempts. A
// larger body is sent at most once.
const maxReplayBytes = 64 << 10

// replayBody lets successive attempts read the same request body from its
// start. An earlier attempt may still be reading when the next one starts. The
// bytes that it reads from the source are buffered for the others, up to
// maxReplayBytes.
type replayBody struct {
	length int64
	// sourceMu is held while the source is read. The read can block for as long
	// as the caller sends nothing, so only readers wait for sourceMu.
	sourceMu sync.Mutex
	source   io.Reader

	mu sync.Mutex
	// buffered is the start of the body. It is nil once the body exceeds
	// maxReplayBytes.
	buffered []byte
	overflow bool
	// consumed is how many bytes were read from the source.
	consumed int
	err      error
}

// errBodyConsumed ends an attempt if an earlier attempt has read the next bytes
// from the source and they are not buffered.
var errBodyConsumed = errors.New("an earlier attempt consumed a part of the request body")

// newReplayBody wraps the body of a request. It returns nil if there is none. A
// GET or HEAD body of unknown length counts as none, because waiting for its
// end could block.
func newReplayBody(r *http.Request) *replayBody {
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 || safe && r.ContentLength < 0 {
		return nil
	}
	return &replayBody{length: r.ContentLength, source: r.Body}
}

// newReader returns a reader that begins at the start of the body, or false if
// the start is no longer buffered. The reader calls progress after each read
// that returns bytes.
func (b *replayBody) newReader(progress func()) (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	return &replayReader{body: b, progress: progress}, true
}

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	if n, err := b.readBuffered(p, offset); n > 0 || err != nil {
		return n, err
	}
	b.sourceMu.Lock()
	defer b.sourceMu.Unlock()
	// Another reader may have read the next bytes in the meantime.
	if n, err := b.readBuffered(p, offset); n > 0 || err != nil {
		return n, err
	}
	if !b.atSource(offset) {
		return 0, errBodyConsumed
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffer(p[:n])
	b.consumed += n
	b.err = err
	return n, err
}

// atSource reports whether the next read of the source returns the byte at
// offset.
func (b *replayBody) atSource(offset int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset == b.consumed
}

// readBuffered copies buffered bytes at offset to p. At the end of the consumed
// bytes, it returns the source's error, if there is one.
func (b *replayBody) readBuffered(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case offset < len(b.buffered):
		return copy(p, b.buffered[offset:]), nil
	case offset < b.consumed:
		return 0, errBodyConsumed
	default:
		return 0, b.err
	}
}

// buffer appends p to the buffered start of the body. The caller must hold mu.
func (b *replayBody) buffer(p []byte) {
	if b.overflow {
		return
	}
	if len(b.buffered)+len(p) > maxReplayBytes {
		b.buffered, b.overflow = nil, true
		return
	}
	b.buffered = append(b.buffered, p...)
}

// replayReader reads the body for one attempt. It is not http.NoBody, and the
// request has no GetBody, so net/http does not repeat the request by itself.
type replayReader struct {
	body   *replayBody
	offset int
	// progress is called after each read that returns bytes.
	progress func()
}

// Read implements io.Reader.
func (r *replayReader) Read(p []byte) (int, error) {
	n, err := r.body.readAt(p, r.offset)
	r.offset += n
	if n > 0 {
		r.progress()
	}
	return n, err
}

// Close implements io.Closer. It leaves the source open for the next attempt.
func (r *replayReader) Close() error { return nil }
