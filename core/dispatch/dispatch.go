// Package dispatch decides at a balancer where a caller's packet goes: an
// opening packet to the home of its flow, another packet to the owner of the
// flow, or to the home if the owner is not known. It has no I/O and no clock.
//
// Invariants:
//   - A packet that is reset here has reached no target.
//   - The table of owners is bounded; a lost entry costs one detour.
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

// Times and bounds.
const (
	// homeTimeout and maxHomeTimeout bound how long the owner of a new flow may
	// take to report before the opening packet goes to the next home.
	homeTimeout    = 60 * time.Millisecond
	maxHomeTimeout = 190 * time.Millisecond
	// suspectFor is how long a home that did not report is avoided.
	suspectFor = time.Second
	// entryIdle is how long an entry of an idle flow is kept.
	entryIdle = 30 * time.Second
	// maxEntries bounds the table of owners.
	maxEntries = 200_000
	// sweepEvery is the time between sweeps of the table.
	sweepEvery = 2 * time.Second
	// waitingFor is how long a flow that waits for a slot is remembered after
	// the last word of it.
	waitingFor = 1500 * time.Millisecond
	// earlyFor and maxEarly bound the packets that wait for the first view.
	earlyFor = 400 * time.Millisecond
	maxEarly = 2000
	// freshView is the age up to which the absence of a route is certain.
	freshView = 3 * time.Second
)

type owner struct {
	agent netip.Addr
	seen  time.Duration
}

// opening is an opening packet whose owner has not reported yet.
type opening struct {
	raw     []byte
	service string
	// began is when the packet came, sent when it was last sent to a home.
	began time.Duration
	sent  time.Duration
	homes []netip.Addr
	next  int
	// waiting says that the flow waits for a slot, so that no home is at
	// fault.
	waiting bool
}

// early is a packet that came before the view that it needs.
type early struct {
	raw  []byte
	came time.Duration
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
	// reports estimates how long owners take to report.
	reports *rto.Estimator
	early   []early
	swept   time.Duration
	scratch []netip.Addr
}

// New returns a Machine that decides by a view.
func New(self netip.Addr, dataCentre string, codec flow.Codec, view *fleet.View) *Machine {
	return &Machine{
		self: self, dataCentre: dataCentre, codec: codec, view: view,
		owners: map[flow.Key]*owner{}, openings: map[flow.Key]*opening{}, suspects: map[netip.Addr]time.Duration{},
		reports: rto.New(homeTimeout, maxHomeTimeout),
	}
}

// Flows returns the number of flows in the table.
func (m *Machine) Flows() int { return len(m.owners) }

// Waiting reports whether Tick has short timeouts to watch.
func (m *Machine) Waiting() bool { return len(m.openings) > 0 }

// FromCaller takes a packet of a caller.
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
	m.take(now, &p, out)
}

// hold keeps a packet that nobody can take yet: there is no view, or the targets
// of the service are not listed again after an outage of the platform.
func (m *Machine) hold(now time.Duration, raw []byte) {
	m.early = slices.DeleteFunc(m.early, func(e early) bool { return now-e.came > earlyFor })
	if len(m.early) < maxEarly {
		m.early = append(m.early, early{slices.Clone(raw), now})
	}
}

// ViewChanged takes the packets that waited for the view.
func (m *Machine) ViewChanged(now time.Duration, out *plane.Out) {
	if !m.view.Usable() || len(m.early) == 0 {
		return
	}
	waited := m.early
	m.early = nil
	for _, e := range waited {
		p, err := m.codec.FromCaller(e.raw)
		if err != nil || now-e.came > earlyFor {
			continue
		}
		held := len(m.early)
		m.take(now, &p, out)
		if len(m.early) > held {
			// It waits on, from its arrival.
			m.early[held].came = e.came
		}
	}
}

func (m *Machine) take(now time.Duration, p *flow.Packet, out *plane.Out) {
	if p.Open {
		m.open(now, p, out)
		return
	}
	if e := m.owners[p.Key]; e != nil {
		e.seen = now
		m.forward(e.agent, m.serviceOf(p), p, out)
		return
	}
	m.forwardUnknown(now, p, out)
}

