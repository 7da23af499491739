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
	// transferTimeout bounds the search for a successor, the transfer of the
	// tickets to it, and movedReplyPeriod together.
	transferTimeout = 30 * time.Second
	// transferRequestTimeout bounds one request that transfers the table.
	transferRequestTimeout = 10 * time.Second
	// movedReplyPeriod is how long a stopping home continues to answer with
	// the identity of its successor. It also bounds the announcement to a peer.
	movedReplyPeriod = 3 * time.Second
)

// transferTickets transfers the tickets of a stopping agent to another agent of
// the service. Without a successor their outcome becomes unknown.
func (a *Agent) transferTickets(ctx context.Context) {
	if !a.tickets.issued.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	successor, err := a.transferToSuccessor(ctx)
	if err != nil {
		a.metrics.event("tickets_lost")
		a.log.Warn("tickets could not be transferred; their outcome is unknown from now on", zap.Error(err))
		return
	}
	a.log.Info("tickets transferred to successor", zap.Stringer("successor", successor.Address))
	a.announceSuccession(ctx, ticket.Succession{From: a.tickets.self, To: successor})
	_ = pause(ctx, movedReplyPeriod)
}

// transferToSuccessor freezes the home and offers its table to one agent after
// the other until one adopts it. An agent that has not answered a transfer may
// have adopted the table, so the search ends there.
func (a *Agent) transferToSuccessor(ctx context.Context) (ticket.Identity, error) {
	var snapshot ticket.Snapshot
	a.tickets.withHome(func(h *ticket.Home) { snapshot = h.Freeze(a.now()) })
	err := error(trace.NotFound("service has no other agent that can take over"))
	for _, p := range a.successorCandidates() {
		var to ticket.Identity
		if to, err = a.fetchIdentity(ctx, p); err != nil {
			continue
		}
		a.tickets.withHome(func(h *ticket.Home) { err = h.Offer(to) })
		if err != nil {
			return ticket.Identity{}, err
		}
		if err = a.sendTransfer(ctx, p, transfer{To: to, Snapshot: snapshot}); err == nil {
			a.tickets.withHome(func(h *ticket.Home) { h.OfferAccepted(to) })
			return to, nil
		}
		if !isRefusal(err) {
			return ticket.Identity{}, err
		}
		a.tickets.withHome(func(h *ticket.Home) { h.OfferRefused(to) })
	}
	return ticket.Identity{}, err
}

// successorCandidates lists the agents that may take over the tickets. The order
// depends on this agent's address, so that the tickets of several stopping
// agents are spread.
func (a *Agent) successorCandidates() []peerAgent {
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

func (a *Agent) fetchIdentity(ctx context.Context, p peerAgent) (id ticket.Identity, err error) {
	ctx, cancel := context.WithTimeout(ctx, homeRequestTimeout)
	defer cancel()
	err = a.callPeer(ctx, p, identityPath, struct{}{}, &id)
	return id, err
}

// sendTransfer sends the table until the peer has answered. A refusal counts
// only if every request was answered: after one without an answer the peer may
// have adopted the table and transferred it to its own successor.
func (a *Agent) sendTransfer(ctx context.Context, p peerAgent, t transfer) error {
	answered := true
	for {
		try, cancel := context.WithTimeout(ctx, transferRequestTimeout)
		err := a.callPeer(try, p, transferPath, t, &struct{}{})
		cancel()
		if err == nil || isRefusal(err) && answered {
			return err
		}
		answered = answered && isRefusal(err)
		if pause(ctx, homeRetryInterval) != nil {
			// The cause is not wrapped, so that isRefusal does not find it.
			return trace.ConnectionProblem(nil, "no conclusive answer of the successor to the transfer: %v", err)
		}
	}
}

// isRefusal says whether a peer answered that it refuses the message.
func isRefusal(err error) bool {
	var status *peer.StatusError
	return errors.As(err, &status) && status.Code == http.StatusConflict
}

// announceSuccession records a succession and sends it to the other agents of
// the service in the background.
func (a *Agent) announceSuccession(ctx context.Context, s ticket.Succession) {
	if err := a.tickets.recordSuccessions([]ticket.Succession{s}); err != nil {
		a.log.Warn("succession could not be recorded", zap.Error(err))
	}
	for _, p := range a.view().peers {
		a.reportInBackground(func(later context.Context) {
			try, cancel := context.WithTimeout(later, movedReplyPeriod)
			defer cancel()
			if err := a.callPeer(try, p, successionPath, []ticket.Succession{s}, &struct{}{}); err != nil {
				a.log.Debug("succession could not be sent to peer", zap.String("peer", string(p.id)), zap.Error(err))
			}
		})
	}
}

// callPeer sends a message to a peer and decodes its reply into reply.
func (a *Agent) callPeer(ctx context.Context, p peerAgent, path string, message, reply any) error {
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
