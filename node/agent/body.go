package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// maxReplayBytes is how much of a request body is kept for another attempt, in
// bytes. A larger body is sent at most once.
const maxReplayBytes = 64 << 10

// replayBody lets several attempts read a request body, one after the other.
// An earlier attempt may still be reading when the next one starts; what it
// takes from the source is kept, so no byte is lost.
type replayBody struct {
	length int64
	// sourceMu is held while the source is read, which can block for as long
	// as the caller sends nothing. Only readers wait for it.
	sourceMu sync.Mutex
	source   io.Reader

	mu sync.Mutex
	// buffered is the start of the body. It is nil once the body is over the
	// limit.
	buffered []byte
	overflow bool
	// consumed is how much of the body was read from the source, in bytes.
	consumed int
	err      error
}

// errBodyConsumed ends an attempt whose next bytes an earlier attempt has taken
// and that are no longer kept.
var errBodyConsumed = errors.New("an earlier attempt has taken a part of the body")

// newReplayBody takes over the body of a request. It returns nil if there is
// none. A body without a length on GET and HEAD counts as none, because waiting
// for its end could block.
func newReplayBody(r *http.Request) *replayBody {
	safe := r.Method == http.MethodGet || r.Method == http.MethodHead
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 || safe && r.ContentLength < 0 {
		return nil
	}
	return &replayBody{length: r.ContentLength, source: r.Body}
}

// newReader returns a reader from the start of the body, and false if the start
// is no longer kept. progress is called after each piece that is read.
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
	// Another reader may have taken the next bytes meanwhile.
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

// atSource says that the source continues at the offset.
func (b *replayBody) atSource(offset int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset == b.consumed
}

// readBuffered returns what is known of the body at the offset.
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

// buffer needs mu.
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

// replayReader is the body as one attempt reads it. It is not http.NoBody and
// has no GetBody, which keeps net/http from repeating a request by itself.
type replayReader struct {
	body   *replayBody
	offset int
	// progress is called after each piece.
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

// Close implements io.Closer. The source stays open for the next attempt.
func (r *replayReader) Close() error { return nil }
