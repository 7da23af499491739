package ownership

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

const simAgents = 6

// simDataCentre puts two agents into one data centre and four into another. A
// search asks the agents of the first one directly, and those of the second one
// by a survey.
func simDataCentre(n int) string {
	if n < 2 {
		return "small"
	}
	return "large"
}

func simFleet() []*fleet.Target {
	targets := fleettest.Ready(simAgents)
	for n, t := range targets {
		t.DataCentre = simDataCentre(n)
	}
	return targets
}

// simMessage is a datagram in flight.
type simMessage struct {
	from, to netip.Addr
	message  relay.Message
}

// simTarget knows exactly which flows it holds. It is the reference that the
// agents are compared with.
type simTarget struct {
	bases map[flow.Key]uint32
	open  map[flow.Key]bool
}

// simCaller is a caller with one flow.
type simCaller struct {
	key    flow.Key
	base   uint32
	target int
	opened bool
	reset  bool
	sent   uint32
}

// sim is a small system whose network loses, duplicates and reorders datagrams.
type sim struct {
	*rapid.T
	now     time.Duration
	view    *fleet.View
	agents  []*Machine
	down    []bool
	targets []*simTarget
	callers []*simCaller
	network []simMessage
	// owners is the table of the only balancer.
	owners   map[flow.Key]netip.Addr
	lastBase uint32
	// delivered counts the packets of open flows that reached the target that
	// holds them, misdelivered those that reached another target.
	delivered, misdelivered int
}

func newSim(t *rapid.T) *sim {
	s := &sim{T: t, view: fleettest.View(0, simFleet()...), down: make([]bool, simAgents), owners: map[flow.Key]netip.Addr{}, lastBase: 1000}
	for n := range simAgents {
		s.targets = append(s.targets, &simTarget{map[flow.Key]uint32{}, map[flow.Key]bool{}})
		s.agents = append(s.agents, s.newAgent(n, true))
	}
	for port := range uint16(3) {
		s.callers = append(s.callers, &simCaller{key: fleettest.Key(port + 1), target: -1})
	}
	return s
}

func (s *sim) newAgent(n int, firstStart bool) *Machine {
	m := New(s.now, Options{Self: fleettest.Agent(byte(n)), DataCentre: simDataCentre(n), Service: "booking", Target: netip.AddrPortFrom(fleettest.Agent(byte(n)), 80),
		FirstStart: firstStart, Codec: flowtest.Codec{}, View: s.view})
	return m
}

// step makes one agent act and carries out the results.
func (s *sim) step(n int, act func(m *Machine, out *plane.Out)) {
	var out plane.Out
	act(s.agents[n], &out)
	for _, send := range out.Sends {
		m := send.Message
		m.Body = slices.Clone(m.Body)
		s.network = append(s.network, simMessage{fleettest.Agent(byte(n)), send.To, m})
	}
	for _, c := range out.ToCaller {
		s.toCaller(n, c.Raw)
	}
	for _, raw := range out.ToTarget {
		s.toTarget(n, slices.Clone(raw))
	}
}

func (s *sim) toTarget(n int, raw []byte) {
	p, _ := flowtest.Codec{}.FromCaller(raw)
	t := s.targets[n]
	answer := p
	switch base, held := t.bases[p.Key]; {
	case p.Open && !held:
		s.lastBase += 10_000
		t.bases[p.Key] = s.lastBase
		answer = flow.Packet{Key: p.Key, Open: true, Seq: s.lastBase}
	case p.Open:
		answer = flow.Packet{Key: p.Key, Open: true, Seq: base}
	case held && p.Ack == base+1:
		t.open[p.Key] = true
		s.delivered++
		answer = flow.Packet{Key: p.Key, Seq: base + 1, Ack: p.Seq + uint32(p.Len)}
	default:
		s.countMisdelivered(n, p.Key)
		answer.Returned = true
	}
	s.step(n, func(m *Machine, out *plane.Out) { m.FromTarget(s.now, flowtest.Encode(answer), out) })
}

func (s *sim) countMisdelivered(n int, key flow.Key) {
	for i, t := range s.targets {
		if i != n && t.open[key] {
			s.misdelivered++
		}
	}
}

// toCaller checks the invariant about resets: a flow is reset only if no target
// holds the flow that the caller uses.
func (s *sim) toCaller(n int, raw []byte) {
	p, _ := flowtest.Codec{}.FromCaller(raw)
	c := s.callers[p.Key.CallerPort-1]
	switch {
	case p.Reset && c.opened && s.targets[c.target].open[p.Key]:
		s.Fatalf("agent %d reset flow %s that target %d holds", n, p.Key, c.target)
	case p.Reset:
		c.reset = true
	case p.Open && c.target < 0:
		c.base, c.target = p.Seq, n
	}
}

// fromBalancer sends a caller's packet to the owner that the balancer knows, or
// to the flow's home.
func (s *sim) fromBalancer(p flow.Packet) {
	m := relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: flowtest.Encode(p)}
	to := fleettest.Agent(byte(p.Key.CallerPort % simAgents))
	owner, known := s.owners[p.Key]
	switch {
	case p.Open:
		m.Kind, m.Home = relay.Open, to
	case known:
		to = owner
	default:
		m.Home = to
	}
	s.network = append(s.network, simMessage{balancer, to, m})
}

