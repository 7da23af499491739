// Package verdict defines the Verdict, which says whether a request ran on a
// target. Every error about a request carries a Verdict, because a request
// that may not run twice is repeated only if it certainly did not run.
package verdict

import (
	"errors"
	"fmt"
)

// Header is the HTTP response header that carries a Verdict.
const Header = "Request-Verdict"

// Verdict says whether a request ran on a target.
type Verdict uint8

// The zero value is MayHaveRun, so that a missing verdict is never taken to
// mean that the request did not run.
const (
	// MayHaveRun means that the outcome is unknown.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the target returned a definite response.
	Ran
)

var names = map[Verdict]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the value of v in Header.
func (v Verdict) String() string {
	if s, ok := names[v]; ok {
		return s
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Parse returns the Verdict for a Header value. For an unknown value it
// returns MayHaveRun and false.
func Parse(s string) (Verdict, bool) {
	for v, name := range names {
		if name == s {
			return v, true
		}
	}
	return MayHaveRun, false
}

// Error describes a failed request and says whether the request may have run.
type Error struct {
	// Verdict says whether the request ran.
	Verdict Verdict
	// Reason is a stable key for logs and metrics, such as "queue_full".
	Reason string
	// Err is the cause. It may be nil.
	Err error
}

// Error returns the reason, the verdict and the cause, if there is one.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict that err carries. It returns Ran for a nil error and
// MayHaveRun for an error without a verdict.
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
