package ownership

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// cluster is a service in several data centres whose agents exchange datagrams
// without loss. Every agent started together with its target.
type cluster struct {
	*testing.T
	agents map[netip.Addr]*Machine
	// remoteDatagrams counts the datagrams between data centres, localDatagrams
	// all others.
	remoteDatagrams, localDatagrams int
	resets                          int
	toTarget                        map[netip.Addr]int
	// reported is the last report of an owner to the balancer, reporter its
	// sender.
	reported relay.Message
	reporter netip.Addr
	// now is the time of the last tick.
	now time.Duration
}

func newCluster(t *testing.T, dataCentres, agentsEach byte) *cluster {
	s := &cluster{T: t, agents: map[netip.Addr]*Machine{}, toTarget: map[netip.Addr]int{}}
	targets := fleettest.Ready(dataCentres * agentsEach)
	for n, target := range targets {
		target.ID, target.DataCentre = fmt.Sprint(n), fmt.Sprint("dc-", n/int(agentsEach))
	}
	view := fleettest.View(0, targets...)
	for _, target := range targets {
		s.agents[target.Agent()] = New(0, Options{Self: target.Agent(), DataCentre: target.DataCentre, Service: fleettest.Service,
			Target: target.Address, FirstStart: true, Codec: flowtest.Codec{}, View: view})
	}
	return s
}

// send delivers a datagram of the balancer to an agent, and then all datagrams
// that result from it.
func (s *cluster) send(to byte, kind relay.Kind, p flow.Packet) {
	s.deliver(balancer, fleettest.Agent(to), relay.Message{Kind: kind, Service: tag, Origin: balancer, Home: fleettest.Agent(to), Body: flowtest.Encode(p)})
}

func (s *cluster) deliver(from, to netip.Addr, m relay.Message) {
	agent := s.agents[to]
	if to == balancer && m.Kind == relay.Owner {
		s.reported, s.reporter = m, from
	}
	if agent == nil {
		return
	}
	if sender := s.agents[from]; sender != nil && sender.DataCentre != agent.DataCentre {
		s.remoteDatagrams++
	} else {
		s.localDatagrams++
	}
	var out plane.Out
	agent.FromPeer(s.now, from, &m, &out)
	s.resets += len(out.ToCaller)
	s.toTarget[to] += len(out.ToTarget)
	for _, send := range out.Sends {
		s.deliver(to, send.To, send.Message)
	}
}

// Guards against searches whose datagrams between data centres grow with the
// service. After a loss of all VMs each lost flow is searched for. With 109
// agents in five data centres, those datagrams were half of all bytes between
// them.
func TestRemoteDatagramsOfSearch(t *testing.T) {
	const dataCentres = 4
	for _, agentsEach := range []byte{3, 10, 40} {
		s := newCluster(t, dataCentres, agentsEach)
		p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
		s.send(0, relay.Packet, p)
		assert.Equal(t, s.resets, 1)
		assert.Equal(t, s.remoteDatagrams, 2*(dataCentres-1))
		// Later packets of the flow need no search.
		before := s.localDatagrams
		s.send(0, relay.Packet, p)
		assert.Equal(t, s.resets, 2)
		assert.Equal(t, s.remoteDatagrams, 2*(dataCentres-1))
		assert.Equal(t, s.localDatagrams, before+1)
	}
}

// Guards against a search that does not find an owner in another data centre.
func TestSurveyFindsOwner(t *testing.T) {
	const agentsEach = 5
	for owner := byte(0); owner < 3*agentsEach; owner++ {
		s := newCluster(t, 3, agentsEach)
		m := s.agents[fleettest.Agent(owner)]
		var out plane.Out
		s.send(owner, relay.Place, flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
		m.FromTarget(0, flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101}), &out)
		home := (owner + agentsEach) % (3 * agentsEach)
		before := s.toTarget[fleettest.Agent(owner)]
		s.send(home, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
		assert.Equal(t, s.resets, 0)
		assert.Equal(t, s.toTarget[fleettest.Agent(owner)], before+1)
		assert.Equal(t, s.agents[fleettest.Agent(home)].records[fleettest.Key(1)].owner, fleettest.Agent(owner))
	}
}

