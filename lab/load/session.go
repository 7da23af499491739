package load

import (
	"context"
	"crypto/tls"
	"sync"
	"time"
)

// maxDials bounds the connections that a session opens for one attempt.
const maxDials = 5

// session is a caller with one connection at a time and its unused tickets.
type session struct {
	options *Options
	service Service
	tls     *tls.Config
	record  *recorder

	mu      sync.Mutex
	current *flow
	retired []*flow
	tickets []string
}

// flow returns the connection of the session. It opens one if there is none,
// if it has ended, or if it is the one that refused a stream.
func (s *session) flow(ctx context.Context, refused *flow) (*flow, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != nil && s.current != refused && s.current.alive() {
		return s.current, nil
	}
	if s.current != nil {
		s.retired = append(s.retired, s.current)
		s.current = nil
	}
	begin := time.Now()
	opened, err := dial(ctx, s.service, s.tls, s.options.IdleTimeout)
	if err != nil {
		s.record.failedDial(s.service, begin, err)
		return nil, err
	}
	s.record.opened(s.service, opened)
	s.current = opened
	return opened, nil
}

// attempt makes one attempt. It opens a new connection as long as nothing of
// the request was sent.
func (s *session) attempt(ctx context.Context, r *request) Attempt {
	var refused *flow
	last := Attempt{ID: r.id, Ticket: r.ticket}
	for range maxDials {
		f, err := s.flow(ctx, refused)
		if err != nil {
			return last.fail(err)
		}
		last = r.run(ctx, f, s.options.Timeout)
		if last.Sent || ctx.Err() != nil {
			return last
		}
		refused = f
	}
	return last
}

// putTicket keeps a ticket for a later request.
func (s *session) putTicket(ticket string) {
	if ticket == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets = append(s.tickets, ticket)
}

func (s *session) popTicket() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tickets) == 0 {
		return ""
	}
	ticket := s.tickets[len(s.tickets)-1]
	s.tickets = s.tickets[:len(s.tickets)-1]
	return ticket
}

// finish ends the connections of the session.
func (s *session) finish() {
	s.mu.Lock()
	flows := s.retired
	if s.current != nil {
		flows = append(flows, s.current)
	}
	s.mu.Unlock()
	for _, f := range flows {
		f.finish()
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
