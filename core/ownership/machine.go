// Package ownership decides at an agent what happens to packets: which flows
// its target owns, where a new flow is placed, and how the owner of an unknown
// flow is found. It has no I/O and no clock.
//
// Each flow has one owner, the agent beside the target that holds it, and a
// home, an agent that placed the flow and remembers its owner. The agent sees
// all packets of its target in both directions, so it knows which flows the
// target holds.
//
// Invariants:
//   - A packet of an open flow reaches the target only at the flow's owner, or
//     at an agent that restarted and cannot know, at most probeBudget times in
//     probeWindow for a flow unless every agent of the service has answered.
//   - A packet for another service never reaches the target.
//   - A flow is reset only if no target holds it.
package ownership

import (
	"cmp"
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/rto"
	"trefoilweir.example/core/waitqueue"
)

// Times and bounds.
const (
	// acceptTimeout is how long a target may take to accept a flow. It does so
	// within a millisecond if it lives.
	acceptTimeout = 25 * time.Millisecond
	// minOwnerTimeout and maxOwnerTimeout bound how long the agent of a chosen
	// target may take to report before another target is chosen.
	minOwnerTimeout = 40 * time.Millisecond
	maxOwnerTimeout = 180 * time.Millisecond
	// suspectFor is how long an agent that did not report is avoided.
	suspectFor = time.Second
	// heartbeatTimeout is the silence after which a peer is avoided.
	heartbeatTimeout = 700 * time.Millisecond
	// silentRetryInterval is how often a silent target gets a new flow as a probe.
	silentRetryInterval = 200 * time.Millisecond
	// maxHops bounds how often a packet is passed on between agents.
	maxHops = 4
	// defaultIdleTTL is how long an idle flow or record is kept if the
	// configuration names no time.
	defaultIdleTTL = 30 * time.Second
	// closedFlowTTL is how long a flow is kept that both ends have closed.
	closedFlowTTL = 4 * time.Second
	// minHalfOpenTimeout and maxHalfOpenFor bound how long an accepted flow counts as
	// a coming request. Its caller answers within a round trip, unless it has
	// given up.
	minHalfOpenTimeout = 40 * time.Millisecond
	maxHalfOpenTimeout = 600 * time.Millisecond
	// maxFlows bounds the flows and the records, each.
	maxFlows = 50_000
	// searchTimeout is how long the answers of the agents in a data centre may
	// take, and farSearchTimeout those of the other data centres.
	searchTimeout       = 20 * time.Millisecond
	remoteSearchTimeout = 50 * time.Millisecond
	// maxDirectSearches is the number of agents of another data centre up to which
	// each is asked. Of more one is asked to search for all.
	maxDirectSearches = 2
	// maxDeclinedSurveys is how many agents may say in a round that they cannot answer
	// for their data centre before the round stays incomplete.
	maxDeclinedSurveys = 4
	// maxSurveys bounds the flows that other data centres search for here.
	maxSurveys = 4096
	// searchResultTTL is how long the result of a search is remembered.
	searchResultTTL = 2 * time.Second
	// searchRetryDelay is the time until a search that is not complete goes on by
	// itself, twice as long after each second time, and maxSearchAgain how
	// often it does. The caller's own packets come ever later.
	searchRetryDelay = 80 * time.Millisecond
	maxSearchRetries = 6
	// probeBudget and probeWindow bound the packets of a flow that reach
	// targets which may not hold it.
	probeBudget = 2
	probeWindow = 2500 * time.Millisecond
	// defaultFlowTTL stands for a FlowTTL that is not given.
	defaultFlowTTL = 60 * time.Second
	// maxStartSkew is by how much a target may start before its agent if both
	// start because their VM does. An agent that restarts alone takes longer,
	// so a target that started in this time has been seen by no other agent.
	maxStartSkew = 250 * time.Millisecond
	// idleMargin is added to the idle timeout: a packet may have been on its way
	// when the agent restarted.
	idleMargin = time.Second
	// targetCheckInterval is the time between checks whether a target that does not
	// return probes runs at all.
	targetCheckInterval = 300 * time.Millisecond
	// sweepInterval is the time between sweeps of the tables.
	sweepInterval = time.Second
)

// Options of a Machine.
type Options struct {
	Self       netip.Addr
	DataCentre string
	// Service is the service of the target, Target its address.
	Service string
	Target  netip.AddrPort
	// FirstStart says that the target cannot hold flows from before.
	FirstStart bool
	// StartedMS is the time of day at which the agent started, in Unix
	// milliseconds.
	StartedMS int64
	// FlowTTL is the age after which a flow may be discarded. That long a
	// restarted agent allows that its target holds flows that it does not
	// know.
	FlowTTL time.Duration
	Codec   flow.Codec
	View    *fleet.View
}

// Machine is the state of one agent. It is not safe for concurrent use.
type Machine struct {
	Options
	serviceTag uint64

	flows      map[flow.Key]*ownedFlow
	records    map[flow.Key]*record
	placements map[flow.Key]*placement
	searches   map[flow.Key]*search
	surveys    map[flow.Key][]*survey
	queue      *waitqueue.Queue[flow.Key, queuedFlow]
	peers      map[netip.Addr]*peer

	// reportTimes estimates how long agents take to report.
	reportTimes *rto.Estimator
	// firstAnswerTimes estimates the time from the admission of a flow to the
	// first answer of its target.
	firstAnswerTimes *rto.Estimator
	// roundTripTimes estimates the time from the acceptance of a flow to its
	// caller's request.
	roundTripTimes *rto.Estimator
	stats          *stats
	outcomes       outcomes
	leaving        bool
	// silent says that the target does not answer; retryAt is when it gets the
	// next new flow as a probe.
	silent            bool
	retryAt           time.Duration
	startedAt         time.Duration
	unknownFlowsUntil time.Duration
	// targetHeard says that the target has sent anything since the start of
	// the agent, targetProbed that it got a probe, the first one at probedAt.
	// nextCheck is when to check again whether it runs.
	targetHeard, targetProbed       bool
	targetProbedAt, nextTargetCheck time.Duration
	lastSweep                       time.Duration
	targetBorn                      int64
}

