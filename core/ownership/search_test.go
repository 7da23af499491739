package ownership

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// searchedAgents returns the agents that the last step sent a Search to.
func (f *fixture) searchedAgents() (asked []netip.Addr) {
	for _, s := range f.out.Sends {
		if s.Message.Kind == relay.Search {
			asked = append(asked, s.To)
		}
	}
	return asked
}

// Guards against callers of lost flows that wait for their own next packet
// after an outage. That packet comes after 1.6 s, which is after the deadline
// of many. In the load that this reproduces, all agents of a service come back
// within 0.3 s, and the callers send their packets before the last agent is
// back.
func TestSearchGoesOnByItself(t *testing.T) {
	f := newFixture(t, true)
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.searchedAgents()), 2)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.advance(searchTimeout)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 1, "the agent that has denied the flow is asked again")
	assert.Equal(t, f.searchedAgents()[0], fleettest.Agent(2))
	f.peerAnswers(2, relay.NotOwner, 1)
	assert.Equal(t, len(f.out.ToCaller), 1)
	// A later flow with the same addresses is another flow.
	p.Ack = 9001
	f.balancerSends(relay.Packet, p)
	assert.Equal(t, len(f.searchedAgents()), 2)
}

// Guards against a search that never ends because an agent does not come back.
func TestSearchEnds(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	rounds := 0
	for end := f.now + 4*searchResultTTL; f.now < end; {
		f.advance(searchTimeout)
		if len(f.searchedAgents()) > 0 {
			rounds++
		}
	}
	assert.Equal(t, rounds, maxSearchRetries)
	assert.Equal(t, len(f.searches), 0)
}

// Guards against a search that continues after the owner was found.
func TestFoundFlowIsNotSearchedAgain(t *testing.T) {
	f := newFixture(t, true)
	f.balancerSends(relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	f.peerAnswers(2, relay.Owner, 1)
	f.advance(searchRetryDelay)
	f.advance(searchRetryDelay)
	assert.Equal(t, len(f.searchedAgents()), 0)
}
