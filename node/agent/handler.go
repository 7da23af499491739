package agent

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// handleCaller serves a caller's request.
func (a *Agent) handleCaller(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == ticketPath && r.Method == http.MethodPost {
		a.handleTicket(w, r)
		return
	}
	class := a.view().classForPath(r.URL.Path)
	rq := a.newRequest(r, class)
	wanted, ok := parseMilliseconds(r.Header.Get(deadlineHeader))
	if !ok || r.Method == http.MethodConnect {
		a.metrics.rejected("caller", "request")
		rq.fail(w, refusal{status: http.StatusBadRequest, verdict: verdict.NotRun, reason: "bad_request"})
		return
	}
	if limit := time.Duration(class.DeadlineMS) * time.Millisecond; wanted == 0 || limit > 0 && limit < wanted {
		wanted = limit
	}
	if wanted > 0 {
		rq.deadline = rq.arrived + wanted
	}
	if class.Tickets {
		w.Header().Set(nextTicketHeader, a.tickets.issue())
	}
	if rq.needsTicket() {
		var cancel context.CancelFunc
		rq.ctx, cancel = detachFromConn(r.Context())
		defer cancel()
	}
	a.serveWithRecover(w, rq)
}

// connLossDelay is how much later than its streams a lost connection may report
// its end.
const connLossDelay = 100 * time.Millisecond

// detachFromConn returns a context that ends when the caller cancels the
// request, but not when its connection is lost. A request with a ticket
// continues after the loss, because the caller will ask for its answer.
func detachFromConn(ctx context.Context) (context.Context, context.CancelFunc) {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return ctx, func() {}
	}
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		select {
		case <-conn.quic.Context().Done():
		case <-time.After(connLossDelay):
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

// newRequest creates a request without a deadline.
func (a *Agent) newRequest(in *http.Request, class config.Class) *request {
	return &request{
		id:      admission.RequestID(a.nextRequest.Add(1)),
		in:      in,
		ctx:     in.Context(),
		class:   class,
		arrived: a.now(),
		body:    newReplayBody(in),
		actions: make(chan admission.Action, actionBuffer),
		verdict: verdict.NotRun,
	}
}

// serveWithRecover serves a request, records its outcome and recovers from
// panics. It resets the stream of an answer that broke off, so that the answer
// does not look complete.
func (a *Agent) serveWithRecover(w http.ResponseWriter, rq *request) {
	a.openRequests.Add(1)
	defer a.openRequests.Add(-1)
	outcome := outcomeBroken
	defer func() {
		if p := recover(); p != nil {
			a.metrics.panicked("request")
			a.log.Error("request handler panicked", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			a.gate.post(gateInput{event: admission.Cancel{ID: rq.id}})
		}
		a.metrics.request(rq.class.Name, outcome, a.now()-rq.arrived)
		if outcome == outcomeBroken || outcome == outcomeCancelled {
			panic(http.ErrAbortHandler)
		}
	}()
	outcome = a.serve(w, rq)
}
