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
	// dialTimeout bounds the connection to the target, which is on this VM.
	dialTimeout = time.Second
	// probeInterval is how often a target that is down is looked at.
	probeInterval = 250 * time.Millisecond
)

// targetClient sends requests to the local target over HTTP/1.1.
type targetClient struct {
	address   netip.AddrPort
	transport *http.Transport
	// down says that the last connection to the target failed.
	down atomic.Bool
}

func newTargetClient(address netip.AddrPort) *targetClient {
	t := &targetClient{address: address}
	t.transport = &http.Transport{
		DialContext:        t.dial,
		DisableCompression: true,
		// On a kept connection that the target closes meanwhile, it is
		// unknown whether a request ran, and net/http repeats some requests
		// by itself. A fresh connection has neither fault.
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

// probe connects to a target that is down, until it is up again.
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

// attempt is one sending of a request, to the target or to a peer.
type attempt struct {
	response *http.Response
	// cancel ends the exchange. It must be called after the response body has
	// been read.
	cancel context.CancelFunc
	err    *verdict.Error
	// peer says that the request was sent to a peer.
	peer bool
}

// send runs a request on the target and returns when the response header is
// there. limit bounds this wait; zero means no limit.
func (t *targetClient) send(ctx context.Context, rq *request, limit time.Duration) attempt {
	out := rq.outgoing()
	target := *rq.in.URL
	target.Scheme, target.Host, target.User = "http", t.address.String(), nil
	out.URL = &target
	if limit > 0 {
		out.Header.Set(deadlineHeader, milliseconds(limit))
	}
	return rq.exchange(ctx, out, limit, t.roundTrip)
}

// roundTrip fails if the answer has neither a length nor chunks. Its body would
// end with the connection, and one that broke off would look complete.
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

// exchange sends out with roundTrip and classifies a failure: before there was
// a connection, the request certainly did not run. limit bounds the wait for
// the answer, from the last piece of the body that was sent.
func (rq *request) exchange(ctx context.Context, out *http.Request, limit time.Duration,
	roundTrip func(*http.Request) (*http.Response, error),
) attempt {
	ctx, cancel := context.WithCancel(ctx)
	wait := newAnswerWait(limit, cancel)
	if !rq.attachBody(out, wait.restart) {
		wait.end()
		cancel()
		return attempt{err: &verdict.Error{Verdict: verdict.NotRun, Reason: reasonBody}}
	}
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := roundTrip(out.WithContext(traced))
	inTime := wait.end()
	if err == nil && inTime {
		return attempt{response: response, cancel: cancel}
	}
	cancel()
	if err == nil {
		// The limit passed while the answer came in.
		_ = response.Body.Close()
		err = context.DeadlineExceeded
	}
	return attempt{err: classifyFailure(err, connected.Load(), !inTime)}
}

// Reasons of failed attempts, as stable keys.
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
