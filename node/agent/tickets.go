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

// tickets holds the agent's own ticket home and the known successors of other
// homes. It is safe for concurrent use.
type tickets struct {
	self ticket.Identity
	// holder is this agent's peer address. It identifies the agent in its
	// attempts.
	holder      netip.AddrPort
	keys        *keys.Store
	now         func() time.Duration
	lastAttempt atomic.Uint64
	// issued says that this process has issued or adopted tickets, so that a
	// planned stop must transfer the home.
	issued atomic.Bool

	mu          sync.Mutex
	home        *ticket.Home
	successions *ticket.Successions
	// holders maps the holder of an attempt to its last known incarnation.
	holders map[netip.AddrPort]uint64
}

// maxHolders limits the entries of tickets.holders. A service has fewer agents.
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
	return t.keys.TicketCodec().Issue(ticket.Ticket{
		Address: t.self.Address, Incarnation: t.self.Incarnation, Service: t.self.Service,
		Issued: t.now(), Nonce: rand.Uint64(),
	})
}

// nextAttempt returns an attempt that was not used before.
func (t *tickets) nextAttempt() ticket.Attempt {
	return ticket.Attempt{Holder: t.holder, Incarnation: t.self.Incarnation, Number: t.lastAttempt.Add(1)}
}

// claim decides on an attempt if this agent is the home of the ticket.
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

// noteHolder records the incarnation of the holder that sent a claim. If the
// holder was replaced by another process, the running attempts of the previous
// process have an unknown outcome. Only claims are evaluated: a late report of
// the previous process would otherwise count as a replacement of the new one.
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

// successor returns the successor of this agent's home, if it is known.
func (t *tickets) successor() (ticket.Identity, bool) { return t.resolve(t.self) }

// resolve returns the identity that is now responsible for the tickets of id.
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

// recordSuccessions stores successions and returns the first error.
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

// withHome calls f with this agent's home while it holds the lock.
func (t *tickets) withHome(f func(h *ticket.Home)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.home)
}
