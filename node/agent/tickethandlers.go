package agent

import (
	"errors"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"trefoilweir.example/core/ticket"
)

// Paths for ticket messages on the peer link, which is the connection between
// agents. Requests and replies are encoded in CBOR.
const (
	claimPath      = "/ticket/claim"
	completePath   = "/ticket/complete"
	releasePath    = "/ticket/release"
	transferPath   = "/ticket/transfer"
	successionPath = "/ticket/succession"
	lookupPath     = "/ticket/lookup"
	identityPath   = "/ticket/identity"
)

const (
	// maxTicketMessageSize limits a message other than a transfer, in bytes. A
	// stored answer has at most 64 KiB.
	maxTicketMessageSize = 128 << 10
	// maxTransferSize limits the transfer of a home's table, in bytes. By
	// default a table has at most 16 MiB of answers and 131,072 tickets.
	maxTransferSize = 128 << 20
)

// reportReply is the reply to Complete and Release.
type reportReply struct {
	// ErrorKey is the key of an error in ticketErrors. Empty means success.
	ErrorKey string `cbor:"1,keyasint,omitempty"`
	// Successor is set if the home is frozen and its successor is known.
	Successor ticket.Identity `cbor:"2,keyasint"`
}

// transfer carries the table of a home to the agent To.
type transfer struct {
	To       ticket.Identity `cbor:"1,keyasint"`
	Snapshot ticket.Snapshot `cbor:"2,keyasint"`
}

// ticketErrors maps stable keys to the errors that are sent on the peer link.
var ticketErrors = map[string]error{
	"running":     ticket.ErrRunning,
	"completed":   ticket.ErrCompleted,
	"expired":     ticket.ErrExpired,
	"not_granted": ticket.ErrNotGranted,
	"full":        ticket.ErrFull,
	"frozen":      ticket.ErrFrozen,
	"not_home":    ticket.ErrNotHome,
}

func errorKey(err error) string {
	for key, known := range ticketErrors {
		if errors.Is(err, known) {
			return key
		}
	}
	return ""
}

func (a *Agent) registerTicketHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST "+claimPath, handleMessage(a, maxTicketMessageSize, func(c ticket.Claim) (any, error) {
		return a.tickets.claim(c), nil
	}))
	mux.HandleFunc("POST "+completePath, handleMessage(a, maxTicketMessageSize, func(c ticket.Complete) (any, error) {
		return a.replyToReport(a.tickets.complete(c)), nil
	}))
	mux.HandleFunc("POST "+releasePath, handleMessage(a, maxTicketMessageSize, func(r ticket.Release) (any, error) {
		return a.replyToReport(a.tickets.release(r)), nil
	}))
	mux.HandleFunc("POST "+transferPath, handleMessage(a, maxTransferSize, a.receiveTransfer))
	mux.HandleFunc("POST "+successionPath, handleMessage(a, maxTicketMessageSize, a.receiveSuccession))
	mux.HandleFunc("POST "+lookupPath, handleMessage(a, maxTicketMessageSize, func(id ticket.Identity) (any, error) {
		return a.tickets.successionsFrom(id), nil
	}))
	mux.HandleFunc("POST "+identityPath, handleMessage(a, maxTicketMessageSize, func(struct{}) (any, error) {
		if a.load.draining.Load() {
			return nil, errDraining
		}
		return a.tickets.self, nil
	}))
}

var (
	errDraining     = errors.New("this agent drains")
	errOtherProcess = errors.New("the message is for another process")
)

func (a *Agent) replyToReport(err error) reportReply {
	reply := reportReply{ErrorKey: errorKey(err)}
	if errors.Is(err, ticket.ErrFrozen) {
		reply.Successor, _ = a.tickets.successor()
	}
	return reply
}

// handleMessage returns a handler that decodes messages of up to limit bytes
// and replies with the result of handle. It answers 400 if a message cannot be
// decoded and 409 if handle returns an error.
func handleMessage[T any](a *Agent, limit int64, handle func(T) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var message T
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err == nil {
			err = cbor.Unmarshal(body, &message)
		}
		if err != nil {
			a.metrics.rejected("ticket", "message")
			http.Error(w, "message cannot be read", http.StatusBadRequest)
			return
		}
		reply, err := handle(message)
		if err != nil {
			a.metrics.rejected("ticket", "refused")
			http.Error(w, err.Error(), http.StatusConflict)
			return
		}
		data, err := cbor.Marshal(reply)
		if err != nil {
			http.Error(w, "reply cannot be encoded", http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(data)
	}
}

// receiveTransfer adopts the table of a stopping agent's home.
func (a *Agent) receiveTransfer(t transfer) (any, error) {
	if t.To != a.tickets.self {
		return nil, errOtherProcess
	}
	if a.load.draining.Load() {
		return nil, errDraining
	}
	if err := a.tickets.adopt(t.Snapshot); err != nil {
		return nil, err
	}
	a.metrics.event("tickets_adopted")
	return struct{}{}, nil
}

func (a *Agent) receiveSuccession(list []ticket.Succession) (any, error) {
	if err := a.tickets.recordSuccessions(list); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}
