// Package ownership decides at an agent what happens to packets: which flows
// its target holds, where a new flow is placed, and how the owner of an unknown
// flow is found. It has no I/O and no clock: the current time is a parameter.
//
// Terms:
//   - The owner of a flow is the agent whose target holds the flow. An agent
//     sees all packets of its target in both directions, so it knows which flows
//     the target holds.
//   - The home of a flow is an agent that placed the flow on a target and keeps
//     a record of its owner.
//   - A slot is the capacity of a target for one request at a time. A new flow
//     is queued at the agent, and waits, while the target has no free slot.
//   - An agent hands a new flow over if its target cannot take it: it forwards
//     the opening packet to the agent of another target.
//   - A search asks the other agents of the service for the owner of a flow. A
//     survey asks one agent to search its whole data centre.
//   - A probe gives a packet to a target that may hold the flow, because its
//     agent has restarted. The target returns the packet unless it holds the
//     flow.
//   - An agent is in doubt while its target may hold flows that it does not know.
//     The target is fresh if it holds no flow from before the start of the agent.
//   - A held list has the flows that a fresh target holds. An agent gives it to a
//     searcher in place of an answer for each flow.
//   - A flow is offered once the target has got its opening packet, and accepted
//     once the target has answered it. The offer of a slot is something else: by
//     it a target tells one agent that it has a free slot.
//   - A held request is a request on an open flow whose packets wait at the agent
//     because the target is full.
//
// Invariants:
//   - A packet of an open flow reaches a target only at the flow's owner, or as
//     a probe at an agent that has restarted. A flow has at most probeBudget
//     probes in probeWindow unless every agent of the service has answered.
//   - A packet for another service never reaches the target.
//   - A flow is reset only if no target holds it, in none of the services to
//     which its address leads or led.
package ownership

import (
	"cmp"
	"net/netip"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/ratelimit"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/rto"
	"trefoilweir.example/core/spread"
	"trefoilweir.example/core/waitqueue"
)

