package ownership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"trefoilweir.example/core/dispatch"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// drainWorld is a balancer and agents that learn of drains at different times, and a
// network that loses, duplicates and reorders datagrams. Targets accept each flow
// within 20 ms, or later if late is set.
type drainWorld struct {
	*rapid.T
	now      time.Duration
	balancer *dispatch.Machine
	views    []*fleet.View
	agents   []*Machine
	network  []simMessage
	// accepting has the flows that each target is about to accept.
	accepting [][]flow.Key
	// offered has the flows that some target has got, held those by target. refused
	// has those that were refused before, whose callers have ended.
	offered, refused map[flow.Key]bool
	held             []map[flow.Key]bool
	// copies has how often each caller has sent its opening packet.
	copies   []uint32
	openedAt []time.Duration
	drains   fleet.Drains
	// late says that targets may take longer to accept than their agents wait.
	late bool
}

func newDrainWorld(t *rapid.T) *drainWorld {
	w := &drainWorld{T: t, offered: map[flow.Key]bool{}, refused: map[flow.Key]bool{}, drains: fleet.Drains{Revision: 200}}
	for n := range centres {
		f := drainedFixture(nil)
		w.views = append(w.views, f.View)
		w.agents = append(w.agents, New(0, Options{Self: fleettest.Agent(byte(n)), DataCentre: centres[n], Service: "booking",
			Target: netip.AddrPortFrom(fleettest.Agent(byte(n)), 80), FirstStart: true, Codec: flowtest.Codec{}, View: f.View}))
		w.accepting = append(w.accepting, nil)
		w.held = append(w.held, map[flow.Key]bool{})
	}
	w.views = append(w.views, drainedFixture(nil).View)
	w.balancer = dispatch.New(balancer, "dc", flowtest.Codec{}, w.views[len(centres)])
	w.heartbeats()
	return w
}

func (w *drainWorld) heartbeats() {
	for _, to := range w.agents {
		for _, from := range w.agents {
			if from != to {
				w.atAgent(to, func(out *plane.Out) {
					to.FromPeer(w.now, from.Self, &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: from.Load()}, out)
				})
			}
		}
	}
}

// atAgent makes a call of an agent and checks what it does.
func (w *drainWorld) atAgent(m *Machine, call func(*plane.Out)) {
	var out plane.Out
	n := int(m.Self.As4()[3]) - 10
	call(&out)
	for _, raw := range out.ToTarget {
		p, err := flowtest.Codec{}.FromCaller(raw)
		assert.NilError(w, err)
		if !w.held[n][p.Key] && m.ownDrained() {
			w.Fatalf("%v gives new flow %v to its target in drained data centre %s", m.Self, p.Key, m.DataCentre)
		}
		w.offered[p.Key], w.held[n][p.Key] = true, true
		w.accepting[n] = append(w.accepting[n], p.Key)
	}
	w.collect(m.Self, &out)
}

func (w *drainWorld) collect(from netip.Addr, out *plane.Out) {
	for _, e := range out.Events {
		if e.Kind != plane.EventRefused || w.refused[e.Flow] {
			continue
		}
		if w.offered[e.Flow] {
			w.Fatalf("%v: %v refuses flow %v (%s), which a target has got", w.now, from, e.Flow, e.Reason)
		}
		w.refused[e.Flow] = true
	}
	for _, s := range out.Sends {
		message := s.Message
		message.Body = append([]byte(nil), message.Body...)
		w.network = append(w.network, simMessage{from, s.To, message})
	}
}

func (w *drainWorld) deliver(i int) {
	d := w.network[i]
	if d.to == balancer {
		var out plane.Out
		w.balancer.FromPeer(w.now, d.from, &d.message, &out)
		w.collect(balancer, &out)
		return
	}
	for _, m := range w.agents {
		if m.Self == d.to {
			w.atAgent(m, func(out *plane.Out) { m.FromPeer(w.now, d.from, &d.message, out) })
		}
	}
}

func (w *drainWorld) send(caller int) {
	p := flow.Packet{Key: fleettest.Key(uint16(caller + 1)), Open: true, Seq: uint32(caller + 100), Ack: w.copies[caller]}
	w.copies[caller]++
	var out plane.Out
	w.balancer.FromCaller(w.now, flowtest.Encode(p), &out)
	w.collect(balancer, &out)
}

// advance lets the time pass. Targets accept what they have got, and callers send
// copies when they are due.
func (w *drainWorld) advance(d time.Duration) {
	for n, keys := range w.accepting {
		w.accepting[n] = nil
		for _, key := range keys {
			m := w.agents[n]
			if w.late && rapid.IntRange(0, 3).Draw(w.T, "late") > 0 {
				w.accepting[n] = append(w.accepting[n], key)
				continue
			}
			w.atAgent(m, func(out *plane.Out) {
				m.FromTarget(w.now, flowtest.Encode(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 1}), out)
			})
		}
	}
	// A datagram that takes longer than this is lost.
	w.network = nil
	w.now += d
	for caller, at := range w.openedAt {
		for !w.refused[fleettest.Key(uint16(caller+1))] && w.copies[caller] < 3 && w.now-at >= callerWait(w.copies[caller]) {
			w.send(caller)
		}
	}
	for _, m := range w.agents {
		w.atAgent(m, func(out *plane.Out) { m.Tick(w.now, out) })
	}
	var out plane.Out
	w.balancer.Tick(w.now, &out)
	w.collect(balancer, &out)
}

// Guards against a new flow that an agent gives to its target although it knows that
// the data centre is drained, and against the refusal of a flow that a target has
// got, for processes that learn of drains at different times and a network that
// loses, duplicates and reorders datagrams.
func TestDrainsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDrainWorld(t)
		w.late = rapid.Bool().Draw(t, "late targets")
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				w.drains.Revision++
				w.drains.Requests = nil
				for _, name := range []string{"dc", "east", "west"} {
					if rapid.IntRange(0, 2).Draw(t, name) > 0 {
						w.drains.Requests = append(w.drains.Requests, fleet.DrainRequest{DataCentre: name, Revision: w.drains.Revision})
					}
				}
			case 1, 2:
				drains := w.drains
				rapid.SampledFrom(w.views).Draw(t, "view").Apply(w.now, &fleet.Delta{Revision: drains.Revision, Drains: &drains})
			case 3:
				w.copies, w.openedAt = append(w.copies, 0), append(w.openedAt, w.now)
				w.send(len(w.copies) - 1)
			case 4:
				w.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * ms)
				w.heartbeats()
			default:
				if len(w.network) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(w.network)-1).Draw(t, "message")
				switch rapid.IntRange(0, 7).Draw(t, "fate") {
				case 0:
				case 1:
					w.deliver(i)
					continue
				default:
					w.deliver(i)
				}
				w.network = append(w.network[:i], w.network[i+1:]...)
			}
		}
	})
}
