package load

import (
	"context"
	"time"

	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/answer"
)

const (
	// initialBackoff is the delay after the first attempt. It doubles with every
	// attempt.
	initialBackoff = 100 * time.Millisecond
	// maxBackoff limits the delay, also that of a Retry-After header, so that
	// the duration of a run is bounded.
	maxBackoff = time.Second
	// requestTimeoutFactor is the limit of all attempts of a request, as a
	// multiple of the limit of one attempt.
	requestTimeoutFactor = 2
)

// do makes attempts until the request is finished or must not be retried, or
// until the limits on attempts or time are reached.
func (s *session) do(ctx context.Context, p *plannedRequest, begin time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, requestTimeoutFactor*s.options.Timeout)
	defer cancel()
	result := Result{ID: p.id, Service: s.service.Name, Kind: p.kind, Method: p.shape().method, Planned: begin.Add(p.offset)}
	ticket := ""
	for n := 1; n <= s.options.MaxAttempts && ctx.Err() == nil; n++ {
		if p.shape().usesTicket && !s.options.NoTickets && ticket == "" {
			fetched, err := s.takeTicket(ctx)
			if err != nil {
				result.Attempts = append(result.Attempts, Attempt{Verdict: verdict.NotRun, Err: err.Error()})
				continue
			}
			ticket = fetched
		}
		r := &attemptRequest{planned: p, service: s.service.Name, address: s.service.Address.String(), id: answer.AttemptID(p.id, n), ticket: ticket}
		attempt := s.attempt(ctx, r)
		s.putTicket(attempt.nextTicket)
		result.Attempts = append(result.Attempts, attempt)
		if !mayRepeat(&attempt) {
			break
		}
		if attempt.Verdict == verdict.NotRun {
			// The system accepts no further attempt with the ticket of a
			// refused request.
			ticket = ""
		}
		if n < s.options.MaxAttempts {
			sleep(ctx, backoff(n, attempt.retryAfter))
		}
	}
	result.Ended = time.Now()
	result.Outcome = outcome(result.last())
	return result
}

// mayRepeat reports whether the verdict permits a retry: always after NotRun,
// and only with the same ticket after an unknown outcome.
func mayRepeat(a *Attempt) bool {
	return a.Verdict == verdict.NotRun || a.Verdict == verdict.MayHaveRun && a.Ticket != "" && !a.WrongAnswer
}

func backoff(attempt int, retryAfter time.Duration) time.Duration {
	return min(max(initialBackoff<<(attempt-1), retryAfter), maxBackoff)
}

func outcome(a *Attempt) Outcome {
	switch {
	case a.Verdict == verdict.Ran && a.Status == 200:
		return Finished
	case a.Verdict == verdict.NotRun:
		return Refused
	default:
		return Unknown
	}
}
