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
	headerRequestID  = "Request-Id"
	headerKey        = "Idempotency-Key"
	headerNextTicket = "Next-Ticket"
	headerRetryAfter = "Retry-After"

	// uploadChunks is the number of writes of a slow upload.
	uploadChunks = 8
)

// request is one attempt on its way.
type request struct {
	planned *planned
	service string
	address string
	id      string
	ticket  string
}

// build returns the HTTP request and reports through sent when its header is
// about to be written.
func (r *request) build(ctx context.Context, sent *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaderField: func(string, []string) { sent.Store(true) },
	})
	shape := r.planned.shape()
	built, err := http.NewRequestWithContext(ctx, shape.method, "https://"+r.address+r.planned.uri, nil)
	if err != nil {
		return nil, err
	}
	if shape.body > 0 {
		built.ContentLength = shape.body
		built.Body = io.NopCloser(&slowReader{answer.UploadBody(r.planned.id, shape.body), shape.body / uploadChunks, shape.pause})
	}
	built.Header.Set(headerRequestID, r.id)
	if r.ticket != "" {
		built.Header.Set(headerKey, r.ticket)
	}
	return built, nil
}

// slowReader pauses before each chunk.
type slowReader struct {
	io.Reader
	chunk int64
	pause time.Duration
}

// Read implements io.Reader.
func (s *slowReader) Read(p []byte) (int, error) {
	if s.pause == 0 {
		return s.Reader.Read(p)
	}
	time.Sleep(s.pause)
	return s.Reader.Read(p[:min(int64(len(p)), s.chunk)])
}

// run makes one attempt on a flow.
func (r *request) run(ctx context.Context, f *flow, timeout time.Duration) Attempt {
	defer f.begin()()
	attempt := r.exchange(ctx, f, timeout)
	// A request that the server rejected explicitly, as it does after GOAWAY,
	// ended before its connection did.
	if attempt.Sent && attempt.Err != "" && !attempt.Explicit && !f.alive() {
		f.interrupted.Store(true)
	}
	return attempt
}

func (r *request) exchange(ctx context.Context, f *flow, timeout time.Duration) Attempt {
	attempt := Attempt{ID: r.id, Ticket: r.ticket}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var sent atomic.Bool
	built, err := r.build(ctx, &sent)
	if err != nil {
		return attempt.fail(err)
	}
	response, err := f.http.RoundTrip(built)
	attempt.Sent = sent.Load()
	if err != nil {
		return attempt.fail(err)
	}
	defer response.Body.Close()
	hash, size, err := answer.Hash(response.Body)
	attempt.read(response, err)
	if attempt.Verdict == verdict.Ran && response.StatusCode == http.StatusOK && (size != r.planned.shape().answer || hash != r.wantHash()) {
		attempt.WrongAnswer, attempt.Verdict = true, verdict.MayHaveRun
	}
	return attempt
}

func (r *request) wantHash() string {
	shape := r.planned.shape()
	bodyHash, _, _ := answer.Hash(answer.UploadBody(r.planned.id, shape.body))
	hash, _, _ := answer.Hash(answer.Body(answer.Request{
		Service: r.service, Method: shape.method, URI: r.planned.uri, ID: r.id, BodyHash: bodyHash, Size: shape.answer,
	}))
	return hash
}

// fail sets the verdict of an attempt without a complete answer. A request
// that was not sent or that the server rejected as defined in RFC 9114,
// section 4.1.1, did not run.
func (a Attempt) fail(err error) Attempt {
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

// read sets the verdict of an attempt from the response and the error of
// reading its body.
func (a *Attempt) read(response *http.Response, err error) {
	a.Status = response.StatusCode
	a.nextTicket = response.Header.Get(headerNextTicket)
	if seconds, err := strconv.Atoi(response.Header.Get(headerRetryAfter)); err == nil {
		a.retryAfter = time.Duration(seconds) * time.Second
	}
	a.Verdict, a.Explicit = verdict.Parse(response.Header.Get(verdict.Header))
	switch {
	case err != nil:
		// The header came before the body broke, so it says nothing.
		a.Err = err.Error()
		a.Verdict, a.Explicit = verdict.MayHaveRun, false
	case a.Status == http.StatusOK && !a.Explicit:
		a.Verdict = verdict.Ran
	}
}
