package agent

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/ticket"
)

const (
	// homeRequestTimeout bounds one request to a home or about its successor.
	homeRequestTimeout = 700 * time.Millisecond
	// homeRetryInterval is the wait before a request to a home is repeated.
	homeRetryInterval = 50 * time.Millisecond
	// claimTimeout bounds a claim, or a final release, with its retries. A
	// caller waits for both.
	claimTimeout = 3 * time.Second
	// reportTimeout bounds a background report with its retries.
	reportTimeout = 30 * time.Second
	// maxLookupPeers is how many peers are asked for the successor of a home.
	maxLookupPeers = 8
)

// errHomeGone means that the home's process no longer exists and that no peer
// that was asked knows a successor.
var errHomeGone = errors.New("home of the ticket no longer exists and has no known successor")

// homeReply is the result of one request to a home.
type homeReply struct {
	// retry says that the home is frozen, so that the request must go to its
	// successor.
	retry bool
	// successor is the successor of a frozen home, if it is known.
	successor ticket.Identity
	err       error
}

// homeCall is one message to the home of a ticket.
type homeCall struct {
	ticket ticket.Ticket
	path   string
	body   any
	// local handles the message if this agent is the home.
	local func() homeReply
	// remote decodes the reply of another agent.
	remote func(data []byte) homeReply
	// sent says that the message may have reached a home.
	sent bool
}

// callHome sends a message to the process that is now the home of the ticket.
// It retries until there is a reply, the home no longer exists, or ctx ends.
func (a *Agent) callHome(ctx context.Context, call *homeCall) error {
	home := call.ticket.Origin()
	for {
		if to, ok := a.tickets.resolve(home); ok {
			home = to
		}
		reply := a.callHomeOnce(ctx, home, call)
		switch {
		case reply.err == nil && !reply.retry:
			return nil
		case errors.Is(reply.err, ticket.ErrNotHome):
			if !a.lookUpSuccessor(ctx, home) {
				return errHomeGone
			}
			continue
		case reply.retry && reply.successor != ticket.Identity{}:
			if a.tickets.recordSuccessions([]ticket.Succession{{From: home, To: reply.successor}}) == nil {
				continue
			}
		case reply.err != nil && a.lookUpSuccessor(ctx, home):
			// The home made a planned stop and its successor is now known.
			continue
		}
		if pause(ctx, homeRetryInterval) != nil {
			return trace.ConnectionProblem(reply.err, "no usable reply from the home of the ticket")
		}
	}
}

// pause waits and returns the error of ctx if that ends first.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// callHomeOnce sends a message to the given home once. The error ErrNotHome
// means that this identity is certainly not the home of the ticket.
func (a *Agent) callHomeOnce(ctx context.Context, home ticket.Identity, call *homeCall) homeReply {
	if home.Address == a.tickets.self.Address {
		if home != a.tickets.self {
			return homeReply{err: ticket.ErrNotHome}
		}
		call.sent = true
		return call.local()
	}
	link, ok := a.peerAddressOf(home.Address)
	if !ok {
		return homeReply{err: ticket.ErrNotHome}
	}
	body, err := cbor.Marshal(call.body)
	if err != nil {
		return homeReply{err: trace.Wrap(err)}
	}
	ctx, cancel := context.WithTimeout(ctx, homeRequestTimeout)
	defer cancel()
	call.sent = true
	data, err := a.peers.RoundTrip(ctx, link, http.MethodPost, call.path, body)
	if err != nil {
		return homeReply{err: trace.Wrap(err)}
	}
	return call.remote(data)
}

// peerAddressOf returns the peer address of the agent with the given datagram
// address. The VM list serves agents that were removed from the configuration.
func (a *Agent) peerAddressOf(datagram netip.AddrPort) (netip.AddrPort, bool) {
	if p, ok := a.view().peerAt(datagram); ok {
		return p.linkAddr, true
	}
	for _, vm := range a.source.VMs() {
		if vm.Role == config.RoleAgent && vm.DatagramAddress == datagram {
			return vm.PeerAddress, true
		}
	}
	return netip.AddrPort{}, false
}

// lookUpSuccessor asks peers for the successor of a home. It reports whether
// the successor is now known.
func (a *Agent) lookUpSuccessor(ctx context.Context, id ticket.Identity) bool {
	if _, ok := a.tickets.resolve(id); ok {
		return true
	}
	body, err := cbor.Marshal(id)
	if err != nil {
		return false
	}
	peers := a.view().peers
	for _, p := range peers[:min(len(peers), maxLookupPeers)] {
		if p.datagramAddr == id.Address || ctx.Err() != nil {
			continue
		}
		if a.lookUpSuccessorAt(ctx, p, body) {
			return true
		}
	}
	return false
}

func (a *Agent) lookUpSuccessorAt(ctx context.Context, p peerAgent, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, homeRequestTimeout)
	defer cancel()
	data, err := a.peers.RoundTrip(ctx, p.linkAddr, http.MethodPost, lookupPath, body)
	if err != nil {
		return false
	}
	var path []ticket.Succession
	if err := cbor.Unmarshal(data, &path); err != nil || len(path) == 0 {
		return false
	}
	if err := a.tickets.recordSuccessions(path); err != nil {
		a.metrics.event("succession_conflict")
		a.log.Warn("successor reported by peer could not be recorded", zap.String("peer", string(p.id)), zap.Error(err))
		return false
	}
	return true
}