// record is what a home knows of a flow.
type record struct {
	owner netip.Addr
	// confirmed says that the owner has reported, waiting that the flow waits
	// for a slot there.
	confirmed, waiting bool
	seq                uint32
	lastSeen           time.Duration
}

// peer is another agent of the service.
type peer struct {
	load         relay.Load
	lastHeard    time.Duration
	everHeard    bool
	suspectUntil time.Duration
	// unreported counts flows that were placed there and are not reported yet.
	unreported int
}

// New returns a Machine.
func New(now time.Duration, o Options) *Machine {
	m := &Machine{
		Options: o, startedAt: now, serviceTag: relay.ServiceTag(o.Service),
		flows: map[flow.Key]*ownedFlow{}, records: map[flow.Key]*record{}, placements: map[flow.Key]*placement{},
		searches: map[flow.Key]*search{}, surveys: map[flow.Key][]*survey{}, peers: map[netip.Addr]*peer{}, queue: waitqueue.New[flow.Key, queuedFlow](maxWaiting), reportTimes: rto.New(minOwnerTimeout, maxOwnerTimeout),
		firstAnswerTimes: rto.New(0, openingTimeout), roundTripTimes: rto.New(minHalfOpenTimeout, maxHalfOpenTimeout), stats: newStats(now),
	}
	if !o.FirstStart {
		m.unknownFlowsUntil = now + cmp.Or(o.FlowTTL, defaultFlowTTL)
	}
	return m
}

// Flows returns the number of flows in the table.
func (m *Machine) Flows() int { return len(m.flows) }

// Records returns the number of flows that the agent is home to.
func (m *Machine) Records() int { return len(m.records) }

// Queued returns the number of new flows that wait for a slot.
func (m *Machine) Queued() int { return m.queue.Len() }

// Waiting reports whether Tick has short timeouts to watch.
func (m *Machine) Waiting() bool {
	return len(m.placements) > 0 || len(m.searches) > 0 || len(m.surveys) > 0 || m.queue.Len() > 0 || m.hasOffers()
}

func (m *Machine) hasOffers() bool { return m.stats.count[phaseOffered] > 0 }

// Leave makes the agent refuse new flows. Open flows go on.
func (m *Machine) Leave() { m.leaving = true }

// Idle reports whether no request is in progress at the target.
func (m *Machine) Idle() bool { return m.stats.pending() == 0 }

// FromPeer takes a datagram of another process.
func (m *Machine) FromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	m.handlePeerMessage(now, from, msg, out)
	m.admit(now, out)
}

func (m *Machine) handlePeerMessage(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch msg.Kind {
	case relay.Heartbeat:
		m.handleHeartbeat(now, from, msg)
		return
	case relay.Owner, relay.NotOwner, relay.MaybeOwner, relay.Waiting, relay.Refused, relay.SurveyResult:
		m.handleAnswer(now, from, msg, out)
		return
	}
	if msg.Service != m.serviceTag {
		out.Event(plane.Event{Kind: plane.EventDropped, Peer: from, Reason: "other_service"})
		return
	}
	p, err := m.Codec.FromCaller(msg.Body)
	if err != nil {
		out.Event(plane.Event{Kind: plane.EventDropped, Peer: from, Reason: "malformed"})
		return
	}
	switch msg.Kind {
	case relay.Open:
		m.handleOpening(now, &p, msg, out)
	case relay.Place:
		m.offer(now, &p, msg, out)
	case relay.Packet:
		m.handlePacket(now, &p, msg, out)
	case relay.Search:
		m.handleSearch(now, from, &p, msg, out)
	case relay.Survey:
		m.handleSurvey(now, from, &p, msg, out)
	case relay.Probe:
		m.handleProbe(now, from, &p, msg, out)
	}
}

// handleHeartbeat notes the load of a peer.
func (m *Machine) handleHeartbeat(now time.Duration, from netip.Addr, msg *relay.Message) {
	if msg.Load.Flags&relay.FlagAgent == 0 || msg.Service != m.serviceTag {
		return
	}
	p := m.peer(from)
	p.load, p.lastHeard, p.everHeard = msg.Load, now, true
}

func (m *Machine) peer(a netip.Addr) *peer {
	p := m.peers[a]
	if p == nil {
		p = &peer{}
		m.peers[a] = p
	}
	return p
}

func (m *Machine) forward(to netip.Addr, kind relay.Kind, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	out.Send(to, relay.Message{Kind: kind, Hops: msg.Hops + 1, Service: m.serviceTag, Origin: msg.Origin, Home: msg.Home, RefusedBy: msg.RefusedBy, Body: p.Raw})
}

// FromTarget takes a packet of the target.
func (m *Machine) FromTarget(now time.Duration, raw []byte, out *plane.Out) {
	m.targetHeard = true
	m.handleTargetPacket(now, raw, out)
	m.admit(now, out)
}

// maxInFlightBytes is how far the acknowledgements of a caller may be behind the
// first packet that a restarted agent sees of its target: the packets in
// flight.
const maxInFlightBytes = 16 * 1200
