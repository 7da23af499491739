package ownership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// manyFlows is the number of flows in tests with a burst of unknown flows. The
// first ones are searched for one by one.
const manyFlows = 20

func unknownFlow(port uint16) flow.Packet {
	return flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: 5001, Len: 10}
}

// freshFixture returns agent 0 of three agents whose targets are fresh.
func freshFixture(t *testing.T) *fixture {
	f := newFixture(t, true)
	f.freshHeartbeats(1, 2)
	return f
}

func (f *fixture) freshHeartbeats(peers ...byte) {
	for _, n := range peers {
		f.FromPeer(f.now, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent | relay.FlagFresh, Slots: 4}}, &f.out)
	}
}

// burst sends a packet of each of manyFlows unknown flows. It returns the flows
// that wait for lists, and the agents that were asked for them.
func (f *fixture) burst() (batched []uint16, asked []netip.Addr) {
	for port := range uint16(manyFlows) {
		f.balancerSends(relay.Packet, unknownFlow(port))
		if len(f.searchedAgents()) == 0 {
			batched = append(batched, port)
		}
		asked = append(asked, f.listsAsked()...)
	}
	return batched, asked
}

// listsAsked returns the agents that the last step asked for lists.
func (f *fixture) listsAsked() (asked []netip.Addr) {
	for _, s := range f.out.Sends {
		if s.Message.Kind == relay.HeldQuery {
			asked = append(asked, s.To)
		}
	}
	return asked
}

// listFrom delivers the answer of an agent to the question of a round.
func (f *fixture) listFrom(n byte, round uint32, complete bool, held ...flow.Key) {
	m := relay.Message{Kind: relay.HeldList, Service: tag, Round: round, Load: relay.Load{Flags: relay.FlagAgent | relay.FlagFresh, Slots: 4}, HeldComplete: complete}
	for _, k := range held {
		m.Held = append(m.Held, relay.HeldTag(k))
	}
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(n), &m, &f.out)
}

// Guards against a search for each of many dead flows, and against a reset before
// the last agent has answered.
func TestListsAnswerForManyFlows(t *testing.T) {
	f := freshFixture(t)
	batched, asked := f.burst()
	assert.Equal(t, len(batched), manyFlows-minBatchedFlows+1)
	assert.Assert(t, slices.Equal(asked, []netip.Addr{fleettest.Agent(1), fleettest.Agent(2)}))
	// The first round has the flow that began it. The others wait for the second.
	f.listFrom(1, 1, true)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.listFrom(2, 1, true)
	assert.Equal(t, len(f.out.ToCaller), 1)
	f.advance(listInterval)
	assert.Equal(t, len(f.listsAsked()), 2)
	f.listFrom(1, 2, true)
	f.listFrom(2, 2, true)
	assert.Equal(t, len(f.out.ToCaller), len(batched)-1)
	assert.Equal(t, len(f.searchedAgents())+f.probedAgents()+len(f.out.ToTarget), 0)
	// The caller's next packet is answered at once.
	f.balancerSends(relay.Packet, unknownFlow(batched[0]))
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against a reset of a flow that opened after the return: a list that was
// asked for before its packet arrived does not have it.
func TestListOfEarlierRoundDoesNotCount(t *testing.T) {
	f := freshFixture(t)
	batched, _ := f.burst()
	f.listFrom(1, 1, true)
	f.advance(listInterval)
	assert.Equal(t, len(f.listsAsked()), 2)
	// The answer of agent 2 to the first question comes after the second.
	f.listFrom(2, 1, true)
	assert.Equal(t, len(f.out.ToCaller), 1)
	f.listFrom(2, 1, true)
	f.listFrom(1, 2, true)
	assert.Equal(t, len(f.out.ToCaller), 0)
	opened := unknownFlow(batched[1])
	f.listFrom(2, 2, true, opened.Key)
	assert.Equal(t, len(f.out.ToCaller), len(batched)-2)
	assert.Equal(t, len(f.searchedAgents()), 2, "the flow that agent 2 holds is searched for")
	f.peerAnswers(2, relay.Owner, opened.Key.CallerPort)
	assert.Equal(t, f.records[opened.Key].owner, fleettest.Agent(2))
}

// Guards against resets if an agent is in doubt, has not said that it is not, or
// does not answer. The flows are then searched for as without lists.
func TestFlowsAreSearchedForWithoutCompleteLists(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(f *fixture)
		answer  func(f *fixture)
		// batched says that lists are asked for.
		batched bool
	}{
		"agent in doubt":            {func(f *fixture) { f.heartbeats(2) }, nil, false},
		"own target in doubt":       {func(f *fixture) { f.unknownFlowsUntil = time.Minute }, nil, false},
		"removals not known":        {func(f *fixture) { f.View = restartedFixture(f.T).View }, nil, false},
		"agent not heard, no list":  {func(f *fixture) { f.now += heartbeatTimeout + ms; f.freshHeartbeats(1) }, func(f *fixture) { f.listFrom(2, 1, false) }, true},
		"agent restarted meanwhile": {func(*fixture) {}, func(f *fixture) { f.listFrom(2, 1, false) }, true},
		"agent of an older build":   {func(f *fixture) { f.now += heartbeatTimeout + ms; f.freshHeartbeats(1) }, func(f *fixture) { f.advance(listTimeout) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := freshFixture(t)
			c.prepare(f)
			batched, asked := f.burst()
			assert.Equal(t, len(asked) > 0, c.batched)
			if !c.batched {
				return
			}
			f.listFrom(1, 1, true)
			c.answer(f)
			assert.Equal(t, len(f.out.ToCaller), 0)
			searched := len(f.searchedAgents())
			f.advance(10 * ms)
			searched += len(f.searchedAgents())
			assert.Assert(t, searched >= len(batched), "%d searches", searched)
			assert.Equal(t, len(f.out.ToCaller), 0)
			assert.Equal(t, len(f.lists.waiting)+len(f.lists.rounds), 0)
		})
	}
}