// Guards against a reset of a flow although an agent has not answered, and
// against an answer for a data centre by an agent that knows fewer of its
// agents than the asker.
func TestIncompleteSurveyResetsNothing(t *testing.T) {
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	s := newCluster(t, 2, 4)
	delete(s.agents, fleettest.Agent(6))
	for range 5 {
		s.send(0, relay.Packet, p)
		var out plane.Out
		for _, m := range s.agents {
			m.Tick(remoteSearchTimeout, &out)
		}
		assert.Equal(t, s.resets, 0)
	}

	s = newCluster(t, 2, 4)
	// An asker with a newer view gets an answer if the agents are the same.
	newer := fleettest.View(0, s.agents[fleettest.Agent(0)].View.Targets(fleettest.Service)...)
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 1})
	for n := range byte(4) {
		s.agents[fleettest.Agent(n)].View = newer
	}
	s.send(0, relay.Packet, p)
	assert.Equal(t, s.resets, 1)
	joined := fleettest.Target(9, fleet.Ready)
	joined.DataCentre = "dc-1"
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 2, Changes: []fleet.Change{{ID: joined.ID, Revision: fleettest.Revision + 2, Target: joined}}})
	p.Key = fleettest.Key(2)
	s.send(0, relay.Packet, p)
	assert.Equal(t, s.resets, 1)
}

// Guards against a flow that is reset because agents that do not know of the
// platform's return from an older copy answer for their data centre: their
// revision is higher than the asker's, but a target that has joined since is not
// in their view.
func TestSurveyByAgentsOfAnEarlierEpoch(t *testing.T) {
	s := newCluster(t, 2, 4)
	joined := fleettest.Target(9, fleet.Ready)
	joined.DataCentre = "dc-1"
	listing := fleet.Delta{Epoch: 1, Full: true, Revision: fleettest.Revision / 2}
	targets := slices.Clone(s.agents[fleettest.Agent(0)].View.Targets(fleettest.Service))
	newer := fleettest.View(0, targets...)
	for i, target := range append(targets, joined) {
		listing.Changes = append(listing.Changes, fleet.Change{ID: target.ID, Revision: uint64(i + 1), Target: target})
	}
	newer.Apply(0, &listing)
	for n := range byte(4) {
		s.agents[fleettest.Agent(n)].View = newer
	}
	s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, s.resets, 0)
}

// Guards against a survey result that omits a restarted agent, so that the flow
// of its target is reset.
func TestSurveyListsMaybeOwners(t *testing.T) {
	s := newCluster(t, 2, 4)
	s.agents[fleettest.Agent(6)].unknownFlowsUntil = defaultFlowTTL
	s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	assert.Equal(t, s.resets, 0)
	assert.Equal(t, s.toTarget[fleettest.Agent(6)], 1)
}

// Guards against a survey that takes any message about the flow for the answer to
// its question, so that it ends before the owner has answered and the asker resets
// an open flow.
func TestOtherMessagesAnswerNoSurvey(t *testing.T) {
	p := flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10}
	asker, surveyor := fleettest.Agent(0), fleettest.Agent(4)
	for _, kind := range []relay.Kind{relay.Waiting, relay.Refused, relay.SurveyResult} {
		s := newCluster(t, 2, 4)
		m := s.agents[surveyor]
		results := func(from netip.Addr, message relay.Message) (n int) {
			var out plane.Out
			message.Service, message.Flow = tag, p.Key
			m.FromPeer(0, from, &message, &out)
			for _, send := range out.Sends {
				if send.To == asker && send.Message.Kind == relay.SurveyResult {
					n++
				}
			}
			return n
		}
		assert.Equal(t, results(asker, relay.Message{Kind: relay.Survey, Hops: 1, Origin: balancer, Home: asker, Progress: m.View.Progress(),
			Roster: m.View.Roster(fleettest.Service, "dc-1"), Body: flowtest.Encode(p)}), 0)
		for n := byte(5); n < 8; n++ {
			assert.Equal(t, results(fleettest.Agent(n), relay.Message{Kind: kind}), 0, "%v of agent %d", kind, n)
		}
		for n := byte(5); n < 8; n++ {
			assert.Equal(t, results(fleettest.Agent(n), relay.Message{Kind: relay.NotOwner}), map[bool]int{true: 1}[n == 7])
		}
	}
}

