package ticket

import (
	"slices"
	"time"
)

// Snapshot is the frozen table of a home. The home sends it to its successor.
type Snapshot struct {
	// From is the identity whose home froze the table.
	From Identity `cbor:"1,keyasint"`
	// Now is the time of the freeze on the clock of From.
	Now     time.Duration    `cbor:"2,keyasint"`
	Origins []SnapshotOrigin `cbor:"3,keyasint"`
}

// SnapshotOrigin holds the used tickets of one identity.
type SnapshotOrigin struct {
	ID Identity `cbor:"1,keyasint"`
	// Skew is the origin's clock minus the clock of Snapshot.From.
	Skew     time.Duration `cbor:"2,keyasint"`
	Lifetime time.Duration `cbor:"3,keyasint"`
	// Ended reports that every ticket has expired. The identity is still in
	// the snapshot so that its table is not adopted again.
	Ended   bool            `cbor:"4,keyasint,omitempty"`
	Entries []SnapshotEntry `cbor:"5,keyasint,omitempty"`
}

// SnapshotEntry is one used ticket.
type SnapshotEntry struct {
	Issued     time.Duration `cbor:"1,keyasint"`
	Nonce      uint64        `cbor:"2,keyasint"`
	Running    bool          `cbor:"3,keyasint,omitempty"`
	HolderGone bool          `cbor:"4,keyasint,omitempty"`
	Exhausted  bool          `cbor:"5,keyasint,omitempty"`
	// Attempt is the running or the completed attempt.
	Attempt  Attempt   `cbor:"6,keyasint"`
	Released []Attempt `cbor:"7,keyasint,omitempty"`
	// Answer is set if the ticket has run.
	Answer *Answer `cbor:"8,keyasint,omitempty"`
	// Expires is when the entry may be deleted, on the clock of Snapshot.From.
	Expires time.Duration `cbor:"9,keyasint"`
	// Closed reports that a final Release closed the ticket.
	Closed bool `cbor:"10,keyasint,omitempty"`
}

// Freeze permanently stops the decisions of this home and returns its table. A
// second call returns the same table. It cannot be undone, because a successor
// may have adopted the table although its acknowledgement was lost.
func (h *Home) Freeze(now time.Duration) Snapshot {
	h.Tick(now)
	h.frozen = true
	s := Snapshot{From: h.self.id, Now: h.now}
	at := make(map[*origin]int, len(h.origins))
	for _, o := range h.origins {
		at[o] = len(s.Origins)
		s.Origins = append(s.Origins, SnapshotOrigin{ID: o.id, Skew: o.skew, Lifetime: o.lifetime,
			Ended: o != h.self && h.now >= o.lastExpiry})
	}
	for k, e := range h.entries {
		to := &s.Origins[at[k.origin]]
		to.Entries = append(to.Entries, SnapshotEntry{
			Issued: k.issued, Nonce: k.nonce, Running: e.state == stateRunning, HolderGone: e.holderGone,
			Exhausted: e.exhausted, Attempt: e.attempt, Released: slices.Clone(e.released), Answer: e.answer, Expires: e.expires,
			Closed: e.state == stateClosed,
		})
	}
	return s
}

// Offer records the successor that the snapshot is sent to. Call it before the
// first transfer. It returns ErrCannotOffer before Freeze, and while another
// agent may have adopted the table: two successors could both grant the same
// ticket.
func (h *Home) Offer(successor Identity) error {
	if !h.frozen || h.offered && h.successor != successor {
		return ErrCannotOffer
	}
	h.successor, h.offered = successor, true
	return nil
}

// OfferRefused records that the offered successor did not adopt the table and
// will not: it has answered every transfer with an error. The table may then be
// offered to another agent. Neither a missing answer nor the end of the
// successor's process is a refusal, because the successor may have adopted the
// table and transferred it to a successor of its own.
func (h *Home) OfferRefused(successor Identity) {
	if h.offered && !h.moved && h.successor == successor {
		h.offered = false
	}
}

