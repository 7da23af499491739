package load

import (
	"context"
	"time"

	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/answer"
)

const (
	// firstPause doubles with every attempt.
	firstPause = 100 * time.Millisecond
	// maxPause bounds the pause and the Retry-After header, so that a run has
	// a bounded length.
	maxPause = time.Second
	// attemptsLimit bounds all attempts of a request, as a multiple of the
	// limit of one attempt.
	attemptsLimit = 2
)

// do makes attempts until the request is finished or must not be repeated.
func (s *session) do(ctx context.Context, p *planned, begin time.Time) Result {
	ctx, cancel := context.WithTimeout(ctx, attemptsLimit*s.options.Timeout)
	defer cancel()
	result := Result{ID: p.id, Service: s.service.Name, Kind: p.kind, Method: p.shape().method, Planned: begin.Add(p.at)}
	ticket := ""
	for n := 1; n <= s.options.MaxAttempts && ctx.Err() == nil; n++ {
		if p.shape().ticket && !s.options.NoTickets && ticket == "" {
			fetched, err := s.ticket(ctx)
			if err != nil {
				result.Attempts = append(result.Attempts, Attempt{Verdict: verdict.NotRun, Err: err.Error()})
				continue
			}
			ticket = fetched
		}
		r := &request{planned: p, service: s.service.Name, address: s.service.Address.String(), id: answer.AttemptID(p.id, n), ticket: ticket}
		attempt := s.attempt(ctx, r)
		s.putTicket(attempt.nextTicket)
		result.Attempts = append(result.Attempts, attempt)
		if !mayRepeat(&attempt) {
			break
		}
		if attempt.Verdict == verdict.NotRun {
			// A refusal closes its ticket.
			ticket = ""
		}
		if n < s.options.MaxAttempts {
			sleep(ctx, pause(n, attempt.retryAfter))
		}
	}
	result.Ended = time.Now()
	result.Outcome = outcome(result.last())
	return result
}

// mayRepeat reports whether the verdict lets the caller try again: after "not
// run" always, after an unknown outcome only with the same ticket.
func mayRepeat(a *Attempt) bool {
	return a.Verdict == verdict.NotRun || a.Verdict == verdict.MayHaveRun && a.Ticket != "" && !a.WrongAnswer
}

func pause(attempt int, retryAfter time.Duration) time.Duration {
	return min(max(firstPause<<(attempt-1), retryAfter), maxPause)
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
