package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/gravitational/trace"
)

const (
	ticketPath = "/.well-known/trefoilweir/ticket"
	maxTicket  = 1 << 10
)

// errNoTicket says that the system answered a ticket request without a ticket.
var errNoTicket = errors.New("ticket request answered no ticket")

// ticket returns an unused ticket: one from an earlier answer or a new one.
func (s *session) ticket(ctx context.Context) (string, error) {
	if ticket := s.popTicket(); ticket != "" {
		return ticket, nil
	}
	var refused *flow
	var last error
	for range maxDials {
		f, err := s.flow(ctx, refused)
		if err != nil {
			return "", trace.Wrap(err)
		}
		ticket, err := fetchTicket(ctx, f, s)
		if err == nil || errors.Is(err, errNoTicket) {
			return ticket, trace.Wrap(err)
		}
		refused, last = f, err
	}
	return "", trace.Wrap(last)
}

// fetchTicket asks for a ticket. Asking again after an error is safe, because
// an unused ticket has no effect.
func fetchTicket(ctx context.Context, f *flow, s *session) (string, error) {
	defer f.begin()()
	ctx, cancel := context.WithTimeout(ctx, s.options.Timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://"+s.service.Address.String()+ticketPath, nil)
	if err != nil {
		return "", trace.Wrap(err)
	}
	response, err := f.http.RoundTrip(request)
	if err != nil {
		return "", trace.Wrap(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxTicket))
	if err != nil {
		return "", trace.Wrap(err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return "", trace.Wrap(errNoTicket, "status %s", response.Status)
	}
	if ticket := response.Header.Get(headerNextTicket); ticket != "" {
		return ticket, nil
	}
	if ticket := strings.TrimSpace(string(body)); ticket != "" {
		return ticket, nil
	}
	return "", trace.Wrap(errNoTicket)
}
