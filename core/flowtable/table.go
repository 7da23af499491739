// Package flowtable hands an agent's flow table over a planned restart. The agent
// that stops sends its table to other agents, its keepers, and the next run of the
// agent asks them for it. The package has the transferred types with their
// encoding, the tables that a keeper holds, the choice of keepers, and the
// decision which table a starting agent may use. It has no I/O and no clock.
//
// Terms:
//   - A run is one process of an agent, from its start to its end. It has a
//     random number.
//   - A claim is the question of a starting run for the table of an earlier run.
//     It also tells a keeper that the run has started.
//
// Invariants:
//   - A table is given only to the first run that claims it. That run may claim
//     it again, because an answer may be lost.
//   - A run uses a table only if more than half of the keepers have answered, and
//     none of them knows a run that the table does not name as earlier, except
//     itself. So an agent that was killed is not restored from a table of the run
//     before. spec/flowtable.pml checks this.
//   - Points in time are transferred as ages, because clocks differ.
package flowtable

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/flow"
)

const (
	// MaxFlows bounds the flows of a table, and separately the flows with probes.
	MaxFlows = 50_000
	// MaxTableBytes bounds the encoded size of a table. An open flow takes 46
	// bytes.
	MaxTableBytes = 4 << 20
	// MaxAge is how long after its export a table is kept.
	MaxAge = 60 * time.Second
)

// Table is what an agent knows about the flows of its target at the end of a run.
type Table struct {
	// Agent is the address of the agent, Run the number of the run that ends.
	Agent netip.Addr
	Run   uint64
	// EarlierRuns has the runs of the agent that started before this one, as far
	// as the keepers know them.
	EarlierRuns []uint64
	// Target is the address of the target. TargetStartUnixMS is the start time of
	// its incarnation, in Unix milliseconds, or 0 if the agent does not know it.
	Target            netip.AddrPort
	TargetStartUnixMS int64
	// DoubtLeft is for how much longer the target may hold flows that the agent
	// does not know, or 0 if it holds none. DoubtFor is the time for which the
	// agent has observed the target in this doubt.
	DoubtFor, DoubtLeft time.Duration
	Flows               []Flow
	Probes              []Probes
}

// Flow is a flow that the target holds, or that was offered to it.
type Flow struct {
	Key flow.Key
	// Accepted says that the target has accepted the flow. Opened says that the
	// caller has received the acceptance. Busy says that a request is in progress.
	Accepted, Opened, Busy     bool
	CallerClosed, TargetClosed bool
	// Base is the first sequence number of the target and Top the highest that it
	// has sent, if BaseKnown is set.
	BaseKnown bool
	Base, Top uint32
	// CallerTop is the highest sequence number of the caller, if CallerTopKnown
	// is set.
	CallerTopKnown bool
	CallerTop      uint32
	// OpenSeq is the sequence number of the opening packet, if OpenSeqKnown is
	// set.
	OpenSeqKnown bool
	OpenSeq      uint32
	// SinceSeen is the time since the last packet.
	SinceSeen time.Duration
	// Origin and Home are the balancer and the home to which the agent reports the
	// flow once the target has accepted it. They are zero for an opened flow.
	Origin, Home netip.Addr
}

// Probes has what the agent knows about probes of one flow at its target.
type Probes struct {
	Key flow.Key
	// Ages has the times since the recent probes.
	Ages []time.Duration
	// Denied says that the target does not hold the flow.
	Denied bool
	// Doubted says that the agent has told another one that its target may hold
	// the flow, last SinceDoubted ago.
	Doubted      bool
	SinceDoubted time.Duration
}
