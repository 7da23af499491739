package agent

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"trefoilweir.example/core/verdict"
)

const (
	// copyBufferSize is the size of the buffers that copy large response
	// bodies, in bytes.
	copyBufferSize = 32 << 10
	// waitBufferSize is the size of the buffer in which a response waits for
	// its next data, in bytes. It is small because an agent has thousands of
	// open tickers, which mostly wait.
	waitBufferSize = 2 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// forwardResponse forwards a response and flushes it after each read, because
// the events of a ticker must not be delayed. It returns an error if the
// response did not reach its end.
func forwardResponse(w http.ResponseWriter, response *http.Response) error {
	defer response.Body.Close()
	header := w.Header()
	for name, values := range endToEndHeaders(response.Header) {
		header[name] = values
	}
	if _, ok := verdict.Parse(header.Get(verdict.Header)); !ok {
		header.Set(verdict.Header, verdict.Ran.String())
	}
	w.WriteHeader(response.StatusCode)
	controller := http.NewResponseController(w)
	if err := controller.Flush(); err != nil {
		return err
	}
	if err := copyAndFlush(w, controller, response.Body); err != nil {
		return err
	}
	for name, values := range response.Trailer {
		header[http.TrailerPrefix+name] = values
	}
	return nil
}

func copyAndFlush(w io.Writer, controller *http.ResponseController, body io.Reader) error {
	small := make([]byte, waitBufferSize)
	for {
		n, end, err := copyPiece(w, controller, body, small)
		if err == nil && !end && n == len(small) {
			end, err = copyBurst(w, controller, body)
		}
		if err != nil || end {
			return err
		}
	}
}

// copyBurst copies with a large buffer until a short read shows that no more
// data is ready.
func copyBurst(w io.Writer, controller *http.ResponseController, body io.Reader) (end bool, err error) {
	buffer := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, end, err := copyPiece(w, controller, body, buffer[:])
		if err != nil || end || n < waitBufferSize {
			return end, err
		}
	}
}

// copyPiece copies and flushes the data of one read. end reports that the body
// is complete.
func copyPiece(w io.Writer, controller *http.ResponseController, body io.Reader, buffer []byte) (n int, end bool, err error) {
	n, readErr := body.Read(buffer)
	if n > 0 {
		if _, err := w.Write(buffer[:n]); err != nil {
			return n, false, err
		}
		if err := controller.Flush(); err != nil {
			return n, false, err
		}
	}
	if readErr == io.EOF {
		return n, true, nil
	}
	return n, false, readErr
}

// isShed reports whether the target refused a request for lack of capacity and
// did not run it.
func isShed(response *http.Response) bool {
	v, ok := verdict.Parse(response.Header.Get(verdict.Header))
	return response.StatusCode == http.StatusServiceUnavailable && ok && v == verdict.NotRun
}

// refusal is an error response of the agent itself.
type refusal struct {
	status  int
	verdict verdict.Verdict
	reason  string
	// retryAfter is the value of Retry-After, in seconds. Empty means that a
	// repeat does not help.
	retryAfter string
}

func (f refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(verdict.Header, f.verdict.String())
	if f.retryAfter != "" {
		header.Set(retryAfterHeader, f.retryAfter)
	}
	w.WriteHeader(f.status)
	_, _ = io.WriteString(w, strings.ReplaceAll(f.reason, "_", " ")+"\n")
}

// emptyBody is a request body without content that is not http.NoBody.
type emptyBody struct{}

// Read implements io.Reader.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close implements io.Closer.
func (emptyBody) Close() error { return nil }
