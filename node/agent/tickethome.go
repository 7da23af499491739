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
	// homeTry bounds one question to a home.
	homeTry = 700 * time.Millisecond
	// homePause is the wait before a home is asked again.
	homePause = 50 * time.Millisecond
	// claimTime bounds a claim. A caller waits for it.
	claimTime = 3 * time.Second
	// settleTime bounds the attempts to report the end of an attempt.
	settleTime = 30 * time.Second
	// lookupPeers is how many peers are asked where a home has gone.
	lookupPeers = 8
)

// errHomeGone says that the home incarnation no longer exists and that nobody
// knows a successor.
var errHomeGone = errors.New("the home of the ticket is gone")

// homeReply is what came back from a home.
type homeReply struct {
	// again says that the home has moved, or is about to.
	again bool
	// successor is where it has moved, if that is known.
	successor ticket.Identity
	err       error
}

// homeCall is one message to the home of a ticket.
type homeCall struct {
	ticket ticket.Ticket
	path   string
	body   any
	// local answers if this agent is the home.
	local func() homeReply
	// remote reads the reply of another agent.
	remote func(data []byte) homeReply
	// sent says that the message may have reached a home.
	sent bool
}

// askHome brings a message to whoever answers for the ticket now. It goes on
// until there is a reply, the home is gone, or ctx ends.
func (a *Agent) askHome(ctx context.Context, call *homeCall) error {
	at := call.ticket.Origin()
	for {
		if to, ok := a.tickets.resolve(at); ok {
			at = to
		}
		reply := a.askOnce(ctx, at, call)
		switch {
		case reply.err == nil && !reply.again:
			return nil
		case errors.Is(reply.err, ticket.ErrNotHome):
			if !a.lookUp(ctx, at) {
				return errHomeGone
			}
			continue
		case reply.again && reply.successor != ticket.Identity{}:
			if a.tickets.record([]ticket.Succession{{From: at, To: reply.successor}}) == nil {
				continue
			}
		case reply.err != nil && a.lookUp(ctx, at):
			// The home has stopped as planned and has a successor.
			continue
		}
		if pause(ctx, homePause) != nil {
			return trace.ConnectionProblem(reply.err, "the home of the ticket does not answer")
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

// askOnce asks one agent. ErrNotHome says that it certainly is not the home.
func (a *Agent) askOnce(ctx context.Context, at ticket.Identity, call *homeCall) homeReply {
	if at.Address == a.tickets.self.Address {
		if at != a.tickets.self {
			return homeReply{err: ticket.ErrNotHome}
		}
		call.sent = true
		return call.local()
	}
	link, ok := a.linkOf(at.Address)
	if !ok {
		return homeReply{err: ticket.ErrNotHome}
	}
	body, err := cbor.Marshal(call.body)
	if err != nil {
		return homeReply{err: trace.Wrap(err)}
	}
	ctx, cancel := context.WithTimeout(ctx, homeTry)
	defer cancel()
	call.sent = true
	data, err := a.peers.RoundTrip(ctx, link, http.MethodPost, call.path, body)
	if err != nil {
		return homeReply{err: trace.Wrap(err)}
	}
	return call.remote(data)
}

// linkOf returns the peer address of an agent with a datagram address, from
// the configuration or, for one that was removed there, from the VM list.
func (a *Agent) linkOf(datagram netip.AddrPort) (netip.AddrPort, bool) {
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

// lookUp asks peers where a home has gone. It reports whether one knew.
func (a *Agent) lookUp(ctx context.Context, id ticket.Identity) bool {
	if _, ok := a.tickets.resolve(id); ok {
		return true
	}
	body, err := cbor.Marshal(id)
	if err != nil {
		return false
	}
	peers := a.view().peers
	for _, p := range peers[:min(len(peers), lookupPeers)] {
		if p.datagramAddr == id.Address || ctx.Err() != nil {
			continue
		}
		if a.lookUpAt(ctx, p, body) {
			return true
		}
	}
	return false
}

func (a *Agent) lookUpAt(ctx context.Context, p peerAgent, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, homeTry)
	defer cancel()
	data, err := a.peers.RoundTrip(ctx, p.linkAddr, http.MethodPost, lookupPath, body)
	if err != nil {
		return false
	}
	var path []ticket.Succession
	if err := cbor.Unmarshal(data, &path); err != nil || len(path) == 0 {
		return false
	}
	if err := a.tickets.record(path); err != nil {
		a.metrics.event("succession_conflict")
		a.log.Warn("peer names another successor", zap.String("peer", string(p.id)), zap.Error(err))
		return false
	}
	return true
}