// serviceOf returns the service of a packet's route, also of a removed one.
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

func (m *Machine) forward(to netip.Addr, service string, p *flow.Packet, out *plane.Out) {
	out.Send(to, relay.Message{Kind: relay.Packet, Service: relay.ServiceTag(service), Origin: m.self, Body: p.Raw})
}

// forwardUnknown sends a packet of a flow whose owner is not known to the home
// of the flow.
func (m *Machine) forwardUnknown(now time.Duration, p *flow.Packet, out *plane.Out) {
	service := m.serviceOf(p)
	if service == "" {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_route"})
		return
	}
	homes := m.homes(now, service, p.Key, m.view.RemovedTargets(service))
	if len(homes) == 0 {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "no_target"})
		return
	}
	out.Send(homes[0], relay.Message{Kind: relay.Packet, Service: relay.ServiceTag(service), Origin: m.self, Home: homes[0], Body: p.Raw})
}

// homes returns the homes of a flow in order, suspects last. If no target is
// listed, others take their place.
func (m *Machine) homes(now time.Duration, service string, key flow.Key, others []*fleet.Target) []netip.Addr {
	hash := key.Hash()
	m.scratch = m.scratch[:0]
	for _, targets := range [][]*fleet.Target{m.ready(service), m.view.Targets(service), others} {
		if m.scratch = fleet.Homes(m.scratch, targets, hash, m.dataCentre); len(m.scratch) > 0 {
			break
		}
	}
	slices.SortStableFunc(m.scratch, func(a, b netip.Addr) int { return m.suspect(now, a) - m.suspect(now, b) })
	return m.scratch
}

func (m *Machine) ready(service string) []*fleet.Target {
	var ready []*fleet.Target
	for _, t := range m.view.Targets(service) {
		if t.State == fleet.Ready {
			ready = append(ready, t)
		}
	}
	return ready
}

func (m *Machine) suspect(now time.Duration, agent netip.Addr) int {
	if until, ok := m.suspects[agent]; ok && now < until {
		return 1
	}
	return 0
}

// Peers returns the homes that are avoided, for operators.
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

// FromPeer takes a datagram of another process.
func (m *Machine) FromPeer(now time.Duration, from netip.Addr, msg *relay.Message, out *plane.Out) {
	switch msg.Kind {
	case relay.Owner:
		if o := m.openings[msg.Flow]; o != nil {
			out.Latencies = append(out.Latencies, plane.Latency{Kind: plane.LatencyOwnerReport, Service: o.service, Took: now - o.began})
		}
		m.owned(now, from, msg)
	case relay.Waiting:
		if o := m.openings[msg.Flow]; o != nil {
			o.waiting, o.sent = true, now
			delete(m.suspects, o.homes[(o.next-1)%len(o.homes)])
		}
	case relay.Refused:
		if o := m.openings[msg.Flow]; o != nil {
			delete(m.suspects, o.homes[(o.next-1)%len(o.homes)])
			delete(m.openings, msg.Flow)
		}
	}
}

func (m *Machine) owned(now time.Duration, from netip.Addr, msg *relay.Message) {
	if o := m.openings[msg.Flow]; o != nil {
		if !o.waiting {
			m.reports.Observe(now - o.sent)
		}
		// The home that was asked last is the one that works.
		delete(m.suspects, o.homes[(o.next-1)%len(o.homes)])
		delete(m.openings, msg.Flow)
	}
	e := m.owners[msg.Flow]
	if e == nil {
		if len(m.owners) >= maxEntries {
			return
		}
		e = &owner{}
		m.owners[msg.Flow] = e
	}
	e.agent, e.seen = from, now
}

// Tick passes time.
func (m *Machine) Tick(now time.Duration, out *plane.Out) {
	m.checkOpenings(now, out)
	if now-m.swept >= sweepEvery {
		m.sweep(now)
	}
}

func (m *Machine) sweep(now time.Duration) {
	m.swept = now
	for key, e := range m.owners {
		if now-e.seen > entryIdle {
			delete(m.owners, key)
		}
	}
	for agent, until := range m.suspects {
		if now >= until {
			delete(m.suspects, agent)
		}
	}
}
