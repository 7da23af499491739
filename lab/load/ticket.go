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
	ticketPath   = "/.well-known/trefoilweir/ticket"
	maxTicketLen = 1 << 10
)

// errNoTicket means that the response to a ticket request held no ticket.
var errNoTicket = errors.New("response to a ticket request holds no ticket")

// takeTicket returns an unused ticket: one from an earlier response, or a new
// one from the system.
func (s *session) takeTicket(ctx context.Context) (string, error) {
	if ticket := s.popTicket(); ticket != "" {
		return ticket, nil
	}
	var refused *flow
	var last error
	for range maxDials {
		f, err := s.getFlow(ctx, refused)
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

// fetchTicket requests a ticket. A retry after an error is safe, because an
// unused ticket has no effect.
func fetchTicket(ctx context.Context, f *flow, s *session) (string, error) {
	defer f.beginRequest()()
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxTicketLen))
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
