package ticket

import (
	"container/heap"
	"time"
)

// findOrInsert returns the entry of a ticket. It inserts a new entry if the
// ticket is valid and unused.
func (h *Home) findOrInsert(now time.Duration, t Ticket) (*entry, error) {
	h.Tick(now)
	if h.frozen {
		return nil, ErrFrozen
	}
	o := h.origins[t.Origin()]
	if o == nil {
		return nil, ErrNotHome
	}
	k := keyOf(o, t)
	switch e := h.entries[k]; {
	case e != nil:
		return e, nil
	case !h.valid(k):
		return nil, ErrExpired
	case len(h.entries) >= h.limits.MaxTickets:
		return nil, ErrFull
	}
	return h.insert(k), nil
}

func keyOf(o *origin, t Ticket) key { return key{o, t.Issued, t.Nonce} }

// valid reports whether a ticket has been issued and has not expired. It uses
// the same expiry time as the entries, so that a ticket is never valid after
// its entry has been deleted.
func (h *Home) valid(k key) bool {
	return k.issued <= h.now+k.origin.skew && h.now < k.expires()
}

// expires returns when a ticket expires, on the clock of this process.
func (k key) expires() time.Duration { return k.issued + k.origin.lifetime - k.origin.skew }

func (h *Home) insert(k key) *entry {
	e := &entry{expires: k.expires()}
	h.add(k, e)
	return e
}

func (h *Home) add(k key, e *entry) {
	h.entries[k] = e
	heap.Push(&h.expiry, deadline{e.expires, k})
}

// deadline is the time at which Tick checks an entry. The entry may expire
// later than that.
type deadline struct {
	at  time.Duration
	key key
}

// expiryHeap is a min-heap of deadlines.
type expiryHeap []deadline

func (x expiryHeap) Len() int           { return len(x) }
func (x expiryHeap) Less(i, j int) bool { return x[i].at < x[j].at }
func (x expiryHeap) Swap(i, j int)      { x[i], x[j] = x[j], x[i] }

// Push implements heap.Interface.
func (x *expiryHeap) Push(v any) { *x = append(*x, v.(deadline)) }

// Pop implements heap.Interface.
func (x *expiryHeap) Pop() any {
	last := len(*x) - 1
	v := (*x)[last]
	(*x)[last] = deadline{}
	*x = (*x)[:last]
	return v
}
