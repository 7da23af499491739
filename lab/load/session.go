package load

import (
	"context"
	"crypto/tls"
	"sync"
	"time"
)

// maxDials limits the connections that a session tries for one attempt.
const maxDials = 5

// session is the state of a caller that uses one connection at a time, with its
// unused tickets.
type session struct {
	options   *Options
	service   Service
	tlsConfig *tls.Config
	recorder  *recorder

	mu            sync.Mutex
	current       *flow
	retired       []*flow
	unusedTickets []string
}

// getFlow returns the connection of the session. It opens a new one if there is
// none, or if the current one has ended or is the given refused one.
func (s *session) getFlow(ctx context.Context, refused *flow) (*flow, error) {
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
	opened, err := dial(ctx, s.service, s.tlsConfig, s.options.IdleTimeout)
	if err != nil {
		s.recorder.addFailedDial(s.service, begin, err)
		return nil, err
	}
	s.recorder.addFlow(s.service, opened)
	s.current = opened
	return opened, nil
}

// attempt makes one attempt. If no part of the request was sent, it tries again
// on a new connection, up to maxDials in total.
func (s *session) attempt(ctx context.Context, r *attemptRequest) Attempt {
	var refused *flow
	last := Attempt{ID: r.id, Ticket: r.ticket}
	for range maxDials {
		f, err := s.getFlow(ctx, refused)
		if err != nil {
			return last.withError(err)
		}
		last = r.send(ctx, f, s.options.Timeout)
		if last.Sent || ctx.Err() != nil {
			return last
		}
		refused = f
	}
	return last
}

// putTicket stores a ticket for a later request.
func (s *session) putTicket(ticket string) {
	if ticket == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unusedTickets = append(s.unusedTickets, ticket)
}

func (s *session) popTicket() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unusedTickets) == 0 {
		return ""
	}
	ticket := s.unusedTickets[len(s.unusedTickets)-1]
	s.unusedTickets = s.unusedTickets[:len(s.unusedTickets)-1]
	return ticket
}

// closeFlows closes the connections of the session when their requests have
// ended.
func (s *session) closeFlows() {
	s.mu.Lock()
	flows := s.retired
	if s.current != nil {
		flows = append(flows, s.current)
	}
	s.mu.Unlock()
	for _, f := range flows {
		f.closeWhenIdle()
	}
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
