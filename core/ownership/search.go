package ownership

import (
	"net/netip"
	"slices"
	"time"

	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// search looks for the owner of a flow, first in the own data centre and then
// in the others.
type search struct {
	// began is when the last round or its second part began.
	began time.Duration
	// raw is the packet that is looked for, origin the balancer that took it.
	raw    []byte
	origin netip.Addr
	// repeats counts the rounds that the agent began by itself, surveys the
	// questions about a data centre, declined those of the round that the
	// asked agent could not answer. far says that the other data centres are
	// asked.
	repeats, surveys, declined int
	far                        bool
	// denied are the agents that do not own the flow, and deniedBy the rosters
	// of the data centres in which nobody does but, perhaps, those in doubt,
	// with their data centre. None of this changes later, so a further round
	// asks the others only.
	denied   map[netip.Addr]bool
	deniedBy map[string]uint64
	doubt    map[netip.Addr]string
	// asked are the agents that have not answered, with the data centre for
	// which they were asked, if for one. unsure are those whose target may hold
	// the flow, probing those that are asking their target.
	asked   map[netip.Addr]surveyedFor
	unsure  []netip.Addr
	probing map[netip.Addr]bool
	// done says that the round is over, found that the owner is known.
	done, found bool
	// nobody says that no target holds the flow to which a packet with the
	// acknowledgement ack belongs: all agents have answered.
	nobody bool
	ack    uint32
	// prober is the agent for which the own target was asked, for the packet
	// that the balancer origin took.
	prober netip.Addr
	// probes counts the packets that reached a target which may not hold the
	// flow, since firstProbe.
	probes     int
	firstProbe time.Duration
	// selfFirst says that only the own target was asked so far.
	selfFirst bool
	// disowned says that the own target does not hold the flow.
	disowned bool
}

// unknown takes a packet whose owner is not known here.
func (m *Machine) unknown(now time.Duration, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	if p.Reset {
		out.Event(plane.Event{Kind: plane.EventDropped, Flow: p.Key, PacketSeq: p.Seq, Reason: "unknown_flow"})
		return
	}
	s := m.search[p.Key]
	if s != nil && !s.done {
		// The caller's next packet comes by itself.
		return
	}
	if s != nil && s.nobody && s.ack == p.Ack {
		m.reset(p, "no_target_holds_flow", out)
		return
	}
	if s == nil {
		s = &search{}
		m.search[p.Key] = s
	}
	if !msg.Home.IsValid() && m.unsure(now) && !s.disowned {
		if !s.selfFirst || s.probes < probeBudget {
			m.probeSelf(now, p, msg, s, out)
		}
		return
	}
	m.begin(now, p, msg, s, out)
}

// begin asks the other agents of the service in the own data centre.
func (m *Machine) begin(now time.Duration, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	s.began, s.raw, s.origin, s.done = now, slices.Clone(p.Raw), msg.Origin, false
	s.asked, s.probing, s.unsure = map[netip.Addr]surveyedFor{}, map[netip.Addr]bool{}, s.unsure[:0]
	if s.denied == nil || s.ack != p.Ack {
		s.denied, s.deniedBy, s.doubt, s.repeats = map[netip.Addr]bool{}, map[string]uint64{}, map[netip.Addr]string{}, 0
	}
	s.far, s.found, s.nobody, s.ack, s.declined = false, false, false, p.Ack, 0
	near, _ := m.searchable(now)
	m.askAll(near, p, msg, s, out)
	if m.unsure(now) && !s.disowned {
		s.unsure = append(s.unsure, m.Self)
	}
	out.Event(plane.Event{Kind: plane.EventSearched, Flow: p.Key, PacketSeq: p.Seq, Value: int64(len(s.asked))})
	m.endSearch(now, p.Key, s, out)
}

func (m *Machine) askAll(agents []netip.Addr, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	for _, a := range agents {
		m.ask(a, p, msg, s, out)
	}
}

// ask asks an agent for itself, unless it has denied before.
func (m *Machine) ask(a netip.Addr, p *flow.Packet, msg *relay.Message, s *search, out *plane.Out) {
	if s.denied[a] {
		return
	}
	s.asked[a] = surveyedFor{}
	m.pass(a, relay.Search, p, msg, out)
}

// searchable returns the other agents that may hold flows of the service: those
// in the own data centre, and those of each other one.
func (m *Machine) searchable(now time.Duration) (near []netip.Addr, far map[string][]netip.Addr) {
	far = map[string][]netip.Addr{}
	seen := map[netip.Addr]bool{m.Self: true}
	add := func(t *fleet.Target) {
		a := t.Agent()
		switch {
		case seen[a]:
		case t.DataCentre == m.DataCentre:
			near = append(near, a)
		default:
			far[t.DataCentre] = append(far[t.DataCentre], a)
		}
		seen[a] = true
	}
	for _, t := range m.View.Targets(m.Service) {
		add(t)
	}
	for _, t := range m.View.RemovedTargets(m.Service) {
		if p := m.peers[t.Agent()]; p != nil && p.everHeard && now-p.heard <= beatTimeout {
			add(t)
		}
	}
	return near, far
}

// unsure reports whether the target may hold flows that the agent does not
// know. A flow of which neither end has sent anything for the idle timeout since
// the start of the agent may be discarded.
func (m *Machine) unsure(now time.Duration) bool {
	idle := m.View.IdleTimeout()
	return now < m.unsureUntil && (idle == 0 || now < m.began+idle+idleMargin)
}

// searched answers a search of another agent.
func (m *Machine) searched(now time.Duration, from netip.Addr, p *flow.Packet, msg *relay.Message, out *plane.Out) {
	answer := relay.Message{Kind: relay.NotOwner, Service: m.tag, Flow: p.Key, Load: m.Load(), Origin: msg.Origin}
	f := m.flows[p.Key]
	switch {
	case f != nil && f.takes(p):
		m.deliver(now, f, p, out)
		m.report(f, msg.Origin, p.Key, out)
		if msg.Home != from {
			m.report(f, msg.Home, p.Key, out)
		}
		answer.Kind = relay.Owner
	case m.unsure(now) && !m.disowned(p.Key):
		answer.Kind = relay.MaybeOwner
	}
	out.Send(from, answer)
}

func (m *Machine) disowned(key flow.Key) bool {
	s := m.search[key]
	return s != nil && s.disowned
}

func (m *Machine) resetSearched(s *search, out *plane.Out) {
	s.nobody = true
	if p, err := m.Codec.FromCaller(s.raw); err == nil {
		m.reset(&p, "no_target_holds_flow", out)
	}
}

// endSearch goes on with the other data centres once all answers of the own one
// are there, and acts on the answers once all of those are.
func (m *Machine) endSearch(now time.Duration, key flow.Key, s *search, out *plane.Out) {
	if s.done || len(s.asked) > 0 {
		return
	}
	if !s.far {
		m.beginFar(now, key, s, out)
		if len(s.asked) > 0 {
			return
		}
	}
	s.done = true
	if len(s.unsure) > 0 {
		// The owner is among them, because all others know that they are not.
		m.probe(now, key, s, len(s.unsure), out)
		return
	}
	m.resetSearched(s, out)
}

// searchOn begins another round of a search that was not complete: somebody did
// not answer, or a probe was not returned. After an outage agents and targets
// come back one by one, and the caller's next packet may come too late.
func (m *Machine) searchOn(now time.Duration, s *search, out *plane.Out) {
	if !s.done || s.found || s.nobody || len(s.raw) == 0 || s.repeats >= maxSearchAgain || now-s.began < searchAgain<<(s.repeats/2) {
		return
	}
	p, err := m.Codec.FromCaller(s.raw)
	if err != nil {
		return
	}
	s.repeats++
	s.selfFirst = false
	m.begin(now, &p, &relay.Message{Origin: s.origin, Home: m.Self}, s, out)
}

// checkSearches ends rounds whose answers do not come, and begins the next one
// where nothing was found. The owner may be in another data centre although an
// agent of the own one is silent.
func (m *Machine) checkSearches(now time.Duration, out *plane.Out) {
	for key, s := range m.search {
		m.searchOn(now, s, out)
		if !s.done && !s.far && now-s.began >= searchTimeout {
			silent := len(s.asked)
			m.beginFar(now, key, s, out)
			if len(s.asked) > silent {
				continue
			}
			s.began = now - farSearchTimeout
		}
		switch {
		case !s.done && s.far && now-s.began >= farSearchTimeout:
			s.done = true
			m.probe(now, key, s, probeBudget, out)
		case s.done && now-s.began >= max(searchKeep, probeWindow):
			delete(m.search, key)
		}
	}
}
