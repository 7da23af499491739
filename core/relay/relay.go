// Package relay encodes the datagrams that the processes of the packet plane
// exchange. Integers are big-endian, except those of a view's progress, which are
// varints. The kind of a datagram determines its header. In some kinds a packet of
// a caller follows the header.
package relay

import (
	"errors"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
)

// Version is the first byte of each datagram.
const Version = 0xA1

// Kind is the kind of a datagram.
type Kind uint8

// Kinds of datagrams.
const (
	// Open carries an opening packet to the home of its flow.
	Open Kind = iota + 1
	// Place carries an opening packet to the target chosen for it.
	Place
	// Packet carries another packet of a flow.
	Packet
	// Search asks an agent whether it owns a flow whose owner the sender does
	// not know, and carries the packet.
	Search
	// Probe carries a packet to an agent that may own the flow. The agent gives
	// the packet to its target, which returns it unless it holds the flow.
	Probe
	// Owner reports that the sender owns a flow.
	Owner
	// NotOwner answers a Search or a Probe: the sender does not own the flow.
	NotOwner
	// MaybeOwner answers a Search: the sender has restarted, and its target may
	// hold the flow. In answer to a Survey it says that the sender cannot
	// answer for its data centre.
	MaybeOwner
	// Waiting reports that a new flow waits for a slot at the sender's target.
	Waiting
	// Heartbeat reports the sender's load and the progress of its view.
	Heartbeat
	// Refused reports that the sender has refused a new flow to its caller, or
	// has dropped it because another target may have accepted a copy of its
	// opening packet.
	Refused
	// Survey asks an agent to search its data centre for the owner of a flow,
	// and carries the packet.
	Survey
	// SurveyResult answers a Survey: no agent of the data centre owns the flow,
	// except perhaps the agents that it lists. Those have restarted or did not
	// answer.
	SurveyResult
	// Redirect carries a packet of an open flow to the home of the flow in
	// another service of its address, because no target of the services in
	// DeniedServices holds the flow.
	Redirect
	// HeldQuery asks an agent which flows its target holds. Only agents that sent
	// FlagFresh or were not heard lately are asked, and earlier releases drop it.
	HeldQuery
	// HeldList answers a HeldQuery. If it is complete, the sender's target holds
	// no flows but those that it lists.
	HeldList
)

var kindNames = [...]string{Open: "open", Place: "place", Packet: "packet", Search: "search", Probe: "probe",
	Owner: "owner", NotOwner: "not_owner", MaybeOwner: "maybe_owner", Waiting: "waiting", Heartbeat: "beat", Refused: "refused",
	Survey: "survey", SurveyResult: "surveyed", Redirect: "redirect", HeldQuery: "held_query", HeldList: "held_list"}

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	if int(k) < len(kindNames) && kindNames[k] != "" {
		return kindNames[k]
	}
	return "unknown"
}

// Flags of Load.Flags.
const (
	// FlagAgent says that the sender is an agent.
	FlagAgent = 1 << iota
	// FlagLeaving says that the sender's process is stopping.
	FlagLeaving
	// FlagSilent says that the target does not answer.
	FlagSilent
	// FlagDraining says that the target takes no new flows.
	FlagDraining
	// FlagFresh says that the target has started with the sender or later, so
	// that the sender knows every flow that the target holds. It applies to the
	// run of the sender that sends it.
	FlagFresh
	// FlagReplyRequested asks for a Heartbeat in return.
	FlagReplyRequested
	// FlagFailing says that the target accepts flows and fails them.
	FlagFailing
	// FlagSlotFree in a Heartbeat offers a free slot of the sender's target to the
	// receiver alone.
	FlagSlotFree
)

// Load describes the sender of a datagram and, if it is an agent, the load of
// its target.
type Load struct {
	Flags uint8
	// Busy is the number of requests that are in progress, queued at the agent,
	// or about to arrive.
	Busy uint16
	// Expected is the average load of the open flows, in hundredths of a slot.
	Expected uint16
	// Slots is the number of requests that the target runs at a time.
	Slots uint16
	// ServiceTime is the mean time of a request that does not wait for a slot, if
	// all routes have equal shares, in units of 100 microseconds. It is 0 if it is
	// not known.
	ServiceTime uint16
}

// Message is a decoded datagram. Fields that its kind does not use are zero.
type Message struct {
	Kind Kind
	// Hops counts the agents that have forwarded the packet.
	Hops uint8
	// Service is the ServiceTag of the service that the packet is for.
	Service uint64
	// Origin is the balancer that received the packet from the caller.
	Origin netip.Addr
	// Home is the agent that placed the flow, or the zero Addr.
	Home netip.Addr
	// RefusedBy is an agent that could not take the flow, or the zero Addr.
	RefusedBy netip.Addr
	// Offered says in an Open or a Place that a target may have got the opening
	// packet before, so that the flow must not be refused. Earlier releases neither
	// set nor read it.
	Offered bool
	// Flow is the key of the flow that an answer is about.
	Flow flow.Key
	// Load is the sender's load.
	Load Load
	// Progress is the progress of the sender's view. Age is how long ago the
	// sender knew that there was no later change.
	Progress fleet.Progress
	Age      time.Duration
	// Probes is the number of recent probes of the flow that the sender knows of:
	// those of its own target, or in a SurveyResult those of the targets in its
	// data centre.
	Probes uint8
	// Roster is the sender's digest of the agents that a Survey covers.
	Roster uint64
	// MaybeOwners and Unanswered are the agents that a SurveyResult lists:
	// those that have restarted, and those that did not answer.
	MaybeOwners, Unanswered []netip.Addr
	// DeniedServices has the ServiceTags of the services none of whose targets
	// holds the flow of a Redirect, at most MaxDeniedServices.
	DeniedServices []uint64
	// Round identifies a HeldQuery. The HeldList has the same.
	Round uint32
	// HeldComplete says that the target holds no flows but those whose HeldTag is
	// in Held, which has at most MaxHeld.
	HeldComplete bool
	Held         []uint32
	// Unlisted are the agents of the service that the sender of a HeldList hears and
	// that its view does not name, at most MaxUnlisted.
	Unlisted []netip.Addr
	// Body is the caller's packet.
	Body []byte
}

// MaxHeld is the greatest length of the list in a HeldList. The datagram then fits
// into 1,200 bytes.
const MaxHeld = 280

// MaxUnlisted is the greatest number of agents in a HeldList.
const MaxUnlisted = 8

// HeldTag returns the number that stands for a flow in a HeldList.
func HeldTag(k flow.Key) uint32 { return uint32(k.Hash() >> 32) }

// MaxListedAgents is the greatest length of a list in a SurveyResult.
const MaxListedAgents = 100

// MaxDeniedServices is the greatest length of the list in a Redirect.
const MaxDeniedServices = 8

// maxAge is the greatest Age that a datagram can carry. Append caps a greater
// one.
const maxAge = 0xFFFF * time.Millisecond

// ErrMalformed is returned for a datagram that is not in the format of this
// package.
var ErrMalformed = errors.New("relay: malformed datagram")

// ServiceTag returns the hash of a service name that identifies the service in
// datagrams.
func ServiceTag(service string) uint64 { return xxhash.Sum64String(service) }