// Guards against a lost datagram that delays all flows of a round.
func TestSilentAgentIsAskedForItsListAgain(t *testing.T) {
	f := freshFixture(t)
	f.burst()
	f.listFrom(1, 1, true)
	f.advance(listRetry)
	again := slices.ContainsFunc(f.out.Sends, func(s plane.Send) bool {
		return s.To == fleettest.Agent(2) && s.Message.Kind == relay.HeldQuery && s.Message.Round == 1
	})
	assert.Assert(t, again)
	f.listFrom(2, 1, true)
	assert.Equal(t, len(f.out.ToCaller), 1)
}

// Guards against a list from an agent that does not know every flow of its target,
// and against one that is cut off.
func TestListIsCompleteOrSaysSo(t *testing.T) {
	ask := func(f *fixture) relay.Message {
		f.out.Clear()
		f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.HeldQuery, Service: tag, Round: 7}, &f.out)
		assert.Equal(t, len(f.out.Sends), 1)
		return f.out.Sends[0].Message
	}
	f := newFixture(t, false)
	assert.Assert(t, !ask(f).HeldComplete)
	f.recordFresh(f.now, "test", 0, &f.out)
	answer := ask(f)
	assert.Assert(t, answer.HeldComplete && len(answer.Held) == 0 && answer.Round == 7)
	for port := range uint16(relay.MaxHeld + 1) {
		assert.Assert(t, ask(f).HeldComplete)
		f.learnFlow(f.now, fleettest.Key(port))
	}
	assert.Assert(t, !ask(f).HeldComplete)
	delete(f.flows, fleettest.Key(3))
	answer = ask(f)
	assert.Equal(t, len(answer.Held), relay.MaxHeld)
	decoded, err := relay.Decode(answer.Append(nil))
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Held, answer.Held)
	assert.Assert(t, len(answer.Append(nil)) <= 1200)
}

// Guards against the reset of an open flow at a target that no view names. Its
// agent is heard by another one, which tells of it.
func TestAgentThatAnotherOneHearsIsAskedForItsList(t *testing.T) {
	f := freshFixture(t)
	batched, _ := f.burst()
	f.listFrom(1, 1, true)
	answer := relay.Message{Kind: relay.HeldList, Service: tag, Round: 1, Load: relay.Load{Flags: relay.FlagAgent | relay.FlagFresh}, HeldComplete: true, Unlisted: []netip.Addr{fleettest.Agent(7)}}
	f.out.Clear()
	f.FromPeer(f.now, fleettest.Agent(2), &answer, &f.out)
	assert.Equal(t, len(f.out.ToCaller), 0)
	assert.Assert(t, slices.Equal(f.listsAsked(), []netip.Addr{fleettest.Agent(7)}))
	f.listFrom(7, 1, true, unknownFlow(batched[0]).Key)
	assert.Equal(t, len(f.out.ToCaller), 0)
	assert.Assert(t, slices.Contains(f.searchedAgents(), fleettest.Agent(7)))
	// An agent tells of those that it hears and that are not listed.
	f.FromPeer(f.now, fleettest.Agent(1), &relay.Message{Kind: relay.HeldQuery, Service: tag, Round: 1}, &f.out)
	assert.Assert(t, slices.Equal(f.out.Sends[len(f.out.Sends)-1].Message.Unlisted, []netip.Addr{fleettest.Agent(7)}))
}
