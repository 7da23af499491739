package admission

import (
	"time"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// RequestID identifies a request within one agent process. It is never
// reused.
type RequestID uint64

// PeerID identifies another agent of the same service.
type PeerID string

// GrantID identifies a place that an agent holds free for a peer's request.
// It is unique per granting agent. Zero means no grant.
type GrantID uint64

// Event is an input of the machine.
type Event interface{ event() }

// Arrive reports a new request, from a caller or from a peer.
type Arrive struct {
	ID RequestID
	// Class names a class of Limits. An unknown class holds a slot.
	Class string
	// Deadline is the time, on the clock of Step, before which the request
	// must start. Zero selects the default of the class.
	Deadline time.Duration
	// Repeatable says that the request may run twice.
	Repeatable bool
	// Grant is the grant the request was handed over with. Zero means that
	// it came from a caller. The agent must not pass on a request from a
	// peer without a grant: it answers it NotRun itself.
	Grant GrantID
}

// Done reports the end of a Run.
type Done struct {
	ID      RequestID
	Verdict verdict.Verdict
	// Shed says that the target refused for lack of capacity. Another
	// attempt is then paid from the retry budget.
	Shed bool
}

// Cancel reports that the caller has gone and that the agent has aborted the
// attempt in progress, if there was one. It frees all that the request held;
// a Done or PeerResult that still follows is ignored.
type Cancel struct{ ID RequestID }

// PeerMessage is a message from another agent.
type PeerMessage struct {
	From    PeerID
	Message Message
}

// PeerResult reports the end of a HandOver.
type PeerResult struct {
	ID      RequestID
	Peer    PeerID
	Verdict verdict.Verdict
	// Shed says that the peer's target refused for lack of capacity.
	Shed bool
}

// Reconfigure replaces the limits and the list of peers.
type Reconfigure struct {
	Limits Limits
	Peers  []Peer
}

// Drain stops local starts for good.
type Drain struct{}

// Tick lets time pass. The agent sends one every TickInterval.
type Tick struct{}

func (Arrive) event()      {}
func (Done) event()        {}
func (Cancel) event()      {}
func (PeerMessage) event() {}
func (PeerResult) event()  {}
func (Reconfigure) event() {}
func (Drain) event()       {}
func (Tick) event()        {}

// Action is an output of the machine.
type Action interface{ action() }

// Run starts the request on the local target. Done follows.
type Run struct{ ID RequestID }

// HandOver sends the request to a peer with a grant. PeerResult follows.
type HandOver struct {
	ID    RequestID
	Peer  PeerID
	Grant GrantID
}

// Refuse ends a request that was never attempted. The verdict is NotRun.
type Refuse struct {
	ID         RequestID
	Reason     Reason
	RetryAfter time.Duration
}

// Send sends a message to a peer. Messages may be lost.
type Send struct {
	To      PeerID
	Message Message
}

// Answer ends a request after its last attempt. With the verdict Ran the
// agent passes on the response of that attempt.
type Answer struct {
	ID      RequestID
	Verdict verdict.Verdict
}

func (Run) action()      {}
func (HandOver) action() {}
func (Refuse) action()   {}
func (Send) action()     {}
func (Answer) action()   {}

// Reason says why a request was refused, as a stable key for logs and
// metrics.
type Reason string

// The reasons.
const (
	// ReasonQueueFull means that the queue was at its bound.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the request could not start in time.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining means that the agent drains and no peer took the request.
	ReasonDraining Reason = "draining"
	// ReasonGrantExpired means that the grant was unknown or no longer valid.
	ReasonGrantExpired Reason = "grant_expired"
	// ReasonConnectionLimit means that the connection limit was reached.
	ReasonConnectionLimit Reason = "connection_limit"
	// ReasonCancelled means that the caller went away before any attempt.
	ReasonCancelled Reason = "cancelled"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// The message kinds.
const (
	// Reserve asks for a place for one request.
	Reserve MessageKind = iota + 1
	// Grant answers a Reserve: the place is held for GrantLifetime.
	Grant
	// Deny answers a Reserve: there is no place.
	Deny
	// Offer gives a place, without having been asked, to a peer that reported
	// waiting requests.
	Offer
	// Release gives a granted or offered place back, or withdraws a Reserve.
	Release
	// Report only carries the load.
	Report
)

// Message is what agents send each other as CBOR in Control datagrams.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// Token identifies a Reserve within its sender; Grant, Deny and a
	// withdrawing Release repeat it.
	Token uint64 `cbor:"2,keyasint,omitempty"`
	// Grant identifies the place, in Grant, Offer and Release.
	Grant GrantID `cbor:"3,keyasint,omitempty"`
	// Slotless says, in a Reserve, that the request holds no slot.
	Slotless bool `cbor:"4,keyasint,omitempty"`
	// ScoreLimit is, in a Reserve, the figure of the sender that the receiver has
	// to undercut. Zero means any.
	ScoreLimit float64 `cbor:"5,keyasint,omitempty"`
	// Load is the sender's load.
	Load Load `cbor:"6,keyasint"`
	// PeerLoads are the sender's newest figures of other peers.
	PeerLoads []PeerLoad `cbor:"7,keyasint,omitempty"`
}

// PeerLoad is a second-hand load figure.
type PeerLoad struct {
	Peer PeerID `cbor:"1,keyasint"`
	// AgeMS is the age of the figure, in milliseconds.
	AgeMS   int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	Busy    int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint,omitempty"`
	// UtilizationPercent is the utilization, in percent.
	UtilizationPercent int `cbor:"6,keyasint"`
}

// Load is what an agent reports of itself. To its peers it is a hint.
type Load struct {
	// Slots is the current number of slots, smaller during a cold start.
	Slots int `cbor:"1,keyasint"`
	// Busy is the number of slots in use or held for a grant.
	Busy int `cbor:"2,keyasint"`
	// Waiting is the number of requests in the queue.
	Waiting int `cbor:"3,keyasint"`
	// Connections is the number of running requests that hold no slot.
	Connections int `cbor:"4,keyasint,omitempty"`
	// Draining says that nothing new starts.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Cold says that the slot ramp has not ended.
	Cold bool `cbor:"6,keyasint,omitempty"`
	// Full says that the connection limit is reached.
	Full bool `cbor:"7,keyasint,omitempty"`
	// ServiceTime is the mean time a request holds a slot. Zero means not
	// measured.
	ServiceTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Utilization is the recent mean number of requests, running or waiting,
	// per slot.
	Utilization float64 `cbor:"9,keyasint,omitempty"`
}

// Class is a kind of request.
type Class struct {
	Name string
	// HoldsSlot says that a request occupies a slot while it runs.
	HoldsSlot bool
	// Deadline is the longest wait of a request without its own deadline.
	// Zero means none.
	Deadline time.Duration
}

// Limits are the settings of one agent, from its service, target and the
// active preset. Zero values select the defaults given here.
type Limits struct {
	// Slots is how many requests the target runs at once. Default 1.
	Slots int
	// Speed is the configured speed of the target. Default 1.
	Speed float64
	// Connections bounds the running requests that hold no slot. Zero means
	// no bound.
	Connections int
	// QueuePerSlot bounds the queue, in requests per slot. Default 4.
	QueuePerSlot int
	// HandOver allows handing requests over to peers.
	HandOver bool
	// HandOverPeers is how many peers are asked for a place. Default 3.
	HandOverPeers int
	// RetryBudgetPercent bounds retries, in percent of the requests of the
	// last 10 s; one per second is always allowed. Default 10.
	RetryBudgetPercent int
	// ColdStart is the length of the slot ramp, from the first Step. Zero
	// means none.
	ColdStart time.Duration
	// Bias is the aim preferred where balance and latency conflict. Default
	// config.BiasBalance.
	Bias config.Bias
	// Classes are the classes of the service.
	Classes []Class
}

// Peer is another agent of the service, as configured.
type Peer struct {
	ID PeerID
	// Slots is the configured number of slots.
	Slots int
	// Speed is the configured speed.
	Speed float64
	// Draining says that the configuration or the VM list has it leaving.
	Draining bool
}

// Times of the protocol between agents.
const (
	// TickInterval is how often the agent sends Tick.
	TickInterval = 10 * time.Millisecond
	// GrantLifetime is how long a granted place is held.
	GrantLifetime = 100 * time.Millisecond
	// ReportInterval is how often a Report goes to the peers.
	ReportInterval = time.Second
	// PauseGap is the gap between ticks after which the process counts as
	// having been paused.
	PauseGap = time.Second
)
