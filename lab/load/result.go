package load

import (
	"time"

	"trefoilweir.example/core/verdict"
)

// Outcome is the result of a request as its caller sees it.
type Outcome string

// The outcomes.
const (
	// Finished means that the caller received a complete and correct answer.
	Finished Outcome = "finished"
	// Refused means that the last verdict was that the request did not run.
	Refused Outcome = "refused_not_run"
	// Unknown is any other outcome.
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
	// Explicit reports whether the system returned the verdict. Otherwise the
	// caller inferred it.
	Explicit bool `json:"explicit"`
	// Sent reports whether at least a part of the request was sent.
	Sent bool `json:"sent"`
	// WrongAnswer reports whether the answer has the wrong content or length.
	WrongAnswer bool   `json:"wrong,omitempty"`
	Err         string `json:"err,omitempty"`

	nextTicket string
	retryAfter time.Duration
}

// Result is the outcome of a request and its attempts.
type Result struct {
	// ID is the part of the Request-Id header that all attempts share.
	ID      string  `json:"id"`
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Method  string  `json:"method"`
	Outcome Outcome `json:"outcome"`
	// Planned is the planned start of the request.
	Planned  time.Time `json:"planned"`
	Ended    time.Time `json:"ended"`
	Attempts []Attempt `json:"attempts"`
	// LongestGap is the longest time between two lines of a ticker.
	LongestGap time.Duration `json:"longest_gap,omitempty"`
}

// Latency returns the time from the planned start to the end of the last
// attempt.
func (r *Result) Latency() time.Duration { return r.Ended.Sub(r.Planned) }

func (r *Result) last() *Attempt {
	if len(r.Attempts) == 0 {
		return &Attempt{}
	}
	return &r.Attempts[len(r.Attempts)-1]
}

// BrokenFlow is a connection or ticker that ended before its caller or target
// closed it.
type BrokenFlow struct {
	Service string    `json:"service"`
	At      time.Time `json:"at"`
	Cause   string    `json:"cause"`
}

// Results holds what the callers saw.
type Results struct {
	Requests    []Result
	BrokenFlows []BrokenFlow
	// Flows is the number of connections.
	Flows int
	// FailedDials holds the start times of failed connection attempts.
	FailedDials []time.Time
}
