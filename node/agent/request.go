package agent

import (
	"context"
	"net/http"
	"time"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// request is the state of one request from its arrival to its answer. One
// goroutine serves it; admission only sends to actions.
type request struct {
	id admission.RequestID
	in *http.Request
	// ctx ends when the answer is no longer wanted.
	ctx   context.Context
	class config.Class
	// fromPeer reports whether a peer handed the request over. grant is then
	// the permission that the peer used.
	fromPeer bool
	grant    admission.GrantID
	// deadline is the time by which the request must have started. Zero means
	// no deadline.
	deadline time.Duration
	arrived  time.Duration
	body     *replayBody
	// actions receives the decisions of admission. At most one attempt is open,
	// so admission never sends more than an attempt and its end ahead.
	actions chan admission.Action

	// ticketAttempt is the ticket of the request and its attempt. It is nil if
	// the request has no ticket.
	ticketAttempt *ticketAttempt

	// attempting reports whether an attempt is in progress.
	attempting bool
	// verdict combines the results of all attempts so far. It is NotRun only
	// while every attempt certainly did not run.
	verdict verdict.Verdict
	// committed reports whether the agent has begun to answer the caller.
	committed bool
	// finished reports whether the whole answer was sent.
	finished bool
	// lastError is the failure of the last attempt.
	lastError *verdict.Error
}

const actionBuffer = 4

// repeatable reports whether the request may run more than once.
func (rq *request) repeatable() bool {
	switch {
	case rq.fromPeer:
		// The agent that handed the request over decides on repeats.
		return false
	case rq.body != nil && rq.body.length > maxReplayBytes:
		return false
	case rq.in.Method == http.MethodGet, rq.in.Method == http.MethodHead:
		return true
	default:
		return rq.class.Repeatable
	}
}

func (rq *request) arrivalEvent() admission.Arrive {
	return admission.Arrive{
		ID:         rq.id,
		Class:      rq.class.Name,
		Deadline:   rq.deadline,
		Repeatable: rq.repeatable(),
		Grant:      rq.grant,
	}
}

// outgoing returns a request with the headers to pass on. The caller of
// outgoing sets URL and body.
func (rq *request) outgoing() *http.Request {
	header := endToEndHeaders(rq.in.Header)
	header.Del(deadlineHeader)
	stripRunHeaders(header)
	return &http.Request{
		Method: rq.in.Method,
		Host:   rq.in.Host,
		Header: header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// attachBody sets the body of out to a new reader. It returns false if an
// earlier attempt has read more of the body than is buffered.
func (rq *request) attachBody(out *http.Request, progress func()) bool {
	if rq.body == nil {
		out.Body, out.ContentLength = http.NoBody, 0
		if rq.in.Method != http.MethodGet && rq.in.Method != http.MethodHead {
			// A body other than http.NoBody keeps net/http from repeating the
			// request.
			out.Body, out.ContentLength = emptyBody{}, -1
		}
		return true
	}
	body, ok := rq.body.newReader(progress)
	if !ok {
		return false
	}
	out.Body, out.ContentLength = body, rq.body.length
	return true
}

// recordAttempt records the result of an attempt. A nil err means an answer.
func (rq *request) recordAttempt(err *verdict.Error) {
	rq.attempting = false
	rq.lastError = err
	if err != nil && err.Verdict != verdict.NotRun {
		rq.verdict = verdict.MayHaveRun
	}
}
