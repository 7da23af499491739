package load

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"time"

	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/answer"
)

// errBadTick says that a line of a ticker is missing, repeated or changed.
var errBadTick = errors.New("the ticker shows a wrong line")

// ticker keeps a ticker open until stop ends. A ticker that ends earlier is a
// broken flow, even if its connection goes on.
func (s *session) ticker(ctx, stop context.Context, id string) Result {
	begin := time.Now()
	result := Result{ID: id, Service: s.service.Name, Kind: KindTicker, Method: http.MethodGet, Planned: begin, Outcome: Unknown}
	attempt := s.openTicker(ctx, stop, id, &result)
	result.Ended = time.Now()
	result.Attempts = append(result.Attempts, attempt)
	result.Outcome = outcome(&attempt)
	return result
}

func (s *session) openTicker(ctx, stop context.Context, id string, result *Result) Attempt {
	attempt := Attempt{ID: answer.AttemptID(id, 1), Sent: true}
	f, err := s.flow(ctx, nil)
	if err != nil {
		attempt.Sent = false
		return attempt.fail(err)
	}
	defer f.begin()()
	// The request has no context of its own, because the caller ends it below.
	url := "https://" + s.service.Address.String() + "/ticker?interval=" + s.options.TickInterval.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return attempt.fail(err)
	}
	request.Header.Set(headerRequestID, attempt.ID)
	response, err := f.http.RoundTrip(request)
	if err != nil {
		return attempt.fail(err)
	}
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	if attempt.Status != http.StatusOK {
		attempt.read(response, nil)
		return attempt
	}
	defer context.AfterFunc(stop, func() { response.Body.Close() })()
	gap, err := readTicks(bufio.NewScanner(response.Body), id)
	result.LongestGap = gap
	if stop.Err() == nil || errors.Is(err, errBadTick) {
		attempt.WrongAnswer = errors.Is(err, errBadTick)
		s.record.brokenTicker(s.service, f, err)
		return attempt.fail(errors.Join(errors.New("the ticker ended early"), err))
	}
	attempt.Verdict = verdict.Ran
	return attempt
}

// readTicks checks the lines of a ticker until it ends.
func readTicks(lines *bufio.Scanner, id string) (longest time.Duration, err error) {
	last := time.Now()
	for n := 0; lines.Scan(); n++ {
		now := time.Now()
		longest = max(longest, now.Sub(last))
		last = now
		if lines.Text() != answer.TickerLine(id, n) {
			return longest, errBadTick
		}
	}
	return longest, lines.Err()
}
