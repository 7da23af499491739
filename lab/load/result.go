package load

import (
	"time"

	"trefoilweir.example/core/verdict"
)

// Outcome is the end of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Finished is a complete and correct answer.
	Finished Outcome = "finished"
	// Refused is a verdict that the request did not run.
	Refused Outcome = "refused_not_run"
	// Unknown is anything else.
	Unknown Outcome = "unknown_outcome"
)

// Attempt is one attempt of a request.
type Attempt struct {
	// ID is the Request-Id header.
	ID string `json:"id"`
	// Ticket is the Idempotency-Key header.
	Ticket  string          `json:"ticket,omitempty"`
	Status  int             `json:"status,omitempty"`
	Verdict verdict.Verdict `json:"verdict"`
	// Explicit says that the system gave the verdict. Without it, the caller
	// concluded from a broken exchange.
	Explicit bool `json:"explicit"`
	// Sent says that at least a part of the request was sent.
	Sent bool `json:"sent"`
	// WrongAnswer says that the answer was complete but not the right one.
	WrongAnswer bool   `json:"wrong,omitempty"`
	Err         string `json:"err,omitempty"`

	nextTicket string
	retryAfter time.Duration
}

// Result is the history of a request.
type Result struct {
	// ID is the part of the Request-Id header that all attempts share.
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Method  string  `json:"method"`
	Outcome Outcome `json:"outcome"`
	// Planned is when the request should have started.
	Planned  time.Time `json:"planned"`
	Ended    time.Time `json:"ended"`
	Attempts []Attempt `json:"attempts"`
	// LongestGap is the longest time between two lines of a ticker.
	LongestGap time.Duration `json:"longest_gap,omitempty"`
}

// Latency is the time from the planned start to the end, with all attempts.
func (r *Result) Latency() time.Duration { return r.Ended.Sub(r.Planned) }

func (r *Result) last() *Attempt {
	if len(r.Attempts) == 0 {
		return &Attempt{}
	}
	return &r.Attempts[len(r.Attempts)-1]
}

// BrokenFlow is a connection that ended before its caller or target ended it.
type BrokenFlow struct {
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	Cause   string    `json:"cause"`
}

// Results are what the callers saw.
type Results struct {
	Requests    []Result
	BrokenFlows []BrokenFlow
	// Flows is the number of connections.
	Flows int
	// FailedDials are the starts of connections that were not established.
	FailedDials []time.Time
}
