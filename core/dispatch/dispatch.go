// Package dispatch decides at a balancer where a caller's packet is forwarded.
// An opening packet, which asks for a new flow, goes to the home of the flow.
// Any other packet goes to the owner of the flow, or to the home if the owner is
// not known. The package has no I/O and no clock: the current time is a
// parameter.
//
// Terms:
//   - The homes of a flow are the agents of its service in the order in which
//     they are preferred for the flow. The home is the first of them that is
//     not suspected.
//   - The owner of a flow is the agent whose target holds the flow. It reports
//     itself to the balancer.
//   - A suspect is a home that got an opening packet for which no owner
//     reported in time.
//   - A held packet is one that the balancer keeps for a short time, because the
//     view or the targets that it needs are missing.
//
// Invariants:
//   - An opening packet that the balancer refuses has reached no target.
//   - The table of owners is bounded. Without an entry, a packet takes the
//     longer path through the home.
package dispatch

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
	"trefoilweir.example/core/rto"
)

// Timeouts and bounds.
const (
	// minHomeTimeout and maxHomeTimeout bound the time in which the owner of a
	// new flow must report before the opening packet goes to the next home.
	minHomeTimeout = 60 * time.Millisecond
	maxHomeTimeout = 190 * time.Millisecond
	// suspectDuration is how long a home that did not report is avoided.
	suspectDuration = time.Second
	// ownerIdleTimeout is how long the owner of an idle flow is kept.
	ownerIdleTimeout = 30 * time.Second
	// maxOwners bounds the table of owners.
	maxOwners = 200_000
	// sweepInterval is the time between sweeps of the table.
	sweepInterval = 2 * time.Second
	// waitingTimeout is how long the opening of a flow that is queued at an agent
	// is kept after the last datagram about it.
	waitingTimeout = 1500 * time.Millisecond
	// holdTimeout and maxHeldPackets bound the packets that wait for the first
	// view, or for targets to be listed again.
	holdTimeout    = 400 * time.Millisecond
	maxHeldPackets = 2000
	// maxFreshAge is the age of the view up to which a missing route counts as
	// certain.
	maxFreshAge = 3 * time.Second
)

type owner struct {
	agent netip.Addr
	// service is the tag of the owner's service, as the owner reported it. It
	// may differ from the one that the route has now.
	service  uint64
	lastSeen time.Duration
}

// opening is an opening packet of a flow whose owner has not reported yet.
type opening struct {
	raw     []byte
	service string
	// receivedAt is when the packet arrived, sentAt when it was last sent to a
	// home.
	receivedAt time.Duration
	sentAt     time.Duration
	homes      []netip.Addr
	nextHome   int
	// failedHome is the home that did not report in time, or the zero Addr. It may
	// have given the flow to a target.
	failedHome netip.Addr
	// waiting says that the flow is queued at an agent, so no home is suspected.
	waiting bool
}

// heldPacket is a packet that arrived before the view or the targets that it
// needs.
type heldPacket struct {
	raw        []byte
	receivedAt time.Duration
}

// Machine is the state of one balancer. It is not safe for concurrent use.
type Machine struct {
	self       netip.Addr
	dataCentre string
	codec      flow.Codec
	view       *fleet.View

	owners   map[flow.Key]*owner
	openings map[flow.Key]*opening
	suspects map[netip.Addr]time.Duration
	// reportTimes estimates how long owners take to report a new flow.
	reportTimes *rto.Estimator
	held        []heldPacket
	lastSweep   time.Duration
	homesBuffer []netip.Addr
}

// New returns a Machine that makes its decisions by the view.
func New(self netip.Addr, dataCentre string, codec flow.Codec, view *fleet.View) *Machine {
	return &Machine{
		self: self, dataCentre: dataCentre, codec: codec, view: view,
		owners: map[flow.Key]*owner{}, openings: map[flow.Key]*opening{}, suspects: map[netip.Addr]time.Duration{},
		reportTimes: rto.New(minHomeTimeout, maxHomeTimeout),
	}
}

// Flows returns the number of flows in the table of owners.
func (m *Machine) Flows() int { return len(m.owners) }

// HasTimeouts reports whether there are short timeouts that Tick must check,
// because opening packets wait for a report.
func (m *Machine) HasTimeouts() bool { return len(m.openings) > 0 }

// FromCaller handles a packet of a caller.
func (m *Machine) FromCaller(now time.Duration, raw []byte, out *plane.Out) {
	p, err := m.codec.FromCaller(raw)
	if err != nil {
		out.Event(plane.Event{Kind: plane.EventDropped, Reason: "malformed"})
		return
	}
	if !m.view.Usable() {
		m.hold(now, raw)
		return
	}
	m.handle(now, &p, out)
}

// hold keeps a packet that cannot be forwarded yet: there is no view, or the
// targets of the service are not yet listed again after an outage of the
// platform.
func (m *Machine) hold(now time.Duration, raw []byte) {
	m.held = slices.DeleteFunc(m.held, func(e heldPacket) bool { return now-e.receivedAt > holdTimeout })
	if len(m.held) < maxHeldPackets {
		m.held = append(m.held, heldPacket{slices.Clone(raw), now})
	}
}

// ViewChanged handles the held packets after a change of the view.
func (m *Machine) ViewChanged(now time.Duration, out *plane.Out) {
	if !m.view.Usable() || len(m.held) == 0 {
		return
	}
	pending := m.held
	m.held = nil
	for _, e := range pending {
		p, err := m.codec.FromCaller(e.raw)
		if err != nil || now-e.receivedAt > holdTimeout {
			continue
		}
		n := len(m.held)
		m.handle(now, &p, out)
		if len(m.held) > n {
			// The packet is held again. Its time of arrival stays.
			m.held[n].receivedAt = e.receivedAt
		}
	}
}

