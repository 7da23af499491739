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

// GrantID identifies a grant. It is unique per granting agent. Zero means no
// grant.
type GrantID uint64

// Event is an input of the machine.
type Event interface{ event() }

// Arrive reports a new request, from a caller or from a peer.
type Arrive struct {
	ID RequestID
	// Class is the name of one of Limits.Classes. A request of an unknown
	// class holds a slot.
	Class string
	// Deadline is the time, on the clock of Step, before which the request
	// must start. Zero selects the default of the class.
	Deadline time.Duration
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// Grant is the grant with which a peer handed the request over. Zero means
	// that the request came from a caller. For a request from a peer without
	// a grant, the agent must not create an Arrive: it replies NotRun itself.
	Grant GrantID
}

// Done reports the end of a Run.
type Done struct {
	ID      RequestID
	Verdict verdict.Verdict
	// Shed reports whether the target refused the request for lack of
	// capacity. Another attempt then counts against the retry budget.
	Shed bool
}

// Cancel reports that the caller has abandoned the request and that the agent
// has aborted the attempt in progress, if there was one. It releases everything
// that the request held. A later Done or PeerResult is ignored.
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
	// Shed reports whether the peer's target refused the request for lack of
	// capacity.
	Shed bool
}

// Reconfigure replaces the limits and the list of peers.
type Reconfigure struct {
	Limits Limits
	Peers  []Peer
}

// Drain stops local starts permanently.
type Drain struct{}

// Tick advances the time. The agent sends one every TickInterval.
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

// Run starts the request on the local target. Its end is reported by Done.
type Run struct{ ID RequestID }

// HandOver sends the request to a peer under a grant of that peer. Its end is
// reported by PeerResult.
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

// Answer ends a request after its last attempt. With the verdict Ran, the
// agent forwards the response of that attempt.
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
	// ReasonQueueFull means that the queue was full.
	ReasonQueueFull Reason = "queue_full"
	// ReasonDeadline means that the request could not start in time.
	ReasonDeadline Reason = "deadline"
	// ReasonDraining means that the agent is draining and no peer accepted the
	// request.
	ReasonDraining Reason = "draining"
	// ReasonGrantExpired means that the grant was unknown or no longer valid.
	ReasonGrantExpired Reason = "grant_expired"
	// ReasonConnectionLimit means that the connection limit was reached.
	ReasonConnectionLimit Reason = "connection_limit"
	// ReasonCancelled means that the caller abandoned the request before any
	// attempt.
	ReasonCancelled Reason = "cancelled"
)

// MessageKind is the type of a Message.
type MessageKind uint8

// The message kinds.
const (
	// Reserve requests a grant for one request.
	Reserve MessageKind = iota + 1
	// Grant accepts a Reserve. The grant is valid for GrantLifetime.
	Grant
	// Deny rejects a Reserve.
	Deny
	// Offer issues a grant to a peer whose Reserve was denied, or to a peer
	// that probably has requests waiting.
	Offer
	// Release returns an unused grant or withdraws a Reserve.
	Release
	// Report carries nothing but load.
	Report
)

// Message is a message between agents, sent as CBOR in Control datagrams.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// Token identifies a Reserve of its sender. The Grant, Deny or Release
	// that concerns the Reserve repeats the token.
	Token uint64 `cbor:"2,keyasint,omitempty"`
	// Grant is the ID of the grant in Grant, Offer and Release.
	Grant GrantID `cbor:"3,keyasint,omitempty"`
	// Slotless reports, in a Reserve, whether the request holds no slot.
	Slotless bool `cbor:"4,keyasint,omitempty"`
	// ScoreLimit is set in a Reserve. The receiver grants it only if its own
	// score is below the limit. Zero means no limit.
	ScoreLimit float64 `cbor:"5,keyasint,omitempty"`
	// Load is the sender's load.
	Load Load `cbor:"6,keyasint"`
	// PeerLoads are the newest loads of other peers that the sender knows.
	PeerLoads []PeerLoad `cbor:"7,keyasint,omitempty"`
}

// PeerLoad is the load of an agent as reported by one of its peers.
type PeerLoad struct {
	Peer PeerID `cbor:"1,keyasint"`
	// AgeMS is the age of the load, in milliseconds.
	AgeMS   int `cbor:"2,keyasint"`
	Slots   int `cbor:"3,keyasint"`
	Busy    int `cbor:"4,keyasint"`
	Waiting int `cbor:"5,keyasint,omitempty"`
	// UtilizationPercent is Load.Utilization in percent.
	UtilizationPercent int `cbor:"6,keyasint"`
}

// Load is the load that an agent reports of itself. Peers use it as an
// estimate only.
type Load struct {
	// Slots is the current number of slots, smaller during a cold start.
	Slots int `cbor:"1,keyasint"`
	// Busy is the number of slots in use or reserved by a grant.
	Busy int `cbor:"2,keyasint"`
	// Waiting is the number of requests in the queue.
	Waiting int `cbor:"3,keyasint"`
	// Connections is the number of running requests that hold no slot.
	Connections int `cbor:"4,keyasint,omitempty"`
	// Draining reports whether the agent starts no new requests.
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Cold reports whether the agent is in its cold start, with fewer slots
	// than configured.
	Cold bool `cbor:"6,keyasint,omitempty"`
	// Full reports whether the connection limit is reached.
	Full bool `cbor:"7,keyasint,omitempty"`
	// ServiceTime is the mean time that a request holds a slot. Zero means
	// that too few requests have been measured.
	ServiceTime time.Duration `cbor:"8,keyasint,omitempty"`
	// Utilization is the recent mean number of requests, running or waiting,
	// per slot.
	Utilization float64 `cbor:"9,keyasint,omitempty"`
}

// Class is a kind of request.
type Class struct {
	Name string
	// HoldsSlot reports whether a request occupies a slot while it runs.
	HoldsSlot bool
	// Deadline is the longest wait of a request that has no deadline of its
	// own. Zero means no class deadline.
	Deadline time.Duration
}

// Limits are the settings of one agent, taken from its service, its target and
// the active preset. Zero values select the defaults given here.
type Limits struct {
	// Slots is the number of requests that the target runs at once. Default 1.
	Slots int
	// Speed is the configured speed of the target. Default 1.
	Speed float64
	// Connections limits the running requests that hold no slot. Zero means
	// no limit.
	Connections int
	// QueuePerSlot limits the queue, in requests per slot. Default 4.
	QueuePerSlot int
	// HandOver allows handing requests over to peers.
	HandOver bool
	// HandOverPeers is the number of peers to which a request sends a Reserve
	// in one round. Default 3.
	HandOverPeers int
	// RetryBudgetPercent limits retries, in percent of the requests of the
	// last 10 s. One retry per second is always allowed. Default 10.
	RetryBudgetPercent int
	// ColdStart is the time after the first Step during which the number of
	// slots rises to Slots. Zero means that all slots are available at once.
	ColdStart time.Duration
	// Bias says which of balance and latency has priority where they
	// conflict. Default config.BiasBalance.
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
	// Draining reports whether the configuration or the VM list marks the peer
	// as draining.
	Draining bool
}

// Times of the protocol between agents.
const (
	// TickInterval is the interval between Tick events.
	TickInterval = 10 * time.Millisecond
	// GrantLifetime is the time after which an unused grant expires.
	GrantLifetime = 100 * time.Millisecond
	// ReportInterval is the interval between Reports to the peers.
	ReportInterval = time.Second
	// PauseGap is the gap between ticks beyond which the process counts as
	// having been paused.
	PauseGap = time.Second
)
