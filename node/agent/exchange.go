package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"trefoilweir.example/core/verdict"
)

const (
	// dialTimeout bounds the dial to the target, which runs on this VM.
	dialTimeout = time.Second
	// probeInterval is how often a target that is down is dialled.
	probeInterval = 250 * time.Millisecond
)

// targetClient sends requests to the target of this agent over HTTP/1.1.
type targetClient struct {
	address   netip.AddrPort
	transport *http.Transport
	// down says that the last dial to the target failed.
	down atomic.Bool
}

func newTargetClient(address netip.AddrPort) *targetClient {
	t := &targetClient{address: address}
	t.transport = &http.Transport{
		DialContext:        t.dial,
		DisableCompression: true,
		// If the target closes a reused connection while a request is sent,
		// it is unknown whether the request ran, and net/http retries some
		// requests by itself. A new connection avoids both.
		DisableKeepAlives: true,
	}
	return t
}

func (t *targetClient) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, network, address)
	if err == nil || ctx.Err() == nil {
		t.down.Store(err != nil)
	}
	return conn, err
}

// probe dials the target at each probeInterval while it is down, until ctx ends.
func (t *targetClient) probe(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if !t.down.Load() {
				continue
			}
			if conn, err := t.dial(ctx, "tcp", t.address.String()); err == nil {
				_ = conn.Close()
			}
		}
	}
}

// attempt is the result of sending a request once, to the target or to a peer.
type attempt struct {
	response *http.Response
	// cancel ends the exchange. It must be called after the response body has
	// been read.
	cancel context.CancelFunc
	err    *verdict.Error
	// peer says that the request was sent to a peer.
	peer bool
}

// send sends a request to the target and returns when the header of the response
// has arrived. limit bounds this wait. Zero means no limit.
func (t *targetClient) send(ctx context.Context, rq *request, limit time.Duration) attempt {
	out := rq.outgoing()
	target := *rq.in.URL
	target.Scheme, target.Host, target.User = "http", t.address.String(), nil
	out.URL = &target
	if limit > 0 {
		out.Header.Set(deadlineHeader, formatMilliseconds(limit))
	}
	return rq.exchange(ctx, out, limit, t.roundTrip)
}

// roundTrip sends a request and fails if the answer has neither a content length
// nor a transfer encoding. The body of such an answer ends when the connection
// closes, so that a truncated body would look complete.
func (t *targetClient) roundTrip(out *http.Request) (*http.Response, error) {
	response, err := t.transport.RoundTrip(out)
	if err != nil || isFramed(response) {
		return response, err
	}
	_ = response.Body.Close()
	return nil, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reasonFraming}
}

func isFramed(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// exchange sends out with roundTrip and classifies a failure. If no connection
// was established, the request certainly did not run. limit bounds the wait for
// the answer. The wait starts again with each part of the body that is sent.
func (rq *request) exchange(ctx context.Context, out *http.Request, limit time.Duration,
	roundTrip func(*http.Request) (*http.Response, error),
) attempt {
	ctx, cancel := context.WithCancel(ctx)
	wait := newAnswerTimer(limit, cancel)
	if !rq.attachBody(out, wait.restart) {
		wait.stop()
		cancel()
		return attempt{err: &verdict.Error{Verdict: verdict.NotRun, Reason: reasonBody}}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := roundTrip(out.WithContext(traced))
	inTime := wait.stop()
	if err == nil && inTime {
		return attempt{response: response, cancel: cancel}
	}
	cancel()
	if err == nil {
		// The limit passed while the response header was received.
		_ = response.Body.Close()
		err = context.DeadlineExceeded
	}
	return attempt{err: classifyFailure(err, connected.Load(), !inTime)}
}

// Reasons for failed attempts, as stable keys.
const (
	reasonDial    = "dial_failed"
	reasonBroken  = "exchange_broken"
	reasonTimeout = "answer_timeout"
	reasonBody    = "body_not_replayable"
	reasonShed    = "shed"
	reasonFraming = "answer_without_length"
)

func classifyFailure(err error, connected, expired bool) *verdict.Error {
	var known *verdict.Error
	switch {
	case errors.As(err, &known):
		return known
	case !connected:
		return &verdict.Error{Verdict: verdict.NotRun, Reason: reasonDial, Err: trace.Wrap(err)}
	case expired:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reasonTimeout, Err: trace.Wrap(err)}
	default:
		return &verdict.Error{Verdict: verdict.MayHaveRun, Reason: reasonBroken, Err: trace.Wrap(err)}
	}
}