func (s *sim) deliver(i int) {
	msg := s.network[i]
	if msg.to == balancer {
		if msg.message.Kind == relay.Owner {
			s.owners[msg.message.Flow] = msg.from
		}
		return
	}
	n := int(msg.to.As4()[3]) - 10
	if s.down[n] {
		return
	}
	s.step(n, func(m *Machine, out *plane.Out) { m.FromPeer(s.now, msg.from, &msg.message, out) })
}

// TestOwnershipAgainstNaive guards against resets of flows that a target holds,
// and against flows whose owner is never found again. Datagrams are lost,
// duplicated and reordered, agents restart, and the balancer loses its table.
func TestOwnershipAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		t.Repeat(map[string]func(*rapid.T){
			"deliver": func(t *rapid.T) {
				if len(s.network) > 0 {
					i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
					msg := s.network[i]
					s.deliver(i)
					if rapid.IntRange(0, 9).Draw(t, "repeated") > 0 {
						s.network = slices.DeleteFunc(s.network, func(o simMessage) bool {
							return o.to == msg.to && o.from == msg.from && slices.Equal(o.message.Append(nil), msg.message.Append(nil))
						})
					}
				}
			},
			"lose": func(t *rapid.T) {
				if len(s.network) > 0 {
					i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
					s.network = slices.Delete(s.network, i, i+1)
				}
			},
			"open": func(t *rapid.T) {
				c := rapid.SampledFrom(s.callers).Draw(t, "caller")
				if c.target < 0 && !c.reset {
					s.fromBalancer(flow.Packet{Key: c.key, Open: true, Seq: 100, Ack: rapid.Uint32Range(0, 2).Draw(t, "copies")})
				}
			},
			"send":  func(t *rapid.T) { s.send(rapid.SampledFrom(s.callers).Draw(t, "caller")) },
			"send2": func(t *rapid.T) { s.send(rapid.SampledFrom(s.callers).Draw(t, "caller")) },
			"wait": func(t *rapid.T) {
				s.now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms
				for n := range s.agents {
					if !s.down[n] {
						s.step(n, func(m *Machine, out *plane.Out) { m.Tick(s.now, out) })
					}
				}
			},
			"stop":  func(t *rapid.T) { s.down[rapid.IntRange(0, simAgents-1).Draw(t, "agent")] = true },
			"start": func(t *rapid.T) { s.start(rapid.IntRange(0, simAgents-1).Draw(t, "agent")) },
			"forget": func(*rapid.T) {
				clear(s.owners)
			},
		})
		s.checkRecovery()
	})
}

func (s *sim) send(c *simCaller) {
	if c.target < 0 || c.reset {
		return
	}
	c.opened = true
	c.sent++
	s.fromBalancer(flow.Packet{Key: c.key, Seq: 101 + c.sent, Ack: c.base + 1, Len: 1})
}

func (s *sim) start(n int) {
	if s.down[n] {
		s.down[n] = false
		s.agents[n] = s.newAgent(n, false)
	}
}

// checkRecovery ends all faults and requires that the packets of each open flow
// reach its target again.
func (s *sim) checkRecovery() {
	s.network = nil
	for n := range s.agents {
		s.start(n)
	}
	for _, c := range s.callers {
		if c.target < 0 || !c.opened || c.reset || !s.targets[c.target].open[c.key] {
			continue
		}
		before := s.delivered
		for try := 0; s.delivered == before; try++ {
			if try == 8 {
				s.Fatalf("packets of flow %s do not reach target %d", c.key, c.target)
			}
			s.send(c)
			s.deliverAll()
		}
	}
}

// deliverAll delivers all datagrams in order, and advances the time in between
// so that timeouts expire.
func (s *sim) deliverAll() {
	for range 40 {
		for len(s.network) > 0 {
			s.deliver(0)
			s.network = s.network[1:]
		}
		s.now += 20 * ms
		for n := range s.agents {
			s.step(n, func(m *Machine, out *plane.Out) { m.Tick(s.now, out) })
		}
	}
}

// TestSurveysAgainstNaive guards against the reset of a flow in another data
// centre. Its owner and other agents there may have restarted, so that no agent
// knows the flow, and datagrams are lost and reordered during the search.
func TestSurveysAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		c := s.callers[0]
		owner := rapid.IntRange(0, simAgents-1).Draw(t, "owner")
		s.network = append(s.network, simMessage{balancer, fleettest.Agent(byte(owner)), relay.Message{
			Kind: relay.Place, Service: tag, Origin: balancer, Body: flowtest.Encode(flow.Packet{Key: c.key, Open: true, Seq: 100}),
		}})
		s.deliverAll()
		s.send(c)
		s.deliverAll()
		clear(s.owners)
		for n := range s.agents {
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				s.down[n] = true
				s.start(n)
			}
		}
		for range rapid.IntRange(1, 4).Draw(t, "packets") {
			s.send(c)
			for steps := 0; len(s.network) > 0 && steps < 200; steps++ {
				i := rapid.IntRange(0, len(s.network)-1).Draw(t, "message")
				if rapid.IntRange(0, 30).Draw(t, "lost") > 0 {
					s.deliver(i)
				}
				s.network = slices.Delete(s.network, i, i+1)
			}
			s.now += time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * ms
			for n := range s.agents {
				s.step(n, func(m *Machine, out *plane.Out) { m.Tick(s.now, out) })
			}
		}
		s.checkRecovery()
	})
}
