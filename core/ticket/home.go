package ticket

import (
	"container/heap"
	"slices"
	"time"

	"trefoilweir.example/core/verdict"
)

// originRetention is how long an adopted origin is stored after its last
// ticket has expired. A predecessor that was paused during a transfer may send
// its old snapshot again when it resumes. Adopting that snapshot a second time
// would undo everything recorded since the first.
const originRetention = 24 * time.Hour

// origin is an identity whose tickets this home decides on: its own, or that
// of a predecessor whose table it has adopted.
type origin struct {
	id Identity
	// skew is the origin's clock minus the clock of this process.
	skew     time.Duration
	lifetime time.Duration
	// lastExpiry is when the last ticket of an adopted origin expires, on the
	// clock of this process. It is unused for the home's own identity.
	lastExpiry time.Duration
}

// key identifies a ticket in the table.
type key struct {
	origin *origin
	issued time.Duration
	nonce  uint64
}

// state is the state of a used ticket.
type state uint8

const (
	// stateReleased means that every attempt so far was released.
	stateReleased state = iota
	// stateRunning means that one attempt was granted and has not ended.
	stateRunning
	// stateDone means that an attempt ran.
	stateDone
	// stateClosed means that a final Release ended the granted attempt. No
	// other attempt may run.
	stateClosed
)

// entry is a used ticket.
type entry struct {
	state state
	// holderGone reports that the holder of the running attempt has ended.
	holderGone bool
	// exhausted reports that the list of released attempts overflowed. No
	// further attempt is granted, because it may be a released one that is
	// not in the list.
	exhausted bool
	attempt   Attempt
	released  []Attempt
	answer    *Answer
	// expires is when the entry may be deleted, on the clock of this process.
	// It is never before the ticket expires.
	expires time.Duration
}

// Home decides which attempts may run for the tickets of one agent incarnation
// and of its predecessors. It is not safe for concurrent use.
//
// Invariants:
//   - At most one attempt of a ticket is granted and not released at any time,
//     and none is granted after one has completed.
//   - A released attempt is never granted, even if the Release arrives before
//     the Claim.
//   - After the final Release of the granted attempt, no attempt of the ticket
//     is granted.
//   - Repeated Claims of an attempt get the same reply until the attempt ends.
//   - A used ticket is deleted only after it has expired, so it is never
//     mistaken for an unused one. A full table refuses unused tickets.
//   - After Freeze the home grants and changes nothing.
//   - The verdict NotRun is returned only if no attempt of the ticket has run
//     or may be running.
type Home struct {
	self        *origin
	limits      Limits
	origins     map[Identity]*origin
	entries     map[key]*entry
	expiry      expiryHeap
	answerBytes int
	now         time.Duration

	frozen    bool
	successor Identity
	// offered reports that successor may have adopted the table, moved that
	// it has.
	offered, moved bool
}

// NewHome returns a home whose table is empty.
func NewHome(self Identity, limits Limits) *Home {
	limits = limits.withDefaults()
	o := &origin{id: self, lifetime: limits.Lifetime}
	return &Home{
		self:    o,
		limits:  limits,
		origins: map[Identity]*origin{self: o},
		entries: make(map[key]*entry),
	}
}

// Claim decides whether an attempt may run.
func (h *Home) Claim(now time.Duration, c Claim) ClaimReply {
	h.Tick(now)
	if h.frozen {
		return h.movedReply()
	}
	o := h.origins[c.Ticket.Origin()]
	if o == nil {
		return ClaimReply{Outcome: NotHome}
	}
	k := keyOf(o, c.Ticket)
	if e := h.entries[k]; e != nil {
		return h.claimUsed(e, c.Attempt, h.valid(k))
	}
	if !h.valid(k) {
		return ClaimReply{Outcome: Expired}
	}
	if len(h.entries) >= h.limits.MaxTickets {
		return ClaimReply{Outcome: Full, Verdict: verdict.NotRun}
	}
	return h.insert(k).grant(c.Attempt)
}

// claimUsed decides on an attempt of a used ticket.
func (h *Home) claimUsed(e *entry, a Attempt, valid bool) ClaimReply {
	switch {
	case e.state == stateDone:
		return ClaimReply{Outcome: Done, Verdict: verdict.Ran, Answer: e.answer}
	case e.state == stateClosed:
		return ClaimReply{Outcome: Closed, Verdict: verdict.NotRun}
	case slices.Contains(e.released, a):
		return ClaimReply{Outcome: Released, Verdict: e.verdict()}
	case e.state == stateRunning && e.holderGone:
		return ClaimReply{Outcome: Unknown}
	case e.state == stateRunning && e.attempt == a:
		return ClaimReply{Outcome: Granted}
	case e.state == stateRunning:
		return ClaimReply{Outcome: Busy}
	case !valid:
		return ClaimReply{Outcome: Expired, Verdict: e.verdict()}
	case e.exhausted:
		return ClaimReply{Outcome: Exhausted, Verdict: e.verdict()}
	}
	return e.grant(a)
}

