package agent

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"trefoilweir.example/core/ticket"
)

// claim asks the home of a ticket for permission to run an attempt. sent says
// that the home may have received the claim.
func (a *Agent) claim(ctx context.Context, c ticket.Claim) (reply ticket.ClaimReply, sent bool, err error) {
	toHomeReply := func(r ticket.ClaimReply) homeReply {
		reply = r
		switch r.Outcome {
		case ticket.NotHome:
			return homeReply{err: ticket.ErrNotHome}
		case ticket.Moved:
			return homeReply{retry: true, successor: r.Successor}
		default:
			return homeReply{}
		}
	}
	call := &homeCall{
		ticket: c.Ticket, path: claimPath, body: c,
		local: func() homeReply { return toHomeReply(a.tickets.claim(c)) },
		remote: func(data []byte) homeReply {
			var r ticket.ClaimReply
			if err := cbor.Unmarshal(data, &r); err != nil {
				return homeReply{err: trace.Wrap(err, "decode the reply to a claim")}
			}
			return toHomeReply(r)
		},
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err = a.callHome(ctx, call)
	return reply, call.sent, err
}

// release reports to the home that an attempt did not run. A nil result means
// that no attempt of the ticket has run.
func (a *Agent) release(ctx context.Context, r ticket.Release) error {
	return a.report(ctx, r.Ticket, releasePath, r, func() error { return a.tickets.release(r) })
}

// complete reports to the home that an attempt ran.
func (a *Agent) complete(ctx context.Context, c ticket.Complete) error {
	return a.report(ctx, c.Ticket, completePath, c, func() error { return a.tickets.complete(c) })
}

// report sends a Complete or Release to the home of a ticket and returns the
// error of the home. local records the message if this agent is the home.
func (a *Agent) report(ctx context.Context, t ticket.Ticket, path string, body any, local func() error) error {
	var result error
	toHomeReply := func(r reportReply) homeReply {
		result = ticketErrors[r.ErrorKey]
		switch {
		case errors.Is(result, ticket.ErrNotHome), errors.Is(result, ticket.ErrFull):
			return homeReply{err: result}
		case errors.Is(result, ticket.ErrFrozen):
			return homeReply{retry: true, successor: r.Successor}
		default:
			return homeReply{}
		}
	}
	err := a.callHome(ctx, &homeCall{
		ticket: t, path: path, body: body,
		local: func() homeReply { return toHomeReply(a.replyToReport(local())) },
		remote: func(data []byte) homeReply {
			var r reportReply
			if err := cbor.Unmarshal(data, &r); err != nil {
				return homeReply{err: trace.Wrap(err, "decode the reply to a report")}
			}
			return toHomeReply(r)
		},
	})
	if err != nil {
		return err
	}
	return result
}
