package agent

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"trefoilweir.example/core/ticket"
	"trefoilweir.example/core/verdict"
)

const (
	keyHeader        = "Idempotency-Key"
	nextTicketHeader = "Next-Ticket"
	// ticketPath is the path at which callers request a ticket.
	ticketPath = "/.well-known/trefoilweir/ticket"
)

// ticketAttempt is the ticket of a request and the attempt that this agent
// makes under it.
type ticketAttempt struct {
	ticket  ticket.Ticket
	attempt ticket.Attempt
	// reported says that a report of the attempt's end was sent to the home or
	// is in progress.
	reported bool
}

// handleTicket issues a ticket to a caller.
func (a *Agent) handleTicket(w http.ResponseWriter, _ *http.Request) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Cache-Control", "no-store")
	header.Set(verdict.Header, verdict.Ran.String())
	_, _ = w.Write([]byte(a.tickets.issue()))
}

// needsTicket says whether the request runs under a ticket. This is the case if
// it comes from a caller, carries a key, and may not be repeated without one.
func (rq *request) needsTicket() bool {
	safe := rq.in.Method == http.MethodGet || rq.in.Method == http.MethodHead
	return !rq.fromPeer && !safe && !rq.class.Repeatable && rq.in.Header.Get(keyHeader) != ""
}

// serveWithTicket claims the ticket and passes the request to admission only if
// the claim is granted.
func (a *Agent) serveWithTicket(w http.ResponseWriter, rq *request) string {
	t, err := a.tickets.keys.TicketCodec().Parse(rq.in.Header.Get(keyHeader))
	if err != nil || t.Service != a.self.service {
		a.metrics.rejected("caller", "ticket")
		return a.failUnclaimed(w, rq, refusal{
			status: http.StatusPreconditionRequired, verdict: verdict.NotRun, reason: "not_a_ticket",
		})
	}
	rq.ticketAttempt = &ticketAttempt{ticket: t, attempt: a.tickets.nextAttempt()}
	reply, sent, err := a.claim(rq.ctx, ticket.Claim{Ticket: t, Attempt: rq.ticketAttempt.attempt})
	if err != nil {
		return a.handleClaimError(w, rq, sent, err)
	}
	a.metrics.count("trefoilweir_agent_claims_total", "outcome", reply.Outcome.String())
	switch reply.Outcome {
	case ticket.Granted:
		return a.serveGranted(w, rq)
	case ticket.Done:
		return a.replayAnswer(w, reply.Answer)
	default:
		return a.failUnclaimed(w, rq, refusalFor(reply))
	}
}

// refusalFor returns the answer to a request whose claim was not granted.
func refusalFor(reply ticket.ClaimReply) refusal {
	f := refusal{status: http.StatusBadGateway, verdict: reply.Verdict, reason: "ticket_" + reply.Outcome.String()}
	switch {
	case reply.Outcome == ticket.Busy:
		f.status, f.retryAfter = http.StatusConflict, formatSeconds(0)
	case reply.Outcome == ticket.Full:
		f.status, f.retryAfter = http.StatusServiceUnavailable, formatSeconds(0)
	case reply.Verdict == verdict.NotRun:
		f.status = http.StatusPreconditionRequired
	}
	return f
}

// failUnclaimed answers a request that may not run under its key. If the caller
// needs another ticket, the answer links to the path that issues them.
func (a *Agent) failUnclaimed(w http.ResponseWriter, rq *request, f refusal) string {
	if f.status == http.StatusPreconditionRequired {
		w.Header().Set("Link", "<"+ticketPath+`>; rel="ticket"`)
	}
	rq.fail(w, f)
	if f.verdict == verdict.NotRun {
		return outcomeRefused
	}
	return outcomeUnknown
}

