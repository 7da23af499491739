package agent

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"trefoilweir.example/core/placement"
	"trefoilweir.example/core/ticket"
	"trefoilweir.example/node/peer"
)

const (
	// handOnTime bounds the transfer of the tickets to a successor.
	handOnTime = 30 * time.Second
	// transferTry bounds one sending of the table.
	transferTry = 10 * time.Second
	// pointTime is how long a stopped home goes on pointing to its successor.
	pointTime = 3 * time.Second
)

// handOnTickets gives the tickets of a stopping agent to another agent of the
// service. Without a successor their outcome becomes unknown.
func (a *Agent) handOnTickets(ctx context.Context) {
	if !a.tickets.issued.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, handOnTime)
	defer cancel()
	successor, err := a.findSuccessor(ctx)
	if err != nil {
		a.metrics.event("tickets_lost")
		a.log.Warn("no agent took over the tickets, their outcome is unknown from now on", zap.Error(err))
		return
	}
	a.log.Info("tickets handed on", zap.Stringer("successor", successor.Address))
	a.announce(ctx, ticket.Succession{From: a.tickets.self, To: successor})
	_ = pause(ctx, pointTime)
}

// findSuccessor freezes the home and offers its table to one agent after the
// other. An agent that has not answered may have adopted the table, so nobody
// else is asked then.
func (a *Agent) findSuccessor(ctx context.Context) (ticket.Identity, error) {
	var snapshot ticket.Snapshot
	a.tickets.withHome(func(h *ticket.Home) { snapshot = h.Freeze(a.now()) })
	err := error(trace.NotFound("the service has no other agent"))
	for _, p := range a.successors() {
		var to ticket.Identity
		if to, err = a.identityOf(ctx, p); err != nil {
			continue
		}
		a.tickets.withHome(func(h *ticket.Home) { err = h.Offer(to) })
		if err != nil {
			return ticket.Identity{}, err
		}
		if err = a.transferTo(ctx, p, transfer{To: to, Snapshot: snapshot}); err == nil {
			a.tickets.withHome(func(h *ticket.Home) { h.OfferAccepted(to) })
			return to, nil
		}
		if !refused(err) {
			return ticket.Identity{}, err
		}
		a.tickets.withHome(func(h *ticket.Home) { h.OfferRefused(to) })
	}
	return ticket.Identity{}, err
}

// successors lists the agents that may take over, in an order that spreads the
// tickets of several stopping agents.
func (a *Agent) successors() []peerAgent {
	v := a.view()
	ranked := placement.Rank(nil, a.self.service, []byte(a.self.address.String()), v.candidates, placement.MaxCandidates)
	peers := make([]peerAgent, 0, len(ranked))
	for _, address := range ranked {
		if p, ok := v.peerAt(address); ok {
			peers = append(peers, p)
		}
	}
	return peers
}

func (a *Agent) identityOf(ctx context.Context, p peerAgent) (id ticket.Identity, err error) {
	ctx, cancel := context.WithTimeout(ctx, homeTry)
	defer cancel()
	err = a.tell(ctx, p, identityPath, struct{}{}, &id)
	return id, err
}

// transferTo sends the table until there is an answer. A refusal counts only if
// every sending was answered: after one without an answer the peer may have
// adopted the table and handed it on itself.
func (a *Agent) transferTo(ctx context.Context, p peerAgent, t transfer) error {
	answered := true
	for {
		try, cancel := context.WithTimeout(ctx, transferTry)
		err := a.tell(try, p, transferPath, t, &struct{}{})
		cancel()
		if err == nil || refused(err) && answered {
			return err
		}
		answered = answered && refused(err)
		if pause(ctx, homePause) != nil {
			// The cause is not wrapped, so that it does not count as a refusal.
			return trace.ConnectionProblem(nil, "the successor does not answer: %v", err)
		}
	}
}

// refused says that a peer has answered with a refusal.
func refused(err error) bool {
	var status *peer.StatusError
	return errors.As(err, &status) && status.Code == http.StatusConflict
}

// announce tells the agents of the service who answers for the tickets now.
func (a *Agent) announce(ctx context.Context, s ticket.Succession) {
	if err := a.tickets.record([]ticket.Succession{s}); err != nil {
		a.log.Warn("succession could not be recorded", zap.Error(err))
	}
	for _, p := range a.view().peers {
		a.later(func(later context.Context) {
			try, cancel := context.WithTimeout(later, pointTime)
			defer cancel()
			if err := a.tell(try, p, successionPath, []ticket.Succession{s}, &struct{}{}); err != nil {
				a.log.Debug("peer was not told of a succession", zap.String("peer", string(p.id)), zap.Error(err))
			}
		})
	}
}

// tell sends a message to a peer and decodes the reply.
func (a *Agent) tell(ctx context.Context, p peerAgent, path string, message, reply any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return trace.Wrap(err)
	}
	data, err := a.peers.RoundTrip(ctx, p.linkAddr, http.MethodPost, path, body)
	if err != nil {
		return err
	}
	return trace.Wrap(cbor.Unmarshal(data, reply))
}
