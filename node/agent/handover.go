package agent

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/quic-go/quic-go/http3"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/verdict"
)

// runPath is the path on the peer link to which peers hand requests over.
const runPath = "/run"

// Headers of a handed-over request and its answer. They are used on the peer
// link only.
const (
	runServiceHeader   = "Run-Service"
	runMethodHeader    = "Run-Method"
	runURIHeader       = "Run-Uri"
	runAuthorityHeader = "Run-Authority"
	runGrantHeader     = "Run-Grant"
	runClassHeader     = "Run-Class"
	runDeadlineHeader  = "Run-Deadline-Ms"
	runOutcomeHeader   = "Run-Outcome"
	runReasonHeader    = "Run-Reason"
	// runAnswered and runFailed are the values of runOutcomeHeader. runAnswered
	// marks an answer of the target, and runFailed one of the agent itself.
	runAnswered = "answered"
	runFailed   = "failed"
)

var runHeaders = []string{
	runServiceHeader, runMethodHeader, runURIHeader, runAuthorityHeader, runGrantHeader, runClassHeader, runDeadlineHeader, runOutcomeHeader, runReasonHeader,
}

// stripRunHeaders removes the headers of the peer link. Callers and targets must
// neither receive nor set them.
func stripRunHeaders(header http.Header) {
	for _, name := range runHeaders {
		header.Del(name)
	}
}

// sendToPeer hands a request over to a peer. It returns when the header of the
// response has arrived.
func (a *Agent) sendToPeer(ctx context.Context, rq *request, h admission.HandOver) attempt {
	peer, ok := a.view().peer(h.Peer)
	if !ok {
		return attempt{err: &verdict.Error{Verdict: verdict.NotRun, Reason: "peer_removed"}}
	}
	out := rq.outgoing()
	out.Method, out.URL = http.MethodPost, &url.URL{Path: runPath}
	out.Header.Set(runServiceHeader, strconv.FormatUint(uint64(a.self.service), 10))
	out.Header.Set(runMethodHeader, rq.in.Method)
	out.Header.Set(runURIHeader, rq.in.URL.RequestURI())
	out.Header.Set(runAuthorityHeader, rq.in.Host)
	out.Header.Set(runGrantHeader, strconv.FormatUint(uint64(h.Grant), 10))
	out.Header.Set(runClassHeader, rq.class.Name)
	if rq.deadline > 0 {
		out.Header.Set(runDeadlineHeader, formatMilliseconds(max(rq.deadline-a.now(), 1)))
	}
	limit := a.answerLimit(rq)
	if limit > 0 {
		// The peer applies the limit to its target. The wait for the peer is
		// longer by the time for which it holds a granted slot.
		limit += admission.GrantLifetime
	}
	at := rq.exchange(ctx, out, limit, func(r *http.Request) (*http.Response, error) {
		response, err := a.peers.Do(r.Context(), peer.linkAddr, r)
		var h3 *http3.Error
		if errors.As(err, &h3) && h3.Remote && h3.ErrorCode == http3.ErrCodeRequestRejected {
			return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: "peer_rejected", Err: err}
		}
		return response, err
	})
	at.peer = true
	return at
}

// handleRun serves a request that a peer has handed over.
func (a *Agent) handleRun(w http.ResponseWriter, r *http.Request) {
	rq, reason := a.parseHandOver(r)
	if reason != "" {
		a.metrics.rejected("run", reason)
		(&request{fromPeer: true}).fail(w, refusal{
			status: http.StatusBadRequest, verdict: verdict.NotRun, reason: reason,
		})
		return
	}
	a.serveWithRecover(w, rq)
}

// parseHandOver restores the original request from a handed-over one. The second
// result names the malformed part. It is empty if there is none.
func (a *Agent) parseHandOver(r *http.Request) (*request, string) {
	header := r.Header
	// The sender may know the address from an older configuration in which
	// it belonged to another service.
	if header.Get(runServiceHeader) != strconv.FormatUint(uint64(a.self.service), 10) {
		return nil, "service"
	}
	uri, err := url.ParseRequestURI(header.Get(runURIHeader))
	if err != nil || header.Get(runMethodHeader) == "" {
		return nil, "request_line"
	}
	grant, err := strconv.ParseUint(header.Get(runGrantHeader), 10, 64)
	if err != nil || grant == 0 {
		return nil, "grant"
	}
	remaining, ok := parseMilliseconds(header.Get(runDeadlineHeader))
	if !ok {
		return nil, "deadline"
	}
	in := r.Clone(r.Context())
	in.Method, in.URL, in.Host = header.Get(runMethodHeader), uri, header.Get(runAuthorityHeader)
	rq := a.newRequest(in, a.view().classByName(header.Get(runClassHeader)))
	rq.fromPeer, rq.grant = true, admission.GrantID(grant)
	if remaining > 0 {
		rq.deadline = rq.arrived + remaining
	}
	return rq, ""
}
