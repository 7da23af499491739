package agent

import (
	"cmp"
	"errors"
	"net/http"

	"trefoilweir.example/core/ticket"
	"trefoilweir.example/core/verdict"
)

// unknownAnswer is stored for a ticket whose attempt ended without a known
// outcome. It completes the ticket, so that no further attempt runs.
var unknownAnswer = ticket.Answer{
	Status: http.StatusBadGateway,
	Header: []ticket.Field{{Name: verdict.Header, Value: verdict.MayHaveRun.String()}},
	Body:   []byte("outcome unknown\n"),
}

// capture is a ResponseWriter that forwards an answer to the caller and keeps a
// copy for repeats of the request. If the caller has gone, the answer is still
// read to its end as long as the copy is complete.
type capture struct {
	http.ResponseWriter
	status int
	header http.Header
	body   []byte
	// overflow says that the body is too large to store.
	overflow bool
	// callerGone says that writing to the caller has failed.
	callerGone bool
}

// WriteHeader implements http.ResponseWriter.
func (c *capture) WriteHeader(status int) {
	if c.status == 0 {
		c.status = status
		c.header = c.Header().Clone()
	}
	c.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (c *capture) Write(p []byte) (int, error) {
	if len(c.body)+len(p) > ticket.DefaultMaxAnswerSize {
		c.body, c.overflow = nil, true
	}
	if !c.overflow {
		c.body = append(c.body, p...)
	}
	if c.callerGone {
		return len(p), c.noteCallerGone(nil)
	}
	if _, err := c.ResponseWriter.Write(p); err != nil {
		return len(p), c.noteCallerGone(err)
	}
	return len(p), nil
}

// FlushError implements the flushing that http.ResponseController uses.
func (c *capture) FlushError() error {
	if c.callerGone {
		return c.noteCallerGone(nil)
	}
	if err := http.NewResponseController(c.ResponseWriter).Flush(); err != nil {
		return c.noteCallerGone(err)
	}
	return nil
}

var errCallerGone = errors.New("caller has gone and the answer is too large to store")

// noteCallerGone records that the caller has gone. It returns err, or
// errCallerGone without one, if the answer is not copied either.
func (c *capture) noteCallerGone(err error) error {
	c.callerGone = true
	if !c.overflow {
		return nil
	}
	return cmp.Or(err, errCallerGone)
}

// answer returns the copy of the answer, or only its status if the body was too
// large to store.
func (c *capture) answer() ticket.Answer {
	if c.overflow {
		return ticket.Answer{Status: c.status, StatusOnly: true}
	}
	a := ticket.Answer{Status: c.status, Body: c.body}
	for name, values := range c.header {
		if name == nextTicketHeader {
			continue
		}
		for _, value := range values {
			a.Header = append(a.Header, ticket.Field{Name: name, Value: value})
		}
	}
	return a
}

// replayAnswer answers a repeat of a request with the stored answer, or with 409
// if the answer was not stored in full.
func (a *Agent) replayAnswer(w http.ResponseWriter, answer *ticket.Answer) string {
	a.metrics.event("answer_replayed")
	if answer == nil || answer.StatusOnly {
		refusal{status: http.StatusConflict, verdict: verdict.Ran, reason: "answer_not_kept"}.write(w)
		return outcomeFinished
	}
	header := w.Header()
	for _, f := range answer.Header {
		header.Add(f.Name, f.Value)
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return outcomeFinished
}
