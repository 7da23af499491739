package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"
	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/answer"
)

const (
	headerRequestID      = "Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerNextTicket     = "Next-Ticket"
	headerRetryAfter     = "Retry-After"

	// uploadChunks is the number of writes of a slow upload.
	uploadChunks = 8
)

// attemptRequest is the request of one attempt.
type attemptRequest struct {
	planned *plannedRequest
	service string
	address string
	id      string
	ticket  string
}

// newHTTPRequest returns the HTTP request. The request sets sent when its header
// is about to be written.
func (r *attemptRequest) newHTTPRequest(ctx context.Context, sent *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	shape := r.planned.shape()
	built, err := http.NewRequestWithContext(ctx, shape.method, "https://"+r.address+r.planned.uri, nil)
	if err != nil {
		return nil, err
	}
	if shape.bodySize > 0 {
		built.ContentLength = shape.bodySize
		built.Body = io.NopCloser(&slowReader{answer.UploadBody(r.planned.id, shape.bodySize), shape.bodySize / uploadChunks, shape.chunkPause})
	}
	built.Header.Set(headerRequestID, r.id)
	if r.ticket != "" {
		built.Header.Set(headerIdempotencyKey, r.ticket)
	}
	return built, nil
}

// slowReader sleeps for pause before it reads a chunk of at most chunkSize bytes.
// Without a pause it does not limit the size.
type slowReader struct {
	io.Reader
	chunkSize int64
	pause     time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.pause == 0 {
		return s.Reader.Read(p)
	}
	time.Sleep(s.pause)
	return s.Reader.Read(p[:min(int64(len(p)), s.chunkSize)])
}

// send makes the attempt on a flow.
func (r *attemptRequest) send(ctx context.Context, f *flow, timeout time.Duration) Attempt {
	defer f.beginRequest()()
	attempt := r.roundTrip(ctx, f, timeout)
	// A request that the server rejected explicitly, as it does after GOAWAY,
	// ended before the connection and does not count as interrupted.
	if attempt.Sent && attempt.Err != "" && !attempt.Explicit && !f.alive() {
		f.interrupted.Store(true)
	}
	return attempt
}

func (r *attemptRequest) roundTrip(ctx context.Context, f *flow, timeout time.Duration) Attempt {
	attempt := Attempt{ID: r.id, Ticket: r.ticket}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	built, err := r.newHTTPRequest(ctx, &sent)
	if err != nil {
		return attempt.withError(err)
	}
	response, err := f.http.RoundTrip(built)
	attempt.Sent = sent.Load()
	if err != nil {
		return attempt.withError(err)
	}
	defer response.Body.Close()
	hash, size, err := answer.Hash(response.Body)
	attempt.setResponse(response, err)
	if attempt.Verdict == verdict.Ran && response.StatusCode == http.StatusOK && (size != r.planned.shape().answerSize || hash != r.expectedHash()) {
		attempt.WrongAnswer, attempt.Verdict = true, verdict.MayHaveRun
	}
	return attempt
}

func (r *attemptRequest) expectedHash() string {
	shape := r.planned.shape()
	bodyHash, _, _ := answer.Hash(answer.UploadBody(r.planned.id, shape.bodySize))
	hash, _, _ := answer.Hash(answer.Body(answer.Request{
		Service: r.service, Method: shape.method, URI: r.planned.uri, ID: r.id, BodyHash: bodyHash, Size: shape.answerSize,
	}))
	return hash
}

// withError returns the attempt with the error and the verdict of an incomplete
// exchange. A request that was not sent, or that the server rejected as defined
// in RFC 9114, section 4.1.1, did not run.
func (a Attempt) withError(err error) Attempt {
	a.Err = err.Error()
	a.Verdict = verdict.MayHaveRun
	var h3 *http3.Error
	rejected := errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected
	if rejected || !a.Sent {
		a.Verdict = verdict.NotRun
		a.Explicit = rejected
	}
	return a
}

// setResponse sets the status, the verdict and the ticket of an attempt from the
// response. err is the error of reading its body.
func (a *Attempt) setResponse(response *http.Response, err error) {
	a.Status = response.StatusCode
	a.nextTicket = response.Header.Get(headerNextTicket)
	if seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter)); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	a.Verdict, a.Explicit = verdict.Parse(response.Header.Get(verdict.Header))
	switch {
	case err != nil:
		// The server sent the verdict before the body failed, so the verdict
		// does not cover the failure.
		a.Err = err.Error()
		a.Verdict, a.Explicit = verdict.MayHaveRun, false
	case a.Status == http.StatusOK && !a.Explicit:
		a.Verdict = verdict.Ran
	}
}
