package spread

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// offerTTL is how long an offer of a free slot is valid. A slot that is
	// still free after that is offered again.
	offerTTL = 150 * time.Millisecond
	// maxOffers bounds the offers that an agent keeps.
	maxOffers = 256
	// maxOffering bounds the offers of one target at a time, so that an idle
	// target with many slots sends few datagrams.
	maxOffering = 4
	// recentHomes is the number of flows whose homes are offered slots, and
	// homeTTL how long a home counts as recent.
	recentHomes = 8
	homeTTL     = time.Second
)

// Offers has the free slots that targets have offered to an agent. Its zero value
// is ready to use.
type Offers struct{ list []offer }

type offer struct {
	agent netip.Addr
	until time.Duration
}

// Add records that the agent has offered a slot of its target.
func (o *Offers) Add(now time.Duration, agent netip.Addr) {
	o.expire(now)
	if len(o.list) < maxOffers {
		o.list = append(o.list, offer{agent, now + offerTTL})
	}
}

// Has reports whether there is an offer of the agent.
func (o *Offers) Has(now time.Duration, agent netip.Addr) bool {
	o.expire(now)
	return slices.ContainsFunc(o.list, func(f offer) bool { return f.agent == agent })
}

// Take removes an offer of the agent, if there is one.
func (o *Offers) Take(agent netip.Addr) {
	if i := slices.IndexFunc(o.list, func(f offer) bool { return f.agent == agent }); i >= 0 {
		o.list = slices.Delete(o.list, i, i+1)
	}
}

// expire removes the offers that are no longer valid. They are in the order of
// their ends.
func (o *Offers) expire(now time.Duration) {
	n := 0
	for n < len(o.list) && o.list[n].until <= now {
		n++
	}
	o.list = slices.Delete(o.list, 0, n)
}

// Offering decides to which agents a target offers its free slots. Its zero value
// is ready to use.
type Offering struct {
	// valid has the ends of the offers that are out.
	valid []time.Duration
	// homes has the homes of recent flows, the last one at the end. next is the
	// one that is offered a slot next.
	homes []offer
	next  int
}

// Placed records a flow that the home has placed at the target. It takes a slot,
// so one offer less is out.
func (o *Offering) Placed(now time.Duration, home netip.Addr) {
	if len(o.valid) > 0 {
		o.valid = slices.Delete(o.valid, 0, 1)
	}
	if !home.IsValid() {
		return
	}
	if len(o.homes) == recentHomes {
		o.homes = slices.Delete(o.homes, 0, 1)
	}
	o.homes = append(o.homes, offer{home, now + homeTTL})
}

// Waiting is an agent at which a number of flows wait.
type Waiting struct {
	Agent netip.Addr
	Flows int
}

// Due reports whether a target with this number of free slots has one to offer.
func (o *Offering) Due(now time.Duration, free int) bool {
	o.valid = slices.DeleteFunc(o.valid, func(until time.Duration) bool { return until <= now })
	o.homes = slices.DeleteFunc(o.homes, func(h offer) bool { return h.until <= now })
	return len(o.valid) < min(free, maxOffering)
}

// Next returns the agent that is offered the next free slot, and whether there is
// one. Agents with waiting flows come first, at random in proportion to their
// number, then the homes of recent flows in turn. random is any number that
// differs from offer to offer.
func (o *Offering) Next(now time.Duration, waiting []Waiting, random uint64) (netip.Addr, bool) {
	sum := uint64(0)
	for _, w := range waiting {
		sum += uint64(max(w.Flows, 0))
	}
	if sum > 0 {
		o.valid = append(o.valid, now+offerTTL)
		n := random % sum
		for _, w := range waiting {
			flows := uint64(max(w.Flows, 0))
			if n < flows {
				return w.Agent, true
			}
			n -= flows
		}
	}
	if len(o.homes) == 0 {
		return netip.Addr{}, false
	}
	o.valid = append(o.valid, now+offerTTL)
	o.next++
	return o.homes[len(o.homes)-1-o.next%len(o.homes)].agent, true
}
