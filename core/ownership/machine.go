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
	// ownerTimeout and maxOwnerTimeout bound how long the agent of a chosen
	// target may take to report before another target is chosen.
	ownerTimeout    = 40 * time.Millisecond
	maxOwnerTimeout = 180 * time.Millisecond
	// suspectFor is how long an agent that did not report is avoided.
	suspectFor = time.Second
	// beatTimeout is the silence after which a peer is avoided.
	beatTimeout = 700 * time.Millisecond
	// retryTarget is how often a silent target gets a new flow as a probe.
	retryTarget = 200 * time.Millisecond
	// maxHops bounds how often a packet is passed on between agents.
	maxHops = 4
	// flowIdle is how long an idle flow or record is kept if the
	// configuration names no time.
	flowIdle = 30 * time.Second
	// closedIdle is how long a flow is kept that both ends have closed.
	closedIdle = 4 * time.Second
	// halfOpenFor is how long an accepted flow counts as a coming request. Its
	// caller answers within a round trip, unless it has given up.
	halfOpenFor = 40 * time.Millisecond
	// maxFlows bounds the flows and the records, each.
	maxFlows = 50_000
	// searchTimeout is how long the answers to a search may take.
	searchTimeout = 20 * time.Millisecond
	// searchKeep is how long the result of a search is remembered.
	searchKeep = 2 * time.Second
	// probeBudget and probeWindow bound the packets of a flow that reach
	// targets which may not hold it.
	probeBudget = 2
	probeWindow = 2500 * time.Millisecond
	// unsureFor is how long a restarted agent allows that its target holds
	// flows that it does not know.
	unsureFor = 60 * time.Second
	// sweepEvery is the time between sweeps of the tables.
	sweepEvery = time.Second
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
	Codec      flow.Codec
	View       *fleet.View
}

// Machine is the state of one agent. It is not safe for concurrent use.
type Machine struct {
	Options
	tag uint64

	flows   map[flow.Key]*owned
	records map[flow.Key]*record
	placing map[flow.Key]*placement
	search  map[flow.Key]*search
	queue   *waitqueue.Queue[flow.Key, waiting]
	peers   map[netip.Addr]*peer

	// reports estimates how long agents take to report.
	reports  *rto.Estimator
	stats    *stats
	outcomes outcomes
	leaving  bool
	// silent says that the target does not answer; retryAt is when it gets the
	// next new flow as a probe.
	silent      bool
	retryAt     time.Duration
	unsureUntil time.Duration
	swept       time.Duration
	born        int64
}

// owned is a flow that the target holds, or is about to.
type owned struct {
	phase phase
	// accepted says that the target has accepted the flow, opened that the
	// caller has taken the target's answer.
	accepted, opened bool
	// base is the target's first sequence number, top the highest that it has
	// sent, callerTop the highest of the caller. known says that base is.
	known                bool
	base, top, callerTop uint32
	callerKnown          bool
	// since is when the phase began. alone says that the request in progress
	// did not wait for a slot.
	since        time.Duration
	alone        bool
	callerClosed bool
	targetClosed bool
	created      time.Duration
	seen         time.Duration
	origin, home netip.Addr
	// syn is the sequence number of the opening packet, if it is known.
	syn      uint32
	synKnown bool
	// raw is the opening packet, until the flow is accepted or handed over.
	raw     []byte
	hops    uint8
	refused netip.Addr
}

// record is what a home knows of a flow.
type record struct {
	owner netip.Addr
	// confirmed says that the owner has reported, waiting that the flow waits
	// for a slot there.
	confirmed, waiting bool
	seq                uint32
	seen               time.Duration
}

// peer is another agent of the service.
type peer struct {
	load      relay.Load
	heard     time.Duration
	everHeard bool
	suspect   time.Duration
	// placing counts flows that were placed there and are not reported yet.
	placing int
}

