package agent

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/verdict"
)

// Outcomes of requests, as stable label values.
const (
	outcomeFinished  = "finished"
	outcomeRefused   = "refused_not_run"
	outcomeUnknown   = "unknown"
	outcomeCancelled = "cancelled"
	outcomeBroken    = "answer_broken"
)

// serve serves a request, under a ticket if it needs one, and returns the
// outcome.
func (a *Agent) serve(w http.ResponseWriter, rq *request) string {
	if rq.needsTicket() {
		return a.serveWithTicket(w, rq)
	}
	return a.serveOnce(w, rq)
}

// serveOnce passes a request to admission and executes the decisions on it until
// it has ended.
func (a *Agent) serveOnce(w http.ResponseWriter, rq *request) string {
	ctx := rq.ctx
	if !a.gate.post(gateInput{event: rq.arrivalEvent(), arrival: rq}) {
		return a.refuse(w, rq, "stopping", time.Second)
	}
	for {
		select {
		case <-ctx.Done():
			a.gate.post(gateInput{event: admission.Cancel{ID: rq.id}})
			return outcomeCancelled
		case <-a.gate.done:
			return a.answerFailure(w, rq)
		case action := <-rq.actions:
			if outcome, ended := a.execute(ctx, w, rq, action); ended {
				return outcome
			}
		}
	}
}

// execute carries out one decision of admission. It returns the outcome and true
// if the request has ended.
func (a *Agent) execute(ctx context.Context, w http.ResponseWriter, rq *request, action admission.Action) (string, bool) {
	switch action := action.(type) {
	case admission.Run:
		rq.attempting = true
		err, broken := a.deliverResponse(w, rq, a.target.send(ctx, rq, a.answerLimit(rq)))
		return a.finishAttempt(ctx, rq, broken, admission.Done{
			ID: rq.id, Verdict: attemptVerdict(err), Shed: isShedError(err),
		})
	case admission.HandOver:
		rq.attempting = true
		err, broken := a.deliverResponse(w, rq, a.sendToPeer(ctx, rq, action))
		return a.finishAttempt(ctx, rq, broken, admission.PeerResult{
			ID: rq.id, Peer: action.Peer, Verdict: attemptVerdict(err), Shed: isShedError(err),
		})
	case admission.Refuse:
		return a.refuse(w, rq, string(action.Reason), action.RetryAfter), true
	default:
		return a.answerFailure(w, rq), true
	}
}

// finishAttempt reports the end of an attempt to the gate. The request has ended
// if an answer was sent or the caller has gone.
func (a *Agent) finishAttempt(ctx context.Context, rq *request, broken error, result admission.Event) (string, bool) {
	rq.finished = rq.committed && broken == nil
	if !rq.finished && ctx.Err() != nil {
		a.gate.post(gateInput{event: admission.Cancel{ID: rq.id}})
		return outcomeCancelled, true
	}
	a.gate.post(gateInput{event: result})
	switch {
	case broken != nil:
		a.log.Info("answer broke off", zap.String("class", rq.class.Name), zap.Error(broken))
		return outcomeBroken, true
	case rq.finished:
		return outcomeFinished, true
	default:
		return "", false
	}
}

// deliverResponse forwards the response of an attempt to the caller, unless it
// is a refusal. err is the failure of the attempt. broken is set if the answer
// broke off after its first byte.
func (a *Agent) deliverResponse(w http.ResponseWriter, rq *request, at attempt) (err *verdict.Error, broken error) {
	if at.err != nil {
		a.log.Debug("attempt failed", zap.String("class", rq.class.Name), zap.Error(at.err))
		rq.recordAttempt(at.err)
		return at.err, nil
	}
	defer at.cancel()
	if refusal := at.refusalError(); refusal != nil {
		_ = at.response.Body.Close()
		rq.recordAttempt(refusal)
		return refusal, nil
	}
	rq.committed = true
	rq.recordAttempt(nil)
	stripRunHeaders(at.response.Header)
	if rq.fromPeer {
		w.Header().Set(runOutcomeHeader, runAnswered)
	}
	return nil, forwardResponse(w, at.response)
}

// refusalError returns the failure that a response reports, or nil for an answer
// of the target.
func (at *attempt) refusalError() *verdict.Error {
	if !at.peer {
		if isShed(at.response) {
			return &verdict.Error{Verdict: verdict.NotRun, Reason: reasonShed}
		}
		return nil
	}
	switch header := at.response.Header; header.Get(runOutcomeHeader) {
	case runAnswered:
		return nil
	case runFailed:
		v, _ := verdict.Parse(header.Get(verdict.Header))
		return &verdict.Error{Verdict: v, Reason: header.Get(runReasonHeader)}
	default:
		// The handler of runPath sets the outcome in all its answers, so this
		// one comes from another handler, and the request did not run.
		return &verdict.Error{Verdict: verdict.NotRun, Reason: "peer_not_serving"}
	}
}

func attemptVerdict(err *verdict.Error) verdict.Verdict {
	if err == nil {
		return verdict.Ran
	}
	return err.Verdict
}

func isShedError(err *verdict.Error) bool { return err != nil && err.Reason == reasonShed }

// answerLimit returns how long the target may take to begin its answer, from the
// start of the attempt or the last part of the body that was sent. It is the
// deadline of the request's class.
func (a *Agent) answerLimit(rq *request) time.Duration {
	return time.Duration(rq.class.DeadlineMS) * time.Millisecond
}

// refuse answers a request that admission refuses. If the request may have run,
// answerFailure answers it instead.
func (a *Agent) refuse(w http.ResponseWriter, rq *request, reason string, retry time.Duration) string {
	a.releaseBeforeRefusal(rq)
	if rq.verdict != verdict.NotRun {
		return a.answerFailure(w, rq)
	}
	a.log.Debug("request refused", zap.String("class", rq.class.Name), zap.String("reason", reason))
	a.metrics.count("trefoilweir_agent_refusals_total", "reason", reason)
	rq.fail(w, refusal{
		status: http.StatusServiceUnavailable, verdict: verdict.NotRun, reason: reason, retryAfter: formatSeconds(retry),
	})
	return outcomeRefused
}

// answerFailure answers a request that gets no further attempt.
func (a *Agent) answerFailure(w http.ResponseWriter, rq *request) string {
	a.releaseBeforeRefusal(rq)
	reason := "not_started"
	if rq.lastError != nil {
		reason = rq.lastError.Reason
	}
	if rq.verdict == verdict.NotRun {
		rq.fail(w, refusal{
			status: http.StatusServiceUnavailable, verdict: verdict.NotRun, reason: reason, retryAfter: formatSeconds(0),
		})
		return outcomeRefused
	}
	status := http.StatusBadGateway
	if reason == reasonTimeout {
		status = http.StatusGatewayTimeout
	}
	rq.fail(w, refusal{status: status, verdict: verdict.MayHaveRun, reason: reason})
	return outcomeUnknown
}

// fail writes an answer of the agent itself. A peer also gets the outcome and
// the reason, to tell this answer from one of the target.
func (rq *request) fail(w http.ResponseWriter, f refusal) {
	if rq.fromPeer {
		w.Header().Set(runOutcomeHeader, runFailed)
		w.Header().Set(runReasonHeader, f.reason)
	}
	f.write(w)
}
