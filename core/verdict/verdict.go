// Package verdict defines what is known about whether a request ran on a
// target. Every error that concerns a request carries a Verdict, because only
// a request that certainly did not run may be repeated without permission.
package verdict

import (
	"errors"
	"fmt"
)

// Header is the HTTP response header that carries a Verdict.
const Header = "Request-Verdict"

// Verdict says whether a request may have run on a target.
type Verdict uint8

// The zero value is MayHaveRun, so that a missing verdict is never mistaken
// for a promise that the request did not run.
const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the target gave a definite answer.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the value used in the Header.
func (v Verdict) String() string {
	if s, ok := names[v]; ok {
		return s
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse returns the Verdict for a Header value. Unknown values give
// MayHaveRun and false.
func Parse(s string) (Verdict, bool) {
	for v, name := range names {
		if name == s {
			return v, true
		}
	}
	return MayHaveRun, false
}

// Error is a failed request together with what is known about its execution.
type Error struct {
	// Verdict says whether the request may have run.
	Verdict Verdict
	// Reason is a short stable key for logs and metrics, such as "queue_full".
	Reason string
	// Err is the cause, if there is one.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries: Ran for nil, MayHaveRun for an
// error without a verdict.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