// Timeouts, intervals and limits.
const (
	// acceptTimeout is how long a target may take to accept a flow. A running
	// target accepts within a millisecond.
	acceptTimeout = 25 * time.Millisecond
	// minOwnerTimeout and maxOwnerTimeout bound how long a home waits for the
	// agent of the chosen target to report, before it chooses another target.
	minOwnerTimeout = 40 * time.Millisecond
	maxOwnerTimeout = 180 * time.Millisecond
	// suspectDuration is how long a home avoids an agent that did not report in
	// time.
	suspectDuration = time.Second
	// maxSearchViewAge is the age of the view up to which it lists every target
	// that may hold a flow. An older view may lack targets that got flows since.
	maxSearchViewAge = 4 * time.Second
	// goneTimeout is how long the agent of a removed target must leave a series
	// of questions unanswered to count as gone with its target. maxQuestionGap is
	// the longest time between two questions of a series.
	goneTimeout    = 2 * time.Second
	maxQuestionGap = 5 * time.Second
	// maxAnswerTime is the time within which an agent that runs answers.
	maxAnswerTime = 100 * time.Millisecond
	// goneRetryInterval is the interval at which an agent that counts as gone is
	// asked again.
	goneRetryInterval = time.Second
	// heartbeatTimeout is the time without a message after which a peer gets no
	// new flows.
	heartbeatTimeout = 700 * time.Millisecond
	// silentRetryInterval is the interval at which a silent target gets a new
	// flow to test whether it answers again.
	silentRetryInterval = 200 * time.Millisecond
	// maxHops bounds how often agents forward a packet.
	maxHops = 4
	// defaultIdleTTL is how long an idle flow or record is kept if the
	// configuration sets no idle timeout.
	defaultIdleTTL = 30 * time.Second
	// closedFlowTTL is how long an idle flow is kept after both ends have
	// closed it, or if its caller has not opened it.
	closedFlowTTL = 4 * time.Second
	// minHalfOpenTimeout and maxHalfOpenTimeout bound how long an accepted flow
	// counts as a request about to arrive. A caller that has not given up sends
	// its request within a round trip.
	minHalfOpenTimeout = 40 * time.Millisecond
	maxHalfOpenTimeout = 600 * time.Millisecond
	// maxFlows bounds the number of flows, and separately that of records.
	maxFlows = 50_000
	// searchTimeout is how long a search waits for the agents of the local data
	// centre, remoteSearchTimeout how long for those of the other data centres.
	searchTimeout       = 20 * time.Millisecond
	remoteSearchTimeout = 50 * time.Millisecond
	// maxDirectSearches is the number of agents of another data centre up to
	// which a search asks each of them. For more agents it sends one survey.
	maxDirectSearches = 2
	// maxDeclinedSurveys is how many agents may decline a survey in a round
	// before the round stays incomplete.
	maxDeclinedSurveys = 4
	// maxSurveys bounds the flows for which surveys of other data centres run
	// at this agent.
	maxSurveys = 4096
	// searchResultTTL is how long the result of a search is kept.
	searchResultTTL = 2 * time.Second
	// searchRetryDelay is the delay until an incomplete search starts another
	// round. It doubles after every second round. maxSearchRetries bounds these
	// rounds. The search does not wait for packets of the caller, because the
	// interval between them grows.
	searchRetryDelay = 80 * time.Millisecond
	maxSearchRetries = 6
	// doubtTTL is how long an agent goes on to say of a flow that its target may
	// hold it. It is longer than the interval between packets of a caller.
	doubtTTL = 4 * time.Second
	// probeBudget is the number of probes of a flow in probeWindow, by all agents
	// that search for it. The window is longer than the deadlines of callers:
	// three packets at other targets break a flow, however far apart they are, if
	// none has reached its own.
	probeBudget = 2
	probeWindow = 30 * time.Second
	// sharedProbeBudget is the number of probes in probeWindow as long as another
	// service of the address may hold the flow and probe for it too.
	sharedProbeBudget = 1
	// probeDeferral is how long a search waits with probes for the result of another
	// service. A search takes about 100 ms if some agent does not answer.
	probeDeferral = 120 * time.Millisecond
	// deferredHops is the number of hops of a Redirect from a service that waits
	// with probes for the result. clearedHops is that of its answer if all agents
	// have answered and some may hold the flow. An earlier release takes both for a
	// Redirect from a service that does not hold the flow, searches, and probes.
	deferredHops = 2
	clearedHops  = 3
	// probeRepeatInterval is the time after which a search gives a target the
	// same packet again, because the probe may have been lost.
	probeRepeatInterval = 2500 * time.Millisecond
	// defaultFlowTTL is used if Options.FlowTTL is zero.
	defaultFlowTTL = 60 * time.Second
	// maxStartSkew is by how much a target may start before its agent if both
	// start because their VM does. An agent that restarts alone takes longer.
	// So no other agent has seen a target that started at most this long before
	// its agent.
	maxStartSkew = 250 * time.Millisecond
	// maxJointStart is how long after its start an agent counts the entry of its
	// target in its first view as evidence that all VMs have restarted.
	maxJointStart = 2 * time.Second
	// idleMargin is added to the idle timeout: a caller whose packets get no answer
	// sends them again for up to 10 s, and until then all of them may be lost before
	// they reach the agent.
	idleMargin = 10 * time.Second
	// targetCheckInterval is the time between checks whether a target that does
	// not return probes is running.
	targetCheckInterval = 300 * time.Millisecond
	// sweepInterval is the time between sweeps of the tables.
	sweepInterval = time.Second
)

// Options configures a Machine.
type Options struct {
	Self       netip.Addr
	DataCentre string
	// Service is the service of the target, Target its address.
	Service string
	Target  netip.AddrPort
	// FirstStart says that the target cannot hold flows from before the start
	// of the agent.
	FirstStart bool
	// StartedMS is the start time of the agent, in Unix milliseconds.
	StartedMS int64
	// SinceBoot is the time from the start of the VM to that of the agent, or 0 if
	// it is not known.
	SinceBoot time.Duration
	// FlowTTL is the age after which a flow may be discarded. For that long
	// after a restart, the agent assumes that its target may hold flows that
	// the agent does not know.
	FlowTTL time.Duration
	// Run is the random number of this run of the agent. AwaitTable says that the
	// agent may get the flow table of its last run. Until then, or until it learns
	// that there is none, it does not answer for flows that it does not know.
	Run        uint64
	AwaitTable bool
	Codec      flow.Codec
	View       *fleet.View
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
	// heldFlows is the number of flows with a held request.
	heldFlows int
	queue     *waitqueue.Queue[flow.Key, queuedFlow]
	peers     map[netip.Addr]*peer
	lists     heldLists

	// reportTimes estimates how long agents take to report a flow placed at
	// their target.
	reportTimes *rto.Estimator
	// warmupLimiter limits the new flows that the target gets while it is warming up.
	// coldUntil is until when it is, by its last listed entry, if there was one.
	warmupLimiter *ratelimit.Limiter
	coldUntil     time.Duration
	coldKnown     bool
	// firstAnswerTimes estimates the time from the admission of a flow to the
	// first answer of the target.
	firstAnswerTimes *rto.Estimator
	// roundTripTimes estimates the time from the acceptance of a flow to its
	// caller's request.
	roundTripTimes *rto.Estimator
	stats          *stats
	// offers are free slots of other targets, offering is about those of the own
	// target.
	offers   spread.Offers
	offering spread.Offering
	// placed is the rate of the flows that this agent places as their home.
	placed spread.Rate
	// offerCount is the number of offers so far.
	offerCount uint64
	outcomes   outcomes
	leaving    bool
	// silent says that the target does not answer. retryAt is when it gets the
	// next new flow as a test.
	silent    bool
	retryAt   time.Duration
	startedAt time.Duration
	// unknownFlowsUntil is until when the target may hold flows that the agent
	// does not know. The agent has observed the target since unknownFlowsSince.
	unknownFlowsUntil, unknownFlowsSince time.Duration
	// flowsOmitted says that the target holds flows for which the table had no
	// room.
	flowsOmitted bool
	restore      restore
	// longestIdleTimeout is the longest idle timeout of the versions so far.
	longestIdleTimeout time.Duration
	// targetHeard says that the target has sent a packet since the start of the
	// agent. targetProbed says that it has received a probe, the first one at
	// targetProbedAt. nextTargetCheck is when the next check whether the target
	// is running is due.
	targetHeard, targetProbed       bool
	targetProbedAt, nextTargetCheck time.Duration
	lastSweep                       time.Duration
	targetStartUnixMS               int64
	// startedWithVM says that the agent started with its VM, which is not logged
	// yet.
	startedWithVM bool
	// sawCurrentView says that a view was known at a tick that was confirmed since
	// the start of the agent.
	sawCurrentView bool
}

