package agent

import (
	"context"
	"net/http"
	"time"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// request is one request from its arrival to its answer. One goroutine serves
// it; the gate only sends to actions.
type request struct {
	id admission.RequestID
	in *http.Request
	// ctx ends when nobody waits for the answer any more.
	ctx   context.Context
	class config.Class
	// fromPeer says that a peer handed the request over, with grant.
	fromPeer bool
	grant    admission.GrantID
	// deadline is when the request must have started. Zero means no deadline.
	deadline time.Duration
	arrived  time.Duration
	body     *replayBody
	// actions are the decisions of the gate. At most one attempt is open, so
	// the gate never sends more than an attempt and its end ahead.
	actions chan admission.Action

	// held is set if the request runs under a ticket.
	held *ticketAttempt

	// attempting says that an attempt is in progress.
	attempting bool
	// verdict is what all attempts so far say together: NotRun only while
	// every one of them certainly did not run.
	verdict verdict.Verdict
	// committed says that the first byte of an answer went to the caller.
	committed bool
	// finished says that the whole answer went out.
	finished bool
	// last is the failure of the last attempt.
	last *verdict.Error
}

const actionBuffer = 4

// repeatable says whether the request may run twice.
func (rq *request) repeatable() bool {
	switch {
	case rq.fromPeer:
		// The agent that handed it over decides on repeats.
		return false
	case rq.body != nil && rq.body.length > replayLimit:
		return false
	case rq.in.Method == http.MethodGet, rq.in.Method == http.MethodHead:
		return true
	default:
		return rq.class.Repeatable
	}
}

func (rq *request) arrive() admission.Arrive {
	return admission.Arrive{
		ID:         rq.id,
		Class:      rq.class.Name,
		Deadline:   rq.deadline,
		Repeatable: rq.repeatable(),
		Grant:      rq.grant,
	}
}

// outgoing returns the request with the headers to pass on. URL and body are
// still to be set.
func (rq *request) outgoing() *http.Request {
	header := endToEnd(rq.in.Header)
	header.Del(deadlineHeader)
	stripRunHeaders(header)
	return &http.Request{
		Method: rq.in.Method,
		Host:   rq.in.Host,
		Header: header,
		Proto:  "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
}

// attachBody gives out a reader of the body. It reports false if an earlier
// attempt has taken more of the body than is kept.
func (rq *request) attachBody(out *http.Request, progress func()) bool {
	if rq.body == nil {
		out.Body, out.ContentLength = http.NoBody, 0
		if rq.in.Method != http.MethodGet && rq.in.Method != http.MethodHead {
			// A body of its own keeps net/http from repeating the request.
			out.Body, out.ContentLength = emptyBody{}, -1
		}
		return true
	}
	body, ok := rq.body.attempt(progress)
	if !ok {
		return false
	}
	out.Body, out.ContentLength = body, rq.body.length
	return true
}

// ended notes the result of an attempt.
func (rq *request) ended(err *verdict.Error) {
	rq.attempting = false
	rq.last = err
	if err != nil && err.Verdict != verdict.NotRun {
		rq.verdict = verdict.MayHaveRun
	}
}
