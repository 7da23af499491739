package admission

import (
	"slices"
	"time"
)

// givenGrant is a place held for a peer's request.
type givenGrant struct {
	id       GrantID
	peer     PeerID
	token    uint64
	slotless bool
	expires  time.Duration
}

// givenGrants are the places held for peers, oldest first.
type givenGrants struct {
	list []givenGrant
	next GrantID
}

func (g *givenGrants) issue(now time.Duration, peer PeerID, token uint64, slotless bool) GrantID {
	g.next++
	g.list = append(g.list, givenGrant{g.next, peer, token, slotless, now + GrantLifetime})
	return g.next
}

// take removes the grant, so that it is honoured at most once.
func (g *givenGrants) take(id GrantID) (givenGrant, bool) {
	for i, x := range g.list {
		if x.id == id {
			g.list = slices.Delete(g.list, i, i+1)
			return x, true
		}
	}
	return givenGrant{}, false
}

// reserved returns the grant already given for a repeated Reserve.
func (g *givenGrants) reserved(peer PeerID, token uint64) (GrantID, bool) {
	for _, x := range g.list {
		if x.peer == peer && x.token == token && token != 0 {
			return x.id, true
		}
	}
	return 0, false
}

// release drops the grants of a peer that a Release names.
func (g *givenGrants) release(peer PeerID, token uint64, id GrantID) {
	g.list = slices.DeleteFunc(g.list, func(x givenGrant) bool {
		return x.peer == peer && (id != 0 && x.id == id || token != 0 && x.token == token)
	})
}

func (g *givenGrants) expire(now time.Duration) {
	g.list = slices.DeleteFunc(g.list, func(x givenGrant) bool { return x.expires <= now })
}

func (g *givenGrants) clear() { g.list = nil }

// slots is the number of grants that hold a slot.
func (g *givenGrants) slots() int {
	n := 0
	for _, x := range g.list {
		if !x.slotless {
			n++
		}
	}
	return n
}