func (m *Machine) handle(now time.Duration, p *flow.Packet, out *plane.Out) {
	if p.Open {
		m.handleOpening(now, p, out)
		return
	}
	if e := m.owners[p.Key]; e != nil {
		e.lastSeen = now
		out.Send(e.agent, relay.Message{Kind: relay.Packet, Service: e.service, Origin: m.self, Body: p.Raw})
		return
	}
	m.forwardUnknown(now, p, out)
}

// serviceOf returns the service of a packet's route, including a retired route,
// or "" if there is none.
func (m *Machine) serviceOf(p *flow.Packet) string {
	r, ok := m.view.Route(p.Key.Service())
	if !ok {
		r, ok = m.view.RetiredRoute(p.Key.Service())
	}
	if !ok {
		return ""
	}
	return r.ServiceOf(p.Key.Hash())
}

// forwardUnknown forwards a packet to the home of its flow because the owner of
// the flow is not known. If the service of the route has no targets, it uses
// another service to which the address led. The agents find the service that
// holds the flow.
func (m *Machine) forwardUnknown(now time.Duration, p *flow.Packet, out *plane.Out) {
	service := m.serviceOf(p)
	if service == "" {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_route"})
		return
	}
	for _, candidate := range append([]string{service}, m.view.ServicesOf(p.Key.Service())...) {
		if homes := m.homes(now, candidate, p.Key, m.view.RemovedTargets(candidate)); len(homes) > 0 {
			out.Send(homes[0], relay.Message{Kind: relay.Packet, Service: relay.ServiceTag(candidate), Origin: m.self, Home: homes[0], Body: p.Raw})
			return
		}
	}
	out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_target"})
}

// homes returns the homes of an open flow in order, suspects last. It uses the
// ready targets, or all listed targets if none is ready, or fallback if none is
// listed.
func (m *Machine) homes(now time.Duration, service string, key flow.Key, fallback []*fleet.Target) []netip.Addr {
	return m.firstHomes(now, key, m.view.ReadyTargets(service), m.view.Targets(service), fallback)
}

// firstHomes returns the agents of the first non-empty list of targets, in the
// order in which they are homes of a flow, suspects last.
func (m *Machine) firstHomes(now time.Duration, key flow.Key, lists ...[]*fleet.Target) []netip.Addr {
	hash := key.Hash()
	m.homesBuffer = m.homesBuffer[:0]
	for _, targets := range lists {
		if m.homesBuffer = fleet.Homes(m.homesBuffer, targets, hash, m.dataCentre); len(m.homesBuffer) > 0 {
			break
		}
	}
	slices.SortStableFunc(m.homesBuffer, func(a, b netip.Addr) int { return m.suspectRank(now, a) - m.suspectRank(now, b) })
	return m.homesBuffer
}

func (m *Machine) suspectRank(now time.Duration, agent netip.Addr) int {
	if until, ok := m.suspects[agent]; ok && now < until {
		return 1
	}
	return 0
}

// Peers returns the suspects, for operators.
func (m *Machine) Peers(now time.Duration) []plane.Peer {
	peers := make([]plane.Peer, 0, len(m.suspects))
	for a, until := range m.suspects {
		if now < until {
			peers = append(peers, plane.Peer{Address: a, SinceHeard: -1, Reason: "suspected"})
		}
	}
	slices.SortFunc(peers, func(a, b plane.Peer) int { return a.Address.Compare(b.Address) })
	return peers
}

// FromPeer handles a datagram of another process.
func (m *Machine) FromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch msg.Kind {
	case relay.Owner:
		if o := m.openings[msg.Flow]; o != nil {
			out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyOwnerReport, Service: o.service, Took: now - o.receivedAt})
		}
		m.recordOwner(now, from, msg)
	case relay.Waiting:
		if o := m.openings[msg.Flow]; o != nil {
			o.waiting, o.sentAt = true, now
			delete(m.suspects, o.homes[(o.nextHome-1)%len(o.homes)])
		}
	case relay.Refused:
		if o := m.openings[msg.Flow]; o != nil {
			delete(m.suspects, o.homes[(o.nextHome-1)%len(o.homes)])
			delete(m.openings, msg.Flow)
		}
	}
}

func (m *Machine) recordOwner(now time.Duration, from netip.Addr, msg *relay.Message) {
	if o := m.openings[msg.Flow]; o != nil {
		if !o.waiting {
			m.reportTimes.Observe(now - o.sentAt)
		}
		// The home that got the packet last is alive.
		delete(m.suspects, o.homes[(o.nextHome-1)%len(o.homes)])
		delete(m.openings, msg.Flow)
	}
	e := m.owners[msg.Flow]
	if e == nil {
		if len(m.owners) >= maxOwners {
			return
		}
		e = &owner{}
		m.owners[msg.Flow] = e
	}
	e.agent, e.service, e.lastSeen = from, msg.Service, now
}

// Tick handles the timeouts that are due at the time now. It must be called at
// regular intervals.
func (m *Machine) Tick(now time.Duration, out *plane.Out) {
	m.checkOpenings(now, out)
	if now-m.lastSweep >= sweepInterval {
		m.sweep(now)
	}
}

func (m *Machine) sweep(now time.Duration) {
	m.lastSweep = now
	for key, e := range m.owners {
		if now-e.lastSeen > ownerIdleTimeout {
			delete(m.owners, key)
		}
	}
	for agent, until := range m.suspects {
		if now >= until {
			delete(m.suspects, agent)
		}
	}
}
