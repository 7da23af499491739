package plane

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Out collects the output of a decision machine. Its buffers refer to the packet
// that the machine handles, so they are valid until the next call of the
// machine.
type Out struct {
	// Sends holds datagrams to other processes.
	Sends []Send
	// ToTarget holds packets for the agent's target.
	ToTarget [][]byte
	// ToCaller holds packets for callers.
	ToCaller []CallerPacket
	// Events holds decisions, for the log and the metrics.
	Events []Event
	// Latencies holds measured durations, for the metrics.
	Latencies []Latency
}

// LatencyKind names a measured duration. It is a stable key for metrics.
type LatencyKind string

// The measured durations.
const (
	// LatencyFirstAnswer is the time from a request to the first packet of its
	// answer, measured at the agent.
	LatencyFirstAnswer LatencyKind = "first_answer"
	// LatencyQueued is the time that a new flow waited for a slot.
	LatencyQueued LatencyKind = "queued"
	// LatencyOwnerReport is the time from an opening packet to the report of
	// the flow's owner, measured at the balancer.
	LatencyOwnerReport LatencyKind = "owner_report"
	// LatencyHandedOver is the time from the offer of a new flow to the target
	// until the agent forwards the flow to another agent because the target did
	// not accept it.
	LatencyHandedOver LatencyKind = "handed_over"
	// LatencyForwarded is the time from the receipt of a datagram until all
	// output that results from it has been sent.
	LatencyForwarded LatencyKind = "forwarded"
)

// Latency is one measured duration, for a service.
type Latency struct {
	Kind    LatencyKind
	Service string
	Took    time.Duration
}

// Peer is the state of another process as this process knows it.
type Peer struct {
	Address netip.Addr
	// SinceHeard is the time since the last datagram from the peer, negative if
	// there was none.
	SinceHeard time.Duration
	// Usable says that new flows are sent to the peer. If they are not, Reason
	// is a short stable key.
	Usable bool
	Reason string
	// Load is the load that the peer reported last.
	Load relay.Load
}

// Send is a datagram to another process.
type Send struct {
	To      netip.Addr
	Message relay.Message
}

// CallerPacket is a packet for a caller.
type CallerPacket struct {
	IP  [4]byte
	Raw []byte
}

// EventKind names a decision. It is a stable key for logs and metrics.
type EventKind string

// The decisions.
const (
	EventPlaced   EventKind = "placed"
	EventQueued   EventKind = "queued"
	EventAdmitted EventKind = "admitted"
	// EventHeld says that a request on an open flow waits for a slot.
	EventHeld       EventKind = "held"
	EventHandedOver EventKind = "handed_over"
	EventRefused    EventKind = "refused"
	EventReset      EventKind = "reset"
	EventSearched   EventKind = "searched"
	EventFound      EventKind = "found"
	// EventUnresolved says that no agent that was asked holds the flow, and that
	// others may hold it.
	EventUnresolved     EventKind = "unresolved"
	EventProbed         EventKind = "probed"
	EventReturned       EventKind = "returned"
	EventSuspected      EventKind = "suspected"
	EventDropped        EventKind = "dropped"
	EventNextHome       EventKind = "next_home"
	EventTargetReplaced EventKind = "target_replaced"
	// EventTargetFresh says that the target has no flow from before the start
	// of the agent.
	EventTargetFresh  EventKind = "target_fresh"
	EventTargetSilent EventKind = "target_silent"
	EventTargetHeard  EventKind = "target_heard"
	// EventTargetFails says that the target resets flows, or that its answers
	// are unusually fast and short. EventTargetAnswers says that it answers
	// normally again.
	EventTargetFails   EventKind = "target_fails"
	EventTargetAnswers EventKind = "target_answers"
	// EventNextService says that no target of the agent's service holds a flow,
	// so its packet goes to another service of its address.
	EventNextService EventKind = "next_service"
	// EventRestored says that an agent has the flow table of its last run, or goes
	// on without one, for the given reason. The value is the number of messages
	// that it held until then.
	EventRestored EventKind = "restored"
	// EventListsAsked says that all agents of the service were asked which flows
	// their targets hold, and for how many flows. EventListsEnded says for how many
	// of these the lists showed that no target of the service holds them.
	EventListsAsked EventKind = "lists_asked"
	EventListsEnded EventKind = "lists_ended"
)

// Event is one decision with the values that it was based on.
type Event struct {
	Kind EventKind
	Flow flow.Key
	// PacketSeq is the sequence number of the packet, 0 if there is none. The
	// number of an opening packet distinguishes flows with the same addresses.
	PacketSeq uint32
	// Peer is the other process that the decision concerns, if there is one.
	Peer netip.Addr
	// Reason is a short stable key.
	Reason string
	// Value is a number that the decision was based on, such as an age in
	// milliseconds or a load in hundredths of a slot.
	Value int64
	// Search is the basis of a decision that ends a search, nil for others.
	Search *SearchBasis
}

// SearchBasis is what an agent knew when a search ended without an owner. It
// tells whether an agent whose target may hold the flow was left out.
type SearchBasis struct {
	// Service is the service whose agents were asked.
	Service string
	// Listed counts the agents of the listed targets, and Denied those that have
	// denied the flow, by themselves or through a survey of their data centre.
	Listed, Denied int
	// NotAsked counts the agents of removed targets that have not denied the
	// flow: they count as gone.
	NotAsked int
	// SinceStart is the time since the agent started.
	SinceStart time.Duration
}

// Clear empties the output and keeps the allocated memory.
func (o *Out) Clear() {
	o.Sends, o.ToTarget, o.ToCaller = o.Sends[:0], o.ToTarget[:0], o.ToCaller[:0]
	o.Events, o.Latencies = o.Events[:0], o.Latencies[:0]
}

// Send adds a datagram to another process.
func (o *Out) Send(to netip.Addr, m relay.Message) { o.Sends = append(o.Sends, Send{to, m}) }

// Event adds a decision.
func (o *Out) Event(e Event) { o.Events = append(o.Events, e) }