// New returns a Machine.
func New(now time.Duration, o Options) *Machine {
	m := &Machine{
		Options: o, tag: relay.ServiceTag(o.Service),
		flows: map[flow.Key]*owned{}, records: map[flow.Key]*record{}, placing: map[flow.Key]*placement{},
		search: map[flow.Key]*search{}, peers: map[netip.Addr]*peer{}, queue: waitqueue.New[flow.Key, waiting](maxWaiting), reports: rto.New(ownerTimeout, maxOwnerTimeout), stats: newStats(now),
	}
	if !o.FirstStart {
		m.unsureUntil = now + unsureFor
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
	return len(m.placing) > 0 || len(m.search) > 0 || m.queue.Len() > 0 || m.offering()
}

func (m *Machine) offering() bool { return m.stats.count[phaseOffered] > 0 }

// Leave makes the agent refuse new flows. Open flows go on.
func (m *Machine) Leave() { m.leaving = true }

// Idle reports whether no request is in progress at the target.
func (m *Machine) Idle() bool { return m.stats.pending() == 0 }

type addr = netip.Addr

// FromPeer takes a datagram of another process.
func (m *Machine) FromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	m.fromPeer(now, from, msg, out)
	m.admit(now, out)
}

func (m *Machine) fromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch msg.Kind {
	case relay.Beat:
		m.heard(now, from, msg)
		return
	case relay.Owner, relay.NotOwner, relay.MaybeOwner, relay.Waiting:
		m.answered(now, from, msg, out)
		return
	}
	if msg.Service != m.tag {
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
		m.opening(now, &p, msg, out)
	case relay.Place:
		m.offer(now, &p, msg, out)
	case relay.Packet:
		m.packet(now, &p, msg, out)
	case relay.Search:
		m.searched(now, from, &p, msg, out)
	case relay.Probe:
		m.probed(now, from, &p, msg, out)
	}
}

// heard notes the load of a peer.
func (m *Machine) heard(now time.Duration, from netip.Addr, msg *relay.Message) {
	if msg.Load.Flags&relay.FlagAgent == 0 || msg.Service != m.tag {
		return
	}
	p := m.peer(from)
	p.load, p.heard, p.everHeard = msg.Load, now, true
}

func (m *Machine) peer(a netip.Addr) *peer {
	p := m.peers[a]
	if p == nil {
		p = &peer{}
		m.peers[a] = p
	}
	return p
}

// packet takes a packet of a flow that is open already.
func (m *Machine) packet(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if f := m.flows[p.Key]; f != nil && f.takes(p) {
		m.deliver(now, f, p, out)
		if msg.Hops > 0 {
			m.report(f, msg.Origin, p.Key, out)
		}
		return
	}
	if r := m.records[p.Key]; r != nil && r.owner != m.Self && msg.Hops < maxHops {
		r.seen = now
		m.pass(r.owner, relay.Packet, p, msg, out)
		return
	}
	m.unknown(now, p, msg, out)
}

func (m *Machine) pass(to netip.Addr, kind relay.Kind, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	out.Send(to, relay.Message{Kind: kind, Hops: msg.Hops + 1, Service: m.tag, Origin: msg.Origin, Home: msg.Home, Refused: msg.Refused, Body: p.Raw})
}

// report tells a process that this agent owns a flow.
func (m *Machine) report(f *owned, to netip.Addr, key flow.Key, out *plane.Out) {
	if !to.IsValid() || to == m.Self {
		return
	}
	out.Send(to, relay.Message{Kind: relay.Owner, Service: m.tag, Flow: key, Load: m.Load(), Origin: f.origin})
}

// takes reports whether a caller's packet belongs to the flow that the target
// holds, and not to one of another target or of an earlier time that has the
// same addresses. A caller acknowledges what its own target has sent.
func (f *owned) takes(p *flow.Packet) bool {
	if !f.accepted {
		return false
	}
	if !f.known || p.Reset {
		return true
	}
	return p.Ack-f.base <= f.top-f.base+1
}

// deliver gives a packet of the flow to the target.
func (m *Machine) deliver(now time.Duration, f *owned, p *flow.Packet, out *plane.Out) {
	f.seen = now
	if !f.opened {
		f.opened = true
		f.raw = nil
	}
	end := p.Seq + uint32(p.Len)
	if p.Len > 0 && (!f.callerKnown || int32(end-f.callerTop) > 0) {
		f.callerTop, f.callerKnown = end, true
		m.beginRequest(now, f, p.Key)
	}
	f.callerClosed = f.callerClosed || p.Final || p.Reset
	f.targetClosed = f.targetClosed || p.Reset
	m.checkClosed(now, f, p.Key)
	out.ToTarget = append(out.ToTarget, m.Codec.Clean(p.Raw))
}