// Guards against an estimate of how long a placed flow takes to be reported that
// counts answers to a search, which say nothing about it.
func TestAnswerToASearchIsNoReport(t *testing.T) {
	for kind, counts := range map[relay.Kind]bool{relay.NotOwner: false, relay.MaybeOwner: false, relay.Owner: true, relay.Waiting: true, relay.Refused: true} {
		m := newCluster(t, 1, 4).agents[fleettest.Agent(0)]
		m.placements[fleettest.Key(1)] = &placement{tried: []netip.Addr{fleettest.Agent(1)}}
		before := m.reportTimes.Timeout()
		var out plane.Out
		m.FromPeer(minOwnerTimeout, fleettest.Agent(1), &relay.Message{Kind: kind, Service: tag, Flow: fleettest.Key(1)}, &out)
		assert.Equal(t, m.reportTimes.Timeout() != before, counts, "%v", kind)
	}
}

// Guards against a search that stalls because the first agent asked cannot
// answer for its data centre. Right after an outage many agents have no view
// yet.
func TestDeclinedSurveyGoesElsewhere(t *testing.T) {
	const flows = 20
	s := newCluster(t, 2, 4)
	targets := s.agents[fleettest.Agent(0)].View.Targets(fleettest.Service)
	older, newer := fleettest.View(0, targets[:7]...), fleettest.View(0, targets...)
	newer.Apply(0, &fleet.Delta{Revision: fleettest.Revision + 1})
	for a, m := range s.agents {
		m.View = newer
		if a == fleettest.Agent(4) {
			m.View = older
		}
	}
	for port := range uint16(flows) {
		s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: 5001, Len: 10})
		// So few flows at a time are searched for one by one.
		s.agents[fleettest.Agent(0)].lists.unknownFlows = 0
	}
	assert.Equal(t, s.resets, flows)
}

// Guards against a search that asks a whole data centre again in each round
// because one agent there does not answer.
func TestSilentAgentIsAskedAlone(t *testing.T) {
	s := newCluster(t, 2, 10)
	// The agent that the surveys of this flow reach last.
	away := fleettest.Agent(10)
	for n := byte(10); n < 20; n++ {
		if hash := fleettest.Key(1).Hash(); fleet.Score(hash, fleettest.Agent(n)) < fleet.Score(hash, away) {
			away = fleettest.Agent(n)
		}
	}
	gone := s.agents[away]
	delete(s.agents, away)
	s.send(0, relay.Packet, flow.Packet{Key: fleettest.Key(1), Seq: 111, Ack: 5001, Len: 10})
	const step, wait = 10 * ms, remoteSearchTimeout + 2*searchRetryDelay
	now := time.Duration(0)
	for ; now <= remoteSearchTimeout; now += step {
		s.tick(now)
	}
	before := s.localDatagrams
	for ; now < wait; now += step {
		s.tick(now)
	}
	assert.Equal(t, s.resets, 0)
	assert.Equal(t, s.localDatagrams, before)
	s.agents[away] = gone
	for ; now < 3*wait; now += step {
		s.tick(now)
	}
	assert.Equal(t, s.resets, 1)
}

// tick calls Tick on all agents in order and delivers the resulting datagrams.
func (s *cluster) tick(now time.Duration) {
	s.now = now
	for _, a := range slices.SortedFunc(maps.Keys(s.agents), netip.Addr.Compare) {
		var out plane.Out
		s.agents[a].Tick(now, &out)
		s.resets += len(out.ToCaller)
		s.toTarget[a] += len(out.ToTarget)
		for _, send := range out.Sends {
			s.deliver(a, send.To, send.Message)
		}
	}
}

// Guards against a surveyor that counts as silent, and later as gone, because the
// owner answers a survey that has found the flow, and the surveyor does not.
func TestSurveyThatFindsTheOwnerIsAnswered(t *testing.T) {
	const owner, home, agentsEach = 7, 0, 4
	s := newCluster(t, 2, agentsEach)
	for port := uint16(1); port <= 8; port++ {
		var out plane.Out
		s.send(owner, relay.Place, flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 100})
		s.agents[fleettest.Agent(owner)].FromTarget(0, flowtest.Encode(flow.Packet{Key: fleettest.Key(port), Open: true, Seq: 5000, Ack: 101}), &out)
		s.send(home, relay.Packet, flow.Packet{Key: fleettest.Key(port), Seq: 111, Ack: 5001, Len: 10})
	}
	for n := byte(agentsEach); n < 2*agentsEach; n++ {
		assert.Check(t, !s.agents[fleettest.Agent(home)].peer(fleettest.Agent(n)).unanswered, "agent %d", n)
	}
}

