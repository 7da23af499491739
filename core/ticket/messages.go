package ticket

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"trefoilweir.example/core/verdict"
)

// Attempt identifies one attempt to run a request. A holder never reuses a
// number.
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

// Complete reports that an attempt ran, with its answer. The home keeps the
// slices of the answer, so the caller must not change them afterwards.
type Complete struct {
	Ticket  Ticket  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	Answer  Answer  `cbor:"3,keyasint"`
}

// Release reports that an attempt certainly did not run and never will.
type Release struct {
	Ticket  Ticket  `cbor:"1,keyasint"`
	Attempt Attempt `cbor:"2,keyasint"`
	// Final closes the ticket if the released attempt is the granted one. A
	// holder that reports "not run" to its caller must set it. Otherwise a
	// delayed Claim of an older attempt could still be granted, and the request
	// would run after that report.
	Final bool `cbor:"3,keyasint,omitempty"`
}

// Answer is the stored answer of a request.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
	// StatusOnly reports that header and body were too large to store.
	StatusOnly bool `cbor:"4,keyasint,omitempty"`
}

// Field is a header field of an answer.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// size returns the size that counts towards the limits, in bytes.
func (a *Answer) size() int {
	n := len(a.Body)
	for i := range a.Header {
		n += len(a.Header[i].Name) + len(a.Header[i].Value)
	}
	return n
}

// Outcome is the home's decision on a Claim.
type Outcome uint8

// The outcomes. Only Granted permits the holder to run the attempt.
const (
	// Unknown means that an earlier attempt was granted to a holder that has
	// ended. It is final, unless a Complete or Release that the holder sent
	// before still arrives.
	Unknown Outcome = iota
	// Granted means that the holder must run this attempt once or release it.
	Granted
	// Done means that the ticket has run. The reply carries the answer.
	Done
	// Busy means that another attempt is running.
	Busy
	// Expired means that the ticket is outside its lifetime. The home may have
	// deleted what it knew about it.
	Expired
	// Released means that this attempt was released. It is final for the
	// attempt.
	Released
	// Exhausted means that too many attempts of the ticket were released. The
	// caller needs another ticket.
	Exhausted
	// Full means that the table has no room for another ticket.
	Full
	// Moved means that the home has frozen its table for a successor. The reply
	// carries the successor once it has adopted the table.
	Moved
	// NotHome means that this process is not the home of the ticket.
	NotHome
	// Closed means that a final Release refused the request. It did not run and
	// never will.
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
	// Verdict is what is known about all attempts of the ticket, if this one
	// is not granted.
	Verdict verdict.Verdict `cbor:"2,keyasint"`
	// Answer is set if Outcome is Done. It is shared and must not be changed.
	Answer *Answer `cbor:"3,keyasint,omitempty"`
	// Successor is set if Outcome is Moved and the successor has adopted the
	// table.
	Successor Identity `cbor:"4,keyasint"`
}

// Errors that Home and Successions return. Test for them with errors.Is.
var (
	// ErrRunning means that another attempt of the ticket is running.
	ErrRunning = errors.New("another attempt of the ticket is running")
	// ErrCompleted means that the ticket has run.
	ErrCompleted = errors.New("ticket has run")
	// ErrExpired means that the ticket is outside its lifetime. Its attempts
	// are never granted again.
	ErrExpired = errors.New("ticket has expired")
	// ErrNotGranted means that a completed attempt was not granted. The home
	// grants no further attempt of the ticket.
	ErrNotGranted = errors.New("completed attempt was not granted")
	// ErrFull means that a limit is reached and nothing was changed.
	ErrFull = errors.New("table is full")
	// ErrFrozen means that the home has frozen its table. The message must be
	// sent to the successor.
	ErrFrozen = errors.New("home is frozen")
	// ErrNotHome means that this process is not the home of the ticket.
	ErrNotHome = errors.New("not the home of the ticket")
	// ErrInvalidSnapshot means that a snapshot is inconsistent, belongs to
	// another service, or holds an identity that the home has already.
	ErrInvalidSnapshot = errors.New("snapshot is not valid here")
	// ErrCannotOffer means that the table is not frozen, or that another
	// successor may have adopted it.
	ErrCannotOffer = errors.New("table is not frozen, or another successor may have adopted it")
	// ErrSuccessionConflict means that another successor is recorded, or that
	// the two identities are equal or of different services.
	ErrSuccessionConflict = errors.New("another successor is recorded")
)

// ReleaseSettled reports whether a result of Home.Release is final: the attempt
// will never be granted, and the holder need not send the Release again. Only
// a nil result also means that the ticket has not run.
func ReleaseSettled(release error) bool {
	return release == nil || errors.Is(release, ErrRunning) || errors.Is(release, ErrCompleted) || errors.Is(release, ErrExpired)
}

// Limits bound a Home. A zero field takes its default.
type Limits struct {
	// Lifetime is how long a ticket is valid. Default 10 min.
	Lifetime time.Duration
	// MaxTickets is the maximum number of stored tickets. A home refuses new
	// tickets beyond a sustained rate of MaxTickets/Lifetime. Default 131,072,
	// which is 218/s and 28 MB.
	MaxTickets int
	// MaxReleased is the maximum number of stored released attempts of one
	// ticket. Default 16.
	MaxReleased int
	// MaxAnswerSize is the maximum size of a stored answer, in bytes. Default
	// 64 KiB.
	MaxAnswerSize int
	// MaxTotalAnswerSize is the maximum size of all stored answers, in bytes.
	// Beyond it, only the status of an answer is stored. Default 16 MiB.
	MaxTotalAnswerSize int
	// AnswerRetention is the minimum time for which an answer is stored, even
	// if the ticket expires before. Default 1 min.
	AnswerRetention time.Duration
	// MaxOrigins is the maximum number of identities in the table: those with
	// valid tickets, and those whose last ticket expired in the last 24 h.
	// Default 256.
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
