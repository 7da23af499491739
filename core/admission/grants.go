package admission

import (
	"slices"
	"time"
)

// issuedGrant is a grant that this agent issued to a peer.
type issuedGrant struct {
	id       GrantID
	peer     PeerID
	token    uint64
	slotless bool
	expires  time.Duration
}

// issuedGrants are the unused grants that this agent issued, oldest first.
type issuedGrants struct {
	list []issuedGrant
	next GrantID
}

func (g *issuedGrants) issue(now time.Duration, peer PeerID, token uint64, slotless bool) GrantID {
	g.next++
	g.list = append(g.list, issuedGrant{g.next, peer, token, slotless, now + GrantLifetime})
	return g.next
}

// take removes the grant, so that it can be used only once.
func (g *issuedGrants) take(id GrantID) (issuedGrant, bool) {
	for i, x := range g.list {
		if x.id == id {
			g.list = slices.Delete(g.list, i, i+1)
			return x, true
		}
	}
	return issuedGrant{}, false
}

// grantFor returns the grant that was already issued for a Reserve, in case the
// Reserve was repeated.
func (g *issuedGrants) grantFor(peer PeerID, token uint64) (GrantID, bool) {
	for _, x := range g.list {
		if x.peer == peer && x.token == token && token != 0 {
			return x.id, true
		}
	}
	return 0, false
}

// release drops the grants of a peer that match the token or the ID of a
// Release.
func (g *issuedGrants) release(peer PeerID, token uint64, id GrantID) {
	g.list = slices.DeleteFunc(g.list, func(x issuedGrant) bool {
		return x.peer == peer && (id != 0 && x.id == id || token != 0 && x.token == token)
	})
}

func (g *issuedGrants) expire(now time.Duration) {
	g.list = slices.DeleteFunc(g.list, func(x issuedGrant) bool { return x.expires <= now })
}

func (g *issuedGrants) clear() { g.list = nil }

// reservedSlots returns the number of grants that reserve a slot.
func (g *issuedGrants) reservedSlots() int {
	n := 0
	for _, x := range g.list {
		if !x.slotless {
			n++
		}
	}
	return n
}