func (e *entry) grant(a Attempt) ClaimReply {
	e.state, e.attempt, e.holderGone = stateRunning, a, false
	return ClaimReply{Outcome: Granted}
}

// verdict returns what is known about a ticket whose Claim is not granted.
func (e *entry) verdict() verdict.Verdict {
	switch e.state {
	case stateReleased, stateClosed:
		return verdict.NotRun
	case stateDone:
		return verdict.Ran
	}
	return verdict.MayHaveRun
}

// Complete records that an attempt ran. Repeating it changes nothing. A
// Complete proves that the ticket ran: if the attempt was not granted or was
// released, the home still grants nothing more, and returns ErrNotGranted to
// report the fault. It returns ErrCompleted if another attempt has completed.
func (h *Home) Complete(now time.Duration, c Complete) error {
	e, err := h.findOrInsert(now, c.Ticket)
	if err != nil {
		return err
	}
	if e.state == stateDone {
		if e.attempt == c.Attempt {
			return nil
		}
		return ErrCompleted
	}
	granted := e.state == stateRunning && e.attempt == c.Attempt
	e.state, e.attempt, e.holderGone, e.released = stateDone, c.Attempt, false, nil
	e.answer = h.retainAnswer(c.Answer)
	e.expires = max(e.expires, h.now+h.limits.AnswerRetention)
	if !granted {
		return ErrNotGranted
	}
	return nil
}

// retainAnswer returns the answer to store, or only its status if a limit on
// the size of answers is exceeded. It counts the size of a stored answer.
func (h *Home) retainAnswer(a Answer) *Answer {
	n := a.size()
	if n > h.limits.MaxAnswerSize || h.answerBytes+n > h.limits.MaxTotalAnswerSize {
		return &Answer{Status: a.Status, StatusOnly: true}
	}
	h.answerBytes += n
	return &a
}

// Release records that an attempt did not run and never will. It returns nil
// if the ticket has not run. ErrRunning and ErrCompleted mean that the attempt
// is released, but another one is running or has run. ReleaseSettled reports
// whether the Release must be sent again.
func (h *Home) Release(now time.Duration, r Release) error {
	e, err := h.findOrInsert(now, r.Ticket)
	if err != nil {
		return err
	}
	if e.state == stateDone {
		return ErrCompleted
	}
	if r.Final && e.state == stateRunning && e.attempt == r.Attempt {
		e.state, e.holderGone = stateClosed, false
	}
	h.recordRelease(e, r.Attempt)
	if e.state == stateRunning {
		return ErrRunning
	}
	return nil
}

// recordRelease stores a released attempt. If the list is full, it marks the
// entry as exhausted, so that the attempt is never granted either.
func (h *Home) recordRelease(e *entry, a Attempt) {
	if e.state == stateRunning && e.attempt == a {
		e.state, e.holderGone = stateReleased, false
	}
	switch {
	case slices.Contains(e.released, a):
	case len(e.released) < h.limits.MaxReleased:
		e.released = append(e.released, a)
	default:
		e.exhausted = true
	}
}

// HolderGone records that a holder's process has ended; gone selects its
// attempts. The outcome of those that are running stays unknown, unless a
// Complete or Release that the holder sent before still arrives.
func (h *Home) HolderGone(now time.Duration, gone func(Attempt) bool) {
	h.Tick(now)
	if h.frozen {
		return
	}
	for _, e := range h.entries {
		if e.state == stateRunning && gone(e.attempt) {
			e.holderGone = true
		}
	}
}

// Tick deletes expired entries. The other methods that take a time call it
// too.
func (h *Home) Tick(now time.Duration) {
	h.now = max(h.now, now)
	if h.frozen {
		return
	}
	for len(h.expiry) > 0 && h.expiry[0].at <= h.now {
		due := heap.Pop(&h.expiry).(deadline)
		e := h.entries[due.key]
		if e.expires > h.now {
			heap.Push(&h.expiry, deadline{e.expires, due.key})
			continue
		}
		if e.answer != nil {
			h.answerBytes -= e.answer.size()
		}
		delete(h.entries, due.key)
	}
}

// Stats describes the table for status reports.
type Stats struct {
	Tickets     int  `json:"tickets"`
	AnswerBytes int  `json:"answer_bytes"`
	Origins     int  `json:"origins"`
	Frozen      bool `json:"frozen"`
}

// Stats returns the size and state of the table.
func (h *Home) Stats() Stats {
	return Stats{len(h.entries), h.answerBytes, len(h.origins), h.frozen}
}
