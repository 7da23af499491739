package agent

import (
	"bytes"
	"crypto/rand"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
)

// shortReader returns its data in reads of the given sizes, in turn.
type shortReader struct {
	data  []byte
	sizes []int
	reads int
}

func (r *shortReader) Read(p []byte) (int, error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), r.sizes[r.reads%len(r.sizes)])], r.data)
	r.data = r.data[n:]
	r.reads++
	return n, nil
}

// Guards against responses that lose, repeat or reorder bytes when the copy
// changes between the small and the large buffer, and against a truncated body
// that counts as complete.
func TestCopyBetweenBuffers(t *testing.T) {
	body := make([]byte, 200_000)
	_, _ = rand.Read(body)
	for _, size := range []int{0, 1, waitBufferSize - 1, waitBufferSize, waitBufferSize + 1, waitBufferSize + copyBufferSize, len(body)} {
		for _, sizes := range [][]int{{1 << 20}, {waitBufferSize}, {700, 1 << 20, 1}, {waitBufferSize, 5, copyBufferSize}} {
			w := httptest.NewRecorder()
			assert.NilError(t, copyAndFlush(w, http.NewResponseController(w), &shortReader{data: body[:size], sizes: sizes}))
			assert.Assert(t, bytes.Equal(w.Body.Bytes(), body[:size]), "%d bytes in pieces of %v", size, sizes)
		}
		w := httptest.NewRecorder()
		broken := io.MultiReader(bytes.NewReader(body[:size]), iotest.ErrReader(io.ErrUnexpectedEOF))
		assert.ErrorIs(t, copyAndFlush(w, http.NewResponseController(w), broken), io.ErrUnexpectedEOF)
	}
}
