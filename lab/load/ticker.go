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

// errWrongTickerLine means that a line of a ticker is missing, repeated or
// changed.
var errWrongTickerLine = errors.New("ticker line is missing, repeated or changed")

// runTicker keeps a ticker open until stop is done. A ticker that ends earlier
// counts as a broken flow, even if its connection continues.
func (s *session) runTicker(ctx, stop context.Context, id string) Result {
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
	f, err := s.getFlow(ctx, nil)
	if err != nil {
		attempt.Sent = false
		return attempt.withError(err)
	}
	defer f.beginRequest()()
	// The request has no context of its own, because closing the body ends it
	// when stop is done.
	url := "https://" + s.service.Address.String() + "/ticker?interval=" + s.options.TickInterval.String()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return attempt.withError(err)
	}
	request.Header.Set(headerRequestID, attempt.ID)
	response, err := f.http.RoundTrip(request)
	if err != nil {
		return attempt.withError(err)
	}
	defer response.Body.Close()
	attempt.Status = response.StatusCode
	if attempt.Status != http.StatusOK {
		attempt.setResponse(response, nil)
		return attempt
	}
	defer context.AfterFunc(stop, func() { response.Body.Close() })()
	gap, err := readTickerLines(bufio.NewScanner(response.Body), id)
	result.LongestGap = gap
	if stop.Err() == nil || errors.Is(err, errWrongTickerLine) {
		attempt.WrongAnswer = errors.Is(err, errWrongTickerLine)
		s.recorder.addBrokenTicker(s.service, f, err)
		return attempt.withError(errors.Join(errors.New("ticker failed before its caller closed it"), err))
	}
	attempt.Verdict = verdict.Ran
	return attempt
}

// readTickerLines checks the lines of a ticker until it ends and returns the
// longest time between two lines.
func readTickerLines(lines *bufio.Scanner, id string) (longest time.Duration, err error) {
	last := time.Now()
	for n := 0; lines.Scan(); n++ {
		now := time.Now()
		longest = max(longest, now.Sub(last))
		last = now
		if lines.Text() != answer.TickerLine(id, n) {
			return longest, errWrongTickerLine
		}
	}
	return longest, lines.Err()
}
