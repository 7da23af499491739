// Package relay encodes the datagrams that the processes of the packet plane
// exchange. Integers are big-endian, except those of a view's progress, which are
// varints. The kind of a datagram determines its
// header. In some kinds a packet of a caller follows the header.
package relay

import (
	"encoding/binary"
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

// Sizes of the headers, in bytes.
const (
	commonSize = 4 + 8
	packetSize = commonSize + 3*addrSize
	answerSize = commonSize + flow.KeySize + loadSize + 4
	loadSize   = 1 + 2*4
	addrSize   = 4
	rosterSize = 8
	tagSize    = 8
	ageSize    = 2
	roundSize  = 4
	heldSize   = 4
)

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

// Append appends the encoded message to b.
func (m *Message) Append(b []byte) []byte {
	count := m.Probes
	if m.Kind == Open || m.Kind == Place {
		count = 0
		if m.Offered {
			count = 1
		}
	}
	b = append(b, Version, byte(m.Kind), m.Hops, count)
	b = binary.BigEndian.AppendUint64(b, m.Service)
	switch m.Kind {
	case Open, Place, Packet, Search, Probe:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		return append(b, m.Body...)
	case Survey:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		b = appendProgress(b, m.Progress)
		return append(binary.BigEndian.AppendUint64(b, m.Roster), m.Body...)
	case Redirect:
		b = appendAddr(appendAddr(appendAddr(b, m.Origin), m.Home), m.RefusedBy)
		return append(appendTags(b, m.DeniedServices), m.Body...)
	case Owner, NotOwner, MaybeOwner, Waiting, Refused:
		b = m.Load.append(m.Flow.Append(b))
		return appendAddr(b, m.Origin)
	case SurveyResult:
		b = m.Load.append(m.Flow.Append(b))
		b = appendAddr(b, m.Origin)
		return appendAddrs(appendAddrs(b, m.MaybeOwners), m.Unanswered)
	case HeldQuery:
		return binary.BigEndian.AppendUint32(b, m.Round)
	case HeldList:
		b = m.Load.append(binary.BigEndian.AppendUint32(b, m.Round))
		if !m.HeldComplete {
			return append(b, 0)
		}
		b = appendAddrs(append(b, 1), m.Unlisted[:min(len(m.Unlisted), MaxUnlisted)])
		for _, tag := range m.Held[:min(len(m.Held), MaxHeld)] {
			b = binary.BigEndian.AppendUint32(b, tag)
		}
		return b
	case Heartbeat:
		b = m.Load.append(b)
		b = appendProgress(b, m.Progress)
		return binary.BigEndian.AppendUint16(b, uint16(min(m.Age, maxAge)/time.Millisecond))
	}
	return b
}

func (l Load) append(b []byte) []byte {
	b = append(b, l.Flags)
	for _, v := range [...]uint16{l.Busy, l.Expected, l.Slots, l.ServiceTime} {
		b = binary.BigEndian.AppendUint16(b, v)
	}
	return b
}

// Decode decodes a datagram. The Body of the message refers to b.
func Decode(b []byte) (m Message, err error) {
	if len(b) < commonSize || b[0] != Version {
		return m, ErrMalformed
	}
	m.Kind, m.Hops, m.Probes, m.Service = Kind(b[1]), b[2], b[3], binary.BigEndian.Uint64(b[4:])
	if m.Kind == Open || m.Kind == Place {
		m.Offered, m.Probes = m.Probes != 0, 0
	}
	rest := b[commonSize:]
	switch m.Kind {
	case Open, Place, Packet, Search, Probe:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy, m.Body = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:]), rest[12:]
	case Survey:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:])
		var ok bool
		if m.Progress, rest, ok = parseProgress(rest[3*addrSize:]); !ok || len(rest) <= rosterSize {
			return m, ErrMalformed
		}
		m.Roster, m.Body = binary.BigEndian.Uint64(rest), rest[rosterSize:]
	case Redirect:
		if len(b) <= packetSize {
			return m, ErrMalformed
		}
		m.Origin, m.Home, m.RefusedBy = parseAddr(rest), parseAddr(rest[4:]), parseAddr(rest[8:])
		var ok bool
		if m.DeniedServices, m.Body, ok = parseTags(rest[3*addrSize:]); !ok || len(m.Body) == 0 {
			return m, ErrMalformed
		}
	case Owner, NotOwner, MaybeOwner, Waiting, Refused:
		if len(b) != answerSize {
			return m, ErrMalformed
		}
		m.parseAnswer(rest)
	case SurveyResult:
		if len(b) < answerSize {
			return m, ErrMalformed
		}
		m.parseAnswer(rest)
		var ok, end bool
		rest = b[answerSize:]
		if m.MaybeOwners, rest, ok = parseAddrs(rest); ok {
			m.Unanswered, rest, end = parseAddrs(rest)
		}
		if !end || len(rest) > 0 {
			return m, ErrMalformed
		}
	case HeldQuery:
		if len(rest) != roundSize {
			return m, ErrMalformed
		}
		m.Round = binary.BigEndian.Uint32(rest)
	case HeldList:
		if !m.parseHeldList(rest) {
			return m, ErrMalformed
		}
	case Heartbeat:
		if len(rest) < loadSize {
			return m, ErrMalformed
		}
		m.Load = parseLoad(rest)
		var ok bool
		if m.Progress, rest, ok = parseProgress(rest[loadSize:]); !ok || len(rest) != ageSize {
			return m, ErrMalformed
		}
		m.Age = time.Duration(binary.BigEndian.Uint16(rest)) * time.Millisecond
	default:
		return m, ErrMalformed
	}
	return m, nil
}

func (m *Message) parseAnswer(b []byte) {
	m.Flow, _ = flow.ParseKey(b)
	m.Load = parseLoad(b[flow.KeySize:])
	m.Origin = parseAddr(b[flow.KeySize+loadSize:])
}

func (m *Message) parseHeldList(b []byte) (ok bool) {
	const start = roundSize + loadSize + 1
	if len(b) < start || b[start-1] > 1 {
		return false
	}
	m.Round, m.Load, m.HeldComplete = binary.BigEndian.Uint32(b), parseLoad(b[roundSize:]), b[start-1] == 1
	rest := b[start:]
	if !m.HeldComplete {
		return len(rest) == 0
	}
	if m.Unlisted, rest, ok = parseAddrs(rest); !ok || len(m.Unlisted) > MaxUnlisted || len(rest)%heldSize != 0 || len(rest) > MaxHeld*heldSize {
		return false
	}
	for ; len(rest) > 0; rest = rest[heldSize:] {
		m.Held = append(m.Held, binary.BigEndian.Uint32(rest))
	}
	return true
}

func parseLoad(b []byte) Load {
	return Load{
		Flags: b[0], Busy: binary.BigEndian.Uint16(b[1:]), Expected: binary.BigEndian.Uint16(b[3:]),
		Slots: binary.BigEndian.Uint16(b[5:]), ServiceTime: binary.BigEndian.Uint16(b[7:]),
	}
}
