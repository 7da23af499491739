package plane

import (
	"net/netip"
	"time"

	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/relay"
)

// Out collects what a decision machine asks for. Its buffers refer to the
// packet of the step and are valid until the next one.
type Out struct {
	// Sends are datagrams to other processes.
	Sends []Send
	// ToTarget are packets for the agent's target.
	ToTarget [][]byte
	// ToCaller are packets for callers.
	ToCaller []CallerPacket
	// Events are decisions, for the log and the metrics.
	Events []Event
	// Latencies are measured durations, for the metrics.
	Latencies []Latency
}

// LatencyKind names a measured duration. It is a stable key for metrics.
type LatencyKind string

// The durations.
const (
	// LatencyFirstAnswer is from a request to the first packet of its answer, at
	// the agent.
	LatencyFirstAnswer LatencyKind = "first_answer"
	// LatencyQueued is how long a new flow waited for a slot.
	LatencyQueued LatencyKind = "queued"
	// LatencyOwnerReport is from an opening packet to the report of its owner, at
	// the balancer.
	LatencyOwnerReport LatencyKind = "owner_report"
	// LatencyHandedOver is from the offer of a new flow to the target until the
	// agent passed it on, because the target did not take it.
	LatencyHandedOver LatencyKind = "handed_over"
	// LatencyForwarded is from the receipt of a datagram until all that it
	// brought about was sent.
	LatencyForwarded LatencyKind = "forwarded"
)

// Latency is one measured duration of a service.
type Latency struct {
	Kind    LatencyKind
	Service string
	Took    time.Duration
}

// Peer is what a process believes of another process.
type Peer struct {
	Address netip.Addr
	// SinceHeard is how long ago it was heard, negative if it never was.
	SinceHeard time.Duration
	// Usable says that new flows are sent there. Reason is a short stable key
	// if they are not.
	Usable bool
	Reason string
	// Load is the last that it told.
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
	EventPlaced         EventKind = "placed"
	EventQueued         EventKind = "queued"
	EventAdmitted       EventKind = "admitted"
	EventHandedOver     EventKind = "handed_over"
	EventRefused        EventKind = "refused"
	EventReset          EventKind = "reset"
	EventSearched       EventKind = "searched"
	EventFound          EventKind = "found"
	EventProbed         EventKind = "probed"
	EventReturned       EventKind = "returned"
	EventSuspected      EventKind = "suspected"
	EventDropped        EventKind = "dropped"
	EventNextHome       EventKind = "next_home"
	EventTargetReplaced EventKind = "target_replaced"
	// EventTargetFresh says that the target holds no flow from before the start
	// of the agent.
	EventTargetFresh  EventKind = "target_fresh"
	EventTargetSilent EventKind = "target_silent"
	EventTargetHeard  EventKind = "target_heard"
	// EventTargetFails and EventTargetAnswers say that the target resets flows
	// or answers unusually soon and short, and that it answers again.
	EventTargetFails   EventKind = "target_fails"
	EventTargetAnswers EventKind = "target_answers"
)

// Event is one decision with what decided it.
type Event struct {
	Kind EventKind
	Flow flow.Key
	// PacketSeq is the sequence number of the packet, 0 if there is none. That of
	// an opening packet tells flows under the same addresses apart.
	PacketSeq uint32
	// Peer is the other process, if there is one.
	Peer netip.Addr
	// Reason is a short stable key.
	Reason string
	// Value is a number that decided, such as an age in milliseconds or a
	// load in hundredths of a slot.
	Value int64
}

// Clear empties the collection and keeps its memory.
func (o *Out) Clear() {
	o.Sends, o.ToTarget, o.ToCaller = o.Sends[:0], o.ToTarget[:0], o.ToCaller[:0]
	o.Events, o.Latencies = o.Events[:0], o.Latencies[:0]
}

// Send adds a datagram.
func (o *Out) Send(to netip.Addr, m relay.Message) { o.Sends = append(o.Sends, Send{to, m}) }

// Event adds a decision.
func (o *Out) Event(e Event) { o.Events = append(o.Events, e) }
