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
	class := a.view().class(r.URL.Path)
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
		rq.ctx, cancel = untilCancelled(r.Context())
		defer cancel()
	}
	a.serveContained(w, rq)
}

// lossTime is how much later than its streams a lost connection may be known
// to have ended.
const lossTime = 100 * time.Millisecond

// untilCancelled returns a context that ends when the caller cancels the
// request, but not when its connection is lost: a request under a ticket then
// goes on, because the caller will ask for its answer.
func untilCancelled(ctx context.Context) (context.Context, context.CancelFunc) {
	conn, ok := ctx.Value(callerConnKey{}).(*callerConn)
	if !ok {
		return ctx, func() {}
	}
	detached, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		select {
		case <-conn.quic.Context().Done():
		case <-time.After(lossTime):
			cancel()
		}
	})
	return detached, func() {
		stop()
		cancel()
	}
}

// newRequest registers a request. It has no deadline yet.
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

// serveContained serves a request, records its outcome, and contains a panic.
// An answer that broke off must not look complete, so its stream is reset.
func (a *Agent) serveContained(w http.ResponseWriter, rq *request) {
	a.open.Add(1)
	defer a.open.Add(-1)
	outcome := outcomeBroken
	defer func() {
		if p := recover(); p != nil {
			a.metrics.panicked("request")
			a.log.Error("panic in a request", zap.Any("panic", p), zap.ByteString("stack", debug.Stack()))
			a.gate.post(gateInput{event: admission.Cancel{ID: rq.id}})
		}
		a.metrics.request(rq.class.Name, outcome, a.now()-rq.arrived)
		if outcome == outcomeBroken || outcome == outcomeCancelled {
			panic(http.ErrAbortHandler)
		}
	}()
	outcome = a.serve(w, rq)
}