// FromTarget takes a packet of the target.
func (m *Machine) FromTarget(now time.Duration, raw []byte, out *plane.Out) {
	m.fromTarget(now, raw, out)
	m.admit(now, out)
}

func (m *Machine) fromTarget(now time.Duration, raw []byte, out *plane.Out) {
	p, err := m.Codec.FromTarget(raw)
	if err != nil {
		out.Event(plane.Event{Kind: plane.EventDropped, Reason: "malformed_from_target"})
		return
	}
	if p.Returned {
		m.returned(now, &p, out)
		return
	}
	m.answers(out)
	f := m.flows[p.Key]
	if f == nil {
		f = m.learn(now, p.Key)
		m.tellHeld(p.Key, f, out)
	}
	m.note(now, f, &p, out)
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: p.Raw})
}

// learn adds a flow that the target holds and the agent did not know, as after
// a restart of the agent.
func (m *Machine) learn(now time.Duration, key flow.Key) *owned {
	f := &owned{accepted: true, opened: true, created: now, seen: now}
	if len(m.flows) < maxFlows {
		m.flows[key] = f
		m.stats.enter(now, key, f, phaseIdle)
	}
	return f
}

// note keeps up with what the target sends.
func (m *Machine) note(now time.Duration, f *owned, p *flow.Packet, out *plane.Out) {
	f.seen = now
	end := p.Seq + uint32(p.Len)
	if p.Open {
		if !f.opened {
			m.accepted(now, f, p, out)
		}
		return
	}
	// The target sends on a flow only if it holds it.
	f.accepted = true
	switch {
	case !f.known:
		f.base, f.top, f.known = p.Seq-windowBefore, end, true
	case int32(end-f.top) > 0:
		f.top = end
	}
	switch {
	case p.Reset && f.phase == phaseBusy:
		m.failed(now, p.Key, out)
	case p.Len > 0 && f.phase == phaseBusy:
		m.answeredRequest(p.Key, out)
	}
	if p.Len > 0 || p.Reset {
		m.endRequest(now, f, p.Key, p.Len > 0, out)
	}
	if p.Final {
		f.top++
	}
	f.targetClosed = f.targetClosed || p.Final || p.Reset
	f.callerClosed = f.callerClosed || p.Reset
	m.checkClosed(now, f, p.Key)
}

// checkClosed ends the load of a flow that both ends have closed.
func (m *Machine) checkClosed(now time.Duration, f *owned, key flow.Key) {
	if f.callerClosed && f.targetClosed {
		m.stats.enter(now, key, f, phaseClosed)
	}
}

// windowBefore is how far the acknowledgements of a caller may be behind the
// first packet that a restarted agent sees of its target: the packets in
// flight.
const windowBefore = 16 * 1200

// returned takes a packet that the target did not take.
func (m *Machine) returned(now time.Duration, p *flow.Packet, out *plane.Out) {
	m.answers(out)
	f := m.flows[p.Key]
	out.Event(plane.Event{Kind: plane.EventReturned, Flow: p.Key, Number: p.Seq, Reason: map[bool]string{true: "opening", false: "not_held"}[p.Open]})
	if p.Open {
		m.targetRefused(now, f, p, out)
		return
	}
	if f != nil && f.accepted && f.takes(p) && f.known {
		// The target accepted the flow and does not hold it any more: it
		// restarted. No other target holds it.
		m.forget(now, p.Key, f)
		m.reset(p, "target_lost_flow", out)
		return
	}
	if f != nil && !f.known {
		m.forget(now, p.Key, f)
	}
	m.notHeld(now, p, out)
}

// reset aborts a flow that no target holds.
func (m *Machine) reset(p *flow.Packet, reason string, out *plane.Out) {
	seq := p.Ack
	if p.Open {
		seq = 0
	}
	out.ToCaller = append(out.ToCaller, plane.CallerPacket{IP: p.Key.CallerIP, Raw: m.Codec.Reset(p.Key, seq)})
	kind := plane.EventReset
	if p.Open {
		kind = plane.EventRefused
	}
	out.Event(plane.Event{Kind: kind, Flow: p.Key, Number: p.Seq, Reason: reason})
}

func (m *Machine) forget(now time.Duration, key flow.Key, f *owned) {
	m.stats.enter(now, key, f, phaseClosed)
	delete(m.flows, key)
}
