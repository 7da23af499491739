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
	// ticketPath is where callers get a ticket.
	ticketPath = "/.well-known/trefoilweir/ticket"
)

// ticketAttempt is the ticket of a request and the attempt that this agent makes.
type ticketAttempt struct {
	ticket  ticket.Ticket
	attempt ticket.Attempt
	// reported says that the home knows the end of the attempt, or is being
	// told.
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

// needsTicket says whether the request runs under a ticket: it carries a key and
// may not be repeated without one.
func (rq *request) needsTicket() bool {
	safe := rq.in.Method == http.MethodGet || rq.in.Method == http.MethodHead
	return !rq.fromPeer && !safe && !rq.class.Repeatable && rq.in.Header.Get(keyHeader) != ""
}

// serveWithTicket claims the ticket, and only then lets the request into
// admission.
func (a *Agent) serveWithTicket(w http.ResponseWriter, rq *request) string {
	t, err := a.tickets.keys.Ticket().Parse(rq.in.Header.Get(keyHeader))
	if err != nil || t.Service != a.self.service {
		a.metrics.rejected("caller", "ticket")
		return a.failUnclaimed(w, rq, refusal{
			status: http.StatusPreconditionRequired, verdict: verdict.NotRun, reason: "not_a_ticket",
		})
	}
	rq.held = &ticketAttempt{ticket: t, attempt: a.tickets.nextAttempt()}
	reply, sent, err := a.claim(rq.ctx, ticket.Claim{Ticket: t, Attempt: rq.held.attempt})
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

// refusalFor is the answer to a claim that was not granted.
func refusalFor(reply ticket.ClaimReply) refusal {
	f := refusal{status: http.StatusBadGateway, verdict: reply.Verdict, reason: "ticket_" + reply.Outcome.String()}
	switch {
	case reply.Outcome == ticket.Busy:
		f.status, f.retryAfter = http.StatusConflict, seconds(0)
	case reply.Outcome == ticket.Full:
		f.status, f.retryAfter = http.StatusServiceUnavailable, seconds(0)
	case reply.Verdict == verdict.NotRun:
		f.status = http.StatusPreconditionRequired
	}
	return f
}

// failUnclaimed answers a request that may not run under its key.
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

// handleClaimError answers a request whose home is gone or silent. An earlier
// attempt may have run, so this is no proof that the request did not run. A
// claim that may have arrived is taken back in the background.
func (a *Agent) handleClaimError(w http.ResponseWriter, rq *request, sent bool, err error) string {
	if errors.Is(rq.ctx.Err(), context.Canceled) {
		err = rq.ctx.Err()
	}
	if sent && !errors.Is(err, errHomeGone) {
		a.releaseInBackground(rq.held)
	}
	reason := "ticket_home_silent"
	if errors.Is(err, errHomeGone) {
		reason = "ticket_home_gone"
	}
	a.metrics.count("trefoilweir_agent_claims_total", "outcome", reason)
	a.log.Info("ticket could not be claimed", zap.String("reason", reason), zap.Error(err))
	return a.failUnclaimed(w, rq, refusal{
		status: http.StatusBadGateway, verdict: verdict.MayHaveRun, reason: reason,
	})
}

// serveGranted runs the request and reports its end to the home.
func (a *Agent) serveGranted(w http.ResponseWriter, rq *request) string {
	c := &capture{ResponseWriter: w}
	defer func() {
		// Also after a panic, the home learns what is known.
		a.reportEnd(rq, c)
	}()
	return a.serveOnce(c, rq)
}

// reportEnd tells the home how the attempt ended, unless it knows.
func (a *Agent) reportEnd(rq *request, c *capture) {
	if rq.held.reported {
		return
	}
	if rq.verdict == verdict.NotRun && !rq.committed && !rq.attempting {
		a.releaseInBackground(rq.held)
		return
	}
	answer := unknownAnswer
	if rq.finished {
		answer = c.answer()
	}
	rq.held.reported = true
	done := ticket.Complete{Ticket: rq.held.ticket, Attempt: rq.held.attempt, Answer: answer}
	a.reportInBackground(func(ctx context.Context) {
		if err := a.complete(ctx, done); err != nil {
			a.metrics.event("complete_failed")
			a.log.Warn("the home of a ticket did not take the answer", zap.Error(err))
		}
	})
}

// releaseBeforeRefusal makes NotRun true for the ticket and not only for this
// attempt: it closes the ticket, so that a delayed claim of an older attempt
// cannot run the request later. If the home does not confirm it, the verdict
// is MayHaveRun.
func (a *Agent) releaseBeforeRefusal(rq *request) {
	if rq.held == nil || rq.held.reported || rq.verdict != verdict.NotRun {
		return
	}
	rq.held.reported = true
	ctx, cancel := context.WithTimeout(rq.ctx, claimTimeout)
	defer cancel()
	err := a.release(ctx, ticket.Release{Ticket: rq.held.ticket, Attempt: rq.held.attempt, Final: true})
	if err == nil {
		return
	}
	rq.verdict = verdict.MayHaveRun
	if !ticket.ReleaseSettled(err) {
		a.releaseInBackground(rq.held)
	}
}

// releaseInBackground takes an attempt back in the background, until the home has
// acknowledged it, is gone, or settleTime has passed.
func (a *Agent) releaseInBackground(h *ticketAttempt) {
	h.reported = true
	release := ticket.Release{Ticket: h.ticket, Attempt: h.attempt}
	a.reportInBackground(func(ctx context.Context) {
		if err := a.release(ctx, release); !ticket.ReleaseSettled(err) {
			a.metrics.event("release_failed")
			a.log.Warn("the home of a ticket did not take a release", zap.Error(err))
		}
	})
}

// reportInBackground runs a report to a home in the background. A drain waits for it.
func (a *Agent) reportInBackground(report func(ctx context.Context)) {
	a.reports.Add(1)
	go func() {
		defer a.reports.Add(-1)
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