// record is what a home knows about a flow.
type record struct {
	owner netip.Addr
	// confirmed says that the owner has reported the flow. waiting says that
	// the flow is queued at the owner.
	confirmed, waiting bool
	seq                uint32
	lastSeen           time.Duration
	// followUntil is until when copies of the opening packet follow a flow that
	// this agent has handed over while it waited.
	followUntil time.Duration
}

// New returns a Machine that starts at the time now.
func New(now time.Duration, o Options) *Machine {
	m := &Machine{
		Options: o, startedAt: now, serviceTag: relay.ServiceTag(o.Service),
		flows: map[flow.Key]*ownedFlow{}, records: map[flow.Key]*record{}, placements: map[flow.Key]*placement{},
		searches: map[flow.Key]*search{}, surveys: map[flow.Key][]*survey{}, peers: map[netip.Addr]*peer{}, queue: waitqueue.New[flow.Key, queuedFlow](maxQueued), reportTimes: rto.New(minOwnerTimeout, maxOwnerTimeout),
		firstAnswerTimes: rto.New(0, openingTimeout), roundTripTimes: rto.New(minHalfOpenTimeout, maxHalfOpenTimeout), stats: newStats(now),
		warmupLimiter: ratelimit.New(now),
		// A late answer to the previous run of the agent must not count in this one.
		lists: heldLists{lastNumber: uint32(o.StartedMS), lastStart: now - listInterval},
	}
	switch {
	case o.FirstStart:
		m.warmupLimiter.NothingBefore()
	case o.SinceBoot > 0 && o.SinceBoot <= maxStartSkew:
		m.startedWithVM = true
		m.warmupLimiter.NothingBefore()
	default:
		m.unknownFlowsUntil, m.unknownFlowsSince = now+cmp.Or(o.FlowTTL, defaultFlowTTL), now
		m.restore.waiting = o.AwaitTable
	}
	return m
}

// Flows returns the number of flows that the agent tracks at its target.
func (m *Machine) Flows() int { return len(m.flows) }

// Records returns the number of flows whose home is this agent.
func (m *Machine) Records() int { return len(m.records) }

// Queued returns the number of new flows and of requests on open flows that wait
// for a slot at the target.
func (m *Machine) Queued() int { return m.queue.Len() }

// HasTimeouts reports whether there are short timeouts that Tick must check.
func (m *Machine) HasTimeouts() bool {
	return m.restore.waiting || len(m.placements) > 0 || len(m.searches) > 0 || len(m.surveys) > 0 || m.queue.Len() > 0 || m.awaitsAcceptance()
}

// awaitsAcceptance reports whether the target was offered a flow that it has not
// accepted yet.
func (m *Machine) awaitsAcceptance() bool { return m.stats.count[phaseOffered] > 0 }

// Leave makes the agent refuse new flows. Open flows continue.
func (m *Machine) Leave() { m.leaving = true }

// Idle reports whether no request is in progress at the target or held for it.
func (m *Machine) Idle() bool { return m.stats.pending() == 0 && m.heldFlows == 0 }

// maxInFlightBytes bounds the data in flight. The acknowledgements of a caller
// may be this far behind the first packet of the target that a restarted agent
// sees. If that packet is a retransmission, they may be this far beyond it.
const maxInFlightBytes = 16 * 1200