// OfferAccepted records that the offered successor has adopted the table. From
// then on, replies to Claims name it.
func (h *Home) OfferAccepted(successor Identity) {
	if h.offered && h.successor == successor {
		h.moved = true
	}
}

func (h *Home) movedReply() ClaimReply {
	r := ClaimReply{Outcome: Moved}
	if h.moved {
		r.Successor = h.successor
	}
	return r
}

// Adopt takes over the table of a predecessor, with its running attempts. It
// adopts the whole table or nothing. Adopting the table of the same identity
// again changes nothing, so that a transfer can be repeated if its
// acknowledgement was lost.
//
// The time between Freeze and Adopt does not count: the lifetimes of tickets
// and entries are extended by it.
func (h *Home) Adopt(now time.Duration, s Snapshot) error {
	h.Tick(now)
	if h.frozen {
		return ErrFrozen
	}
	if s.From != h.self.id && h.origins[s.From] != nil {
		return nil
	}
	if err := h.checkSnapshot(s); err != nil {
		return err
	}
	h.dropExpiredOrigins()
	entries := 0
	for i := range s.Origins {
		entries += len(s.Origins[i].Entries)
	}
	if len(h.entries)+entries > h.limits.MaxTickets || len(h.origins)+len(s.Origins) > h.limits.MaxOrigins {
		return ErrFull
	}
	for i := range s.Origins {
		h.adoptOrigin(s.Now, &s.Origins[i])
	}
	return nil
}

// checkSnapshot returns ErrInvalidSnapshot if a snapshot would break an
// invariant: if it is of another service, holds an identity twice or one that
// this home has already, lacks its own origin, holds a ticket twice or in two
// states at once, or has entries that expire before their tickets.
func (h *Home) checkSnapshot(s Snapshot) error {
	seen := make(map[Identity]bool, len(s.Origins))
	for i := range s.Origins {
		o := &s.Origins[i]
		if o.ID.Service != h.self.id.Service || o.Lifetime <= 0 || seen[o.ID] || h.origins[o.ID] != nil {
			return ErrInvalidSnapshot
		}
		seen[o.ID] = true
		tickets := make(map[[2]uint64]bool, len(o.Entries))
		for j := range o.Entries {
			e := &o.Entries[j]
			id := [2]uint64{uint64(e.Issued), e.Nonce}
			if e.Expires < e.Issued+o.Lifetime-o.Skew || (e.Running || e.Closed) && e.Answer != nil || tickets[id] {
				return ErrInvalidSnapshot
			}
			tickets[id] = true
		}
	}
	if !seen[s.From] {
		return ErrInvalidSnapshot
	}
	return nil
}

// adoptOrigin takes over one origin. It computes the difference of the two
// clocks as if no time had passed since the freeze.
func (h *Home) adoptOrigin(frozenAt time.Duration, s *SnapshotOrigin) {
	shift := h.now - frozenAt
	o := &origin{id: s.ID, skew: s.Skew - shift, lifetime: s.Lifetime, lastExpiry: h.now + s.Lifetime}
	if s.Ended {
		o.lastExpiry = h.now
	}
	h.origins[o.id] = o
	for i := range s.Entries {
		from := &s.Entries[i]
		e := &entry{
			holderGone: from.HolderGone, exhausted: from.Exhausted, attempt: from.Attempt,
			released: slices.Clone(from.Released), expires: from.Expires + shift,
		}
		switch {
		case from.Answer != nil:
			e.state, e.answer = stateDone, h.retainAnswer(*from.Answer)
		case from.Running:
			e.state = stateRunning
		case from.Closed:
			e.state = stateClosed
		}
		if len(e.released) > h.limits.MaxReleased {
			e.released, e.exhausted = e.released[:h.limits.MaxReleased], true
		}
		h.add(key{o, from.Issued, from.Nonce}, e)
	}
}

// dropExpiredOrigins deletes adopted origins whose last ticket expired more
// than originRetention ago.
func (h *Home) dropExpiredOrigins() {
	for id, o := range h.origins {
		if o != h.self && h.now-o.lastExpiry > originRetention {
			delete(h.origins, id)
		}
	}
}
