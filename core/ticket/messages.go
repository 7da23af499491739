package ticket

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"trefoilweir.example/core/verdict"
)

// Attempt identifies one attempt to run a request. A holder gives every
// attempt another number and never uses one again.
type Attempt struct {
	// Holder is the peer address of the agent that has the request.
	Holder      netip.AddrPort `cbor:"1,keyasint"`
	Incarnation uint64         `cbor:"2,keyasint"`
	Number      uint64         `cbor:"3,keyasint"`
}

// Claim asks the home for permission to run an attempt.
type Claim struct {
	Ticket  Ticket  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
}

// Complete reports that an attempt ran, with its answer. The home takes over
// the slices of the answer.
type Complete struct {
	Ticket  Ticket  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Answer  `cbor:"3,keyasint"`
}

// Release reports that an attempt certainly did not run and never will.
type Release struct {
	Ticket  Ticket  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	// Final closes the ticket. A holder that answers "not run" must set it: a
	// Claim of an older attempt may still be under way, and would otherwise
	// run the request after the caller was told that it did not run.
	Final bool `cbor:"3,keyasint,omitempty"`
}

// Answer is the kept answer of a request.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
	// StatusOnly says that header and body were too large to keep.
	StatusOnly bool `cbor:"4,keyasint,omitempty"`
}

// Field is a header field of an answer.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// size returns the bytes that count towards the limits.
func (a *Answer) size() int {
	n := len(a.Body)
	for i := range a.Header {
		n += len(a.Header[i].Name) + len(a.Header[i].Value)
	}
	return n
}

// Outcome is the home's decision on a Claim.
type Outcome uint8

// The outcomeCount. Only Granted permits the holder to run the attempt.
const (
	// Unknown means that an earlier attempt was granted to a holder that is
	// gone. It is final.
	Unknown Outcome = iota
	// Granted means: run this attempt once.
	Granted
	// Done means that the ticket has run; the reply carries the answer.
	Done
	// Busy means that another attempt is running.
	Busy
	// Expired means that the ticket is too old. Nothing is known about it.
	Expired
	// Released means that this attempt was released before. It is final for
	// the attempt.
	Released
	// Exhausted means that too many attempts of the ticket were released. The
	// caller needs another ticket.
	Exhausted
	// Full means that the home cannot remember another ticket now.
	Full
	// Moved means that the home has handed over its tickets; the reply
	// carries the successor, if it is known already.
	Moved
	// NotHome means that this process never answered for the ticket.
	NotHome
	// Closed means that the request was refused. It did not run and never
	// will. It is final.
	Closed

	outcomeCount
)

var outcomeNames = [outcomeCount]string{"unknown", "granted", "done", "busy", "expired", "released", "exhausted", "full", "moved", "not_home", "closed"}

// String returns a stable name for logs and metrics.
func (o Outcome) String() string {
	if o < outcomeCount {
		return outcomeNames[o]
	}
	return fmt.Sprintf("outcome(%d)", uint8(o))
}

// ClaimReply is the home's reply to a Claim.
type ClaimReply struct {
	Outcome Outcome `cbor:"1,keyasint"`
	// Verdict is what is known about the ticket, not only about the attempt,
	// if the holder does not run it.
	Verdict verdict.Verdict `cbor:"2,keyasint"`
	// Answer is set if the outcome is Done. It is shared and must not be
	// changed.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Successor is set if the outcome is Moved and it is known.
	Successor Identity `cbor:"4,keyasint"`
}

// Errors of the home. Use errors.Is.
var (
	// ErrRunning means that another attempt of the ticket is running.
	ErrRunning = errors.New("another attempt of the ticket is running")
	// ErrCompleted means that the ticket has run.
	ErrCompleted = errors.New("ticket has run")
	// ErrExpired means that the ticket is too old; it is granted no more.
	ErrExpired = errors.New("ticket is expired")
	// ErrNotGranted means that a completed attempt was not granted. The home
	// grants nothing more on the ticket.
	ErrNotGranted = errors.New("completed attempt was not granted")
	// ErrFull means that a limit is reached and nothing was changed.
	ErrFull = errors.New("table is full")
	// ErrFrozen means that the home has frozen its table; the successor must
	// be told instead.
	ErrFrozen = errors.New("home is frozen")
	// ErrNotHome means that this process does not answer for the ticket.
	ErrNotHome = errors.New("not the home of the ticket")
	// ErrInvalidSnapshot means that a snapshot is inconsistent or of another service.
	ErrInvalidSnapshot = errors.New("snapshot is not valid here")
	// ErrCannotOffer means that another successor may have adopted the table.
	ErrCannotOffer = errors.New("another successor may have adopted the table")
	// ErrSuccessionConflict means that another successor is recorded.
	ErrSuccessionConflict = errors.New("another successor is recorded")
)

// ReleaseSettled says whether the result of Home.Release is final: the attempt will
// never be granted, and the holder need not send the Release again. Only a nil
// result also says that the ticket has not run.
func ReleaseSettled(release error) bool {
	return release == nil || errors.Is(release, ErrRunning) || errors.Is(release, ErrCompleted) || errors.Is(release, ErrExpired)
}

// Limits bound a Home. A zero field takes its default.
type Limits struct {
	// Lifetime is how long a ticket is valid. Default 10 min.
	Lifetime time.Duration
	// MaxTickets is how many used tickets are remembered. An agent that is
	// offered more than MaxTickets/Lifetime tickets per second refuses the
	// excess. Default 131,072, which is 218/s and 28 MB.
	MaxTickets int
	// MaxReleased is how many released attempts of one ticket are
	// remembered. Default 16.
	MaxReleased int
	// MaxAnswerSize is the size of the largest kept answer, in bytes. Default
	// 64 KiB.
	MaxAnswerSize int
	// MaxTotalAnswerSize is the size of all kept answers, in bytes. Answers
	// beyond it keep only their status. Default 16 MiB.
	MaxTotalAnswerSize int
	// AnswerRetention is how long an answer is kept at least, also if the ticket
	// expires before. Default 1 min.
	AnswerRetention time.Duration
	// MaxOrigins is how many identities the home answers for, or did in the
	// last 24 h. Default 256.
	MaxOrigins int
}

// The defaults of Limits.
const (
	DefaultLifetime           = 10 * time.Minute
	DefaultMaxTickets         = 1 << 17
	DefaultMaxReleased        = 16
	DefaultMaxAnswerSize      = 64 << 10
	DefaultMaxTotalAnswerSize = 16 << 20
	DefaultAnswerRetention    = time.Minute
	DefaultMaxOrigins         = 256
)

func (l Limits) withDefaults() Limits {
	l.Lifetime = cmp.Or(l.Lifetime, DefaultLifetime)
	l.MaxTickets = cmp.Or(l.MaxTickets, DefaultMaxTickets)
	l.MaxReleased = cmp.Or(l.MaxReleased, DefaultMaxReleased)
	l.MaxAnswerSize = cmp.Or(l.MaxAnswerSize, DefaultMaxAnswerSize)
	l.MaxTotalAnswerSize = cmp.Or(l.MaxTotalAnswerSize, DefaultMaxTotalAnswerSize)
	l.AnswerRetention = cmp.Or(l.AnswerRetention, DefaultAnswerRetention)
	l.MaxOrigins = cmp.Or(l.MaxOrigins, DefaultMaxOrigins)
	return l
}