// handleClaimError answers a request whose home no longer exists or gave no
// usable reply to the claim. An earlier attempt may have run, so the verdict is
// MayHaveRun. A claim that may have arrived is released in the background.
func (a *Agent) handleClaimError(w http.ResponseWriter, rq *request, sent bool, err error) string {
	if errors.Is(rq.ctx.Err(), context.Canceled) {
		err = rq.ctx.Err()
	}
	if sent && !errors.Is(err, errHomeGone) {
		a.releaseInBackground(rq.ticketAttempt)
	}
	reason := "ticket_home_silent"
	if errors.Is(err, errHomeGone) {
		reason = "ticket_home_gone"
	}
	a.metrics.count("trefoilweir_agent_claims_total", "outcome", reason)
	a.log.Info("claim of a ticket failed", zap.String("reason", reason), zap.Error(err))
	return a.failUnclaimed(w, rq, refusal{
		status: http.StatusBadGateway, verdict: verdict.MayHaveRun, reason: reason,
	})
}

// serveGranted serves the request and reports its end to the home.
func (a *Agent) serveGranted(w http.ResponseWriter, rq *request) string {
	c := &capture{ResponseWriter: w}
	defer func() {
		// After a panic, too, the home must learn what is known.
		a.reportEnd(rq, c)
	}()
	return a.serveOnce(c, rq)
}

// reportEnd reports to the home how the attempt ended, unless that was reported
// before.
func (a *Agent) reportEnd(rq *request, c *capture) {
	if rq.ticketAttempt.reported {
		return
	}
	if rq.verdict == verdict.NotRun && !rq.committed && !rq.attempting {
		a.releaseInBackground(rq.ticketAttempt)
		return
	}
	answer := unknownAnswer
	if rq.finished {
		answer = c.answer()
	}
	rq.ticketAttempt.reported = true
	done := ticket.Complete{Ticket: rq.ticketAttempt.ticket, Attempt: rq.ticketAttempt.attempt, Answer: answer}
	a.reportInBackground(func(ctx context.Context) {
		if err := a.complete(ctx, done); err != nil {
			a.metrics.event("complete_failed")
			a.log.Warn("completion of a ticket could not be reported to its home", zap.Error(err))
		}
	})
}

// releaseBeforeRefusal closes the ticket of a request that is refused as NotRun.
// The verdict then holds for the ticket and not only for this attempt: a delayed
// claim of an older attempt cannot run the request later. If the home does not
// confirm the final release, the verdict becomes MayHaveRun.
func (a *Agent) releaseBeforeRefusal(rq *request) {
	if rq.ticketAttempt == nil || rq.ticketAttempt.reported || rq.verdict != verdict.NotRun {
		return
	}
	rq.ticketAttempt.reported = true
	ctx, cancel := context.WithTimeout(rq.ctx, claimTimeout)
	defer cancel()
	err := a.release(ctx, ticket.Release{Ticket: rq.ticketAttempt.ticket, Attempt: rq.ticketAttempt.attempt, Final: true})
	if err == nil {
		return
	}
	rq.verdict = verdict.MayHaveRun
	if !ticket.ReleaseSettled(err) {
		a.releaseInBackground(rq.ticketAttempt)
	}
}

// releaseInBackground reports in the background that an attempt did not run. It
// retries until the home has acknowledged the release or no longer exists, or
// until reportTimeout has passed.
func (a *Agent) releaseInBackground(ta *ticketAttempt) {
	ta.reported = true
	release := ticket.Release{Ticket: ta.ticket, Attempt: ta.attempt}
	a.reportInBackground(func(ctx context.Context) {
		if err := a.release(ctx, release); !ticket.ReleaseSettled(err) {
			a.metrics.event("release_failed")
			a.log.Warn("release of a ticket could not be reported to its home", zap.Error(err))
		}
	})
}

// reportInBackground runs a report to other agents in the background. A drain
// waits for it.
func (a *Agent) reportInBackground(report func(ctx context.Context)) {
	a.pendingReports.Add(1)
	go func() {
		defer a.pendingReports.Add(-1)
		defer func() {
			if p := recover(); p != nil {
				a.metrics.panicked("ticket_report")
			}
		}()
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		report(ctx)
	}()
}
