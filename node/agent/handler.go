package agent

import (
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
	a.serveContained(w, rq)
}

// newRequest registers a request. It has no deadline yet.
func (a *Agent) newRequest(in *http.Request, class config.Class) *request {
	return &request{
		id:      admission.RequestID(a.nextRequest.Add(1)),
		in:      in,
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
