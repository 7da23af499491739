package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

// replayLimit is how much of a request body is kept for another attempt, in
// bytes. A larger body is sent at most once.
const replayLimit = 64 << 10

// replayBody lets several attempts read a request body, one after the other.
// An earlier attempt may still be reading when the next one starts; what it
// takes from the source is kept, so no byte is lost.
type replayBody struct {
	length int64
	// reading is held while the source is read, which can block for as long
	// as the caller sends nothing. Only readers wait for it.
	reading sync.Mutex
	source  io.Reader

	mu sync.Mutex
	// kept is the start of the body. It is nil once the body is over the
	// limit.
	kept     []byte
	overflow bool
	// taken is how much of the body was read from the source, in bytes.
	taken int
	err   error
}

// errBodyTaken ends an attempt whose next bytes an earlier attempt has taken
// and that are no longer kept.
var errBodyTaken = errors.New("an earlier attempt has taken a part of the body")

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

// attempt returns a reader from the start of the body, and false if the start
// is no longer kept. progress is called after each piece that is read.
func (b *replayBody) attempt(progress func()) (io.ReadCloser, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	return &attemptBody{body: b, progress: progress}, true
}

func (b *replayBody) readAt(p []byte, offset int) (int, error) {
	if n, err := b.readKept(p, offset); n > 0 || err != nil {
		return n, err
	}
	b.reading.Lock()
	defer b.reading.Unlock()
	// Another reader may have taken the next bytes meanwhile.
	if n, err := b.readKept(p, offset); n > 0 || err != nil {
		return n, err
	}
	if !b.atSource(offset) {
		return 0, errBodyTaken
	}
	n, err := b.source.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(p[:n])
	b.taken += n
	b.err = err
	return n, err
}

// atSource says that the source continues at the offset.
func (b *replayBody) atSource(offset int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return offset == b.taken
}

// readKept returns what is known of the body at the offset.
func (b *replayBody) readKept(p []byte, offset int) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case offset < len(b.kept):
		return copy(p, b.kept[offset:]), nil
	case offset < b.taken:
		return 0, errBodyTaken
	default:
		return 0, b.err
	}
}

// keep needs mu.
func (b *replayBody) keep(p []byte) {
	if b.overflow {
		return
	}
	if len(b.kept)+len(p) > replayLimit {
		b.kept, b.overflow = nil, true
		return
	}
	b.kept = append(b.kept, p...)
}

// attemptBody is the body as one attempt reads it. It is not http.NoBody and
// has no GetBody, which keeps net/http from repeating a request by itself.
type attemptBody struct {
	body   *replayBody
	offset int
	// progress is called after each piece.
	progress func()
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	n, err := a.body.readAt(p, a.offset)
	a.offset += n
	if n > 0 {
		a.progress()
	}
	return n, err
}

// Close implements io.Closer. The source stays open for the next attempt.
func (a *attemptBody) Close() error { return nil }
