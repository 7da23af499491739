package agent

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"trefoilweir.example/core/ticket"
	"trefoilweir.example/node/keys"
)

// tickets is what the agent has of tickets: its own home, and where the homes
// of others have gone. It is safe for concurrent use.
type tickets struct {
	self ticket.Identity
	// holder is this agent's peer address, in its attempts.
	holder      netip.AddrPort
	keys        *keys.Store
	now         func() time.Duration
	lastAttempt atomic.Uint64
	// issued says that the home may have to be handed on.
	issued atomic.Bool

	mu          sync.Mutex
	home        *ticket.Home
	successions *ticket.Successions
	// holders has the last known incarnation of the holders of attempts.
	holders map[netip.AddrPort]uint64
}

// maxHolders bounds the known holders. A service has fewer agents.
const maxHolders = 16_384

func newTickets(store *keys.Store, self identity, holder netip.AddrPort, now func() time.Duration) *tickets {
	id := ticket.Identity{Address: self.address, Incarnation: self.incarnation, Service: self.service}
	return &tickets{
		self: id, holder: holder, keys: store, now: now,
		home:        ticket.NewHome(id, ticket.Limits{}),
		successions: ticket.NewSuccessions(ticket.SuccessionLimits{}),
		holders:     make(map[netip.AddrPort]uint64),
	}
}

// issue returns a new ticket.
func (t *tickets) issue() string {
	t.issued.Store(true)
	return t.keys.Ticket().Issue(ticket.Ticket{
		Address: t.self.Address, Incarnation: t.self.Incarnation, Service: t.self.Service,
		Issued: t.now(), Nonce: rand.Uint64(),
	})
}

// nextAttempt returns an attempt that was never used.
func (t *tickets) nextAttempt() ticket.Attempt {
	return ticket.Attempt{Holder: t.holder, Incarnation: t.self.Incarnation, Number: t.lastAttempt.Add(1)}
}

// claim decides on an attempt, if this agent is the home of the ticket.
func (t *tickets) claim(c ticket.Claim) ticket.ClaimReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteHolder(c.Attempt)
	return t.home.Claim(t.now(), c)
}

func (t *tickets) complete(c ticket.Complete) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Complete(t.now(), c)
}

func (t *tickets) release(r ticket.Release) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.home.Release(t.now(), r)
}

// noteHolder notices that a holder was replaced by another process. What the one
// before was running has an unknown outcome. Only claims are looked at, because
// a late report of the old process must not speak for the new one.
func (t *tickets) noteHolder(a ticket.Attempt) {
	known, ok := t.holders[a.Holder]
	if !ok && len(t.holders) >= maxHolders || known == a.Incarnation {
		return
	}
	t.holders[a.Holder] = a.Incarnation
	if ok {
		t.home.HolderGone(t.now(), func(running ticket.Attempt) bool {
			return running.Holder == a.Holder && running.Incarnation == known
		})
	}
}

// successor returns the successor of the own home, once it is known.
func (t *tickets) successor() (ticket.Identity, bool) { return t.resolve(t.self) }

// resolve returns the identity that now answers for id.
func (t *tickets) resolve(id ticket.Identity) (ticket.Identity, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successions.Resolve(t.now(), id)
}

func (t *tickets) successionsFrom(id ticket.Identity) []ticket.Succession {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successions.Path(t.now(), id)
}

// recordSuccessions remembers successions and returns the first fault.
func (t *tickets) recordSuccessions(list []ticket.Succession) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first error
	for _, s := range list {
		if err := t.successions.Record(t.now(), s); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (t *tickets) adopt(s ticket.Snapshot) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.home.Adopt(t.now(), s); err != nil {
		return err
	}
	t.issued.Store(true)
	return nil
}

// withHome runs f on the own home.
func (t *tickets) withHome(f func(h *ticket.Home)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.home)
}