// Guards against a search that never ends because a survey has once found an agent
// that may hold the flow. A later survey, of other agents, finds that it does not,
// because its target is fresh. If it has only forgotten its doubt, the target may
// hold the flow, which must not be reset.
func TestLaterSurveyResolvesFreshAgents(t *testing.T) {
	for _, fresh := range []bool{true, false} {
		testLaterSurvey(t, fresh)
	}
}

func testLaterSurvey(t *testing.T, fresh bool) {
	f := newFixture(t, true)
	add := func(n byte) {
		revision := f.View.Revision() + 1
		target := fleettest.Target(n, fleet.Ready)
		target.DataCentre = "dc-1"
		f.View.Apply(f.now, &fleet.Delta{Revision: revision, Changes: []fleet.Change{{ID: target.ID, Revision: revision, Target: target}}})
	}
	answerSurvey := func(maybeOwners ...netip.Addr) {
		for _, sent := range slices.Clone(f.out.Sends) {
			if sent.Message.Kind == relay.Survey {
				f.out.Clear()
				f.FromPeer(f.now, sent.To, &relay.Message{Kind: relay.SurveyResult, Service: tag, Flow: unknownPacket.Key, MaybeOwners: maybeOwners}, &f.out)
				return
			}
		}
		t.Fatal("no survey was sent")
	}
	for n := byte(3); n < 6; n++ {
		add(n)
	}
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	f.peerAnswers(2, relay.NotOwner, 1)
	answerSurvey(fleettest.Agent(3))
	assert.Equal(t, f.probedAgents(), 1)
	add(6)
	load := relay.Load{Flags: relay.FlagAgent}
	if fresh {
		load.Flags |= relay.FlagFresh
	}
	f.FromPeer(f.now, fleettest.Agent(3), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: load}, &f.out)
	f.advance(searchRetryDelay)
	answerSurvey()
	assert.Equal(t, len(f.out.ToCaller) == 1, fresh)
}

// Guards against the reset of an open flow whose agent only others in its data
// centre hear. Before the removals were settled the agents there were asked one by
// one, which does not show that they hear another one.
func TestSettledSearchNeedsSurveys(t *testing.T) {
	f := restartedFixture(t)
	d := &fleet.Delta{Revision: 9, Full: true, Config: &fleet.Config{Version: 1}, ConfigRevision: 1}
	for n := range byte(4) {
		target := fleettest.Target(n, fleet.Ready)
		if n > 1 {
			target.DataCentre = "dc-1"
		}
		d.Changes = append(d.Changes, fleet.Change{ID: target.ID, Revision: uint64(3 + n), Target: target})
	}
	f.View.Apply(0, d)
	f.recordFresh(f.now, "test", 0, &f.out)
	f.balancerSends(relay.Packet, unknownPacket)
	f.peerAnswers(1, relay.NotOwner, 1)
	assert.Equal(t, len(f.searchedAgents()), 2)
	f.peerAnswers(2, relay.NotOwner, 1)
	f.peerAnswers(3, relay.NotOwner, 1)
	f.View.SettleRemovals()
	f.advance(10 * ms)
	assert.Equal(t, len(f.out.ToCaller), 0)
	surveyed := slices.IndexFunc(f.out.Sends, func(s plane.Send) bool { return s.Message.Kind == relay.Survey })
	assert.Assert(t, surveyed >= 0)
	to := f.out.Sends[surveyed].To
	f.out.Clear()
	f.FromPeer(f.now, to, &relay.Message{Kind: relay.SurveyResult, Service: tag, Flow: unknownPacket.Key, Unanswered: []netip.Addr{fleettest.Agent(7)}}, &f.out)
	assert.Equal(t, len(f.out.ToCaller), 0)
	f.peerAnswers(7, relay.Owner, 1)
	assert.Equal(t, f.records[unknownPacket.Key].owner, fleettest.Agent(7))
}
