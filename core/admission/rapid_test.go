package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// world is a few machines with a network that loses, repeats and reorders.
type world struct {
	t       *rapid.T
	now     time.Duration
	nodes   []*worldNode
	packets []packet
	nextID  RequestID
	// runs counts the runs of each request of a caller over all machines.
	runs       map[RequestID]int
	repeatable map[RequestID]bool
}

type worldNode struct {
	id      PeerID
	machine *Machine
	naive   *naive
	// open maps the requests at this machine to where they came from.
	open    map[RequestID]origin
	running []RequestID
}

// origin is the caller's request, and the machine that handed it over.
type origin struct {
	caller RequestID
	from   *worldNode
	fromID RequestID
	shed   bool
}

// packet is a message, a handed-over request or its result.
type packet struct {
	to   *worldNode
	from PeerID
	ev   Event
	who  origin
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, runs: map[RequestID]int{}, repeatable: map[RequestID]bool{}}
	ids := []PeerID{"a", "b", "c"}
	for i, id := range ids {
		l := w.limits()
		w.nodes = append(w.nodes, &worldNode{
			id: id, machine: New(l, peersBut(id), uint64(i)), naive: newNaive(l), open: map[RequestID]origin{},
		})
	}
	w.all(Tick{})
	return w
}

func peersBut(id PeerID) []Peer {
	var peers []Peer
	for _, p := range []PeerID{"c", "a", "b"} {
		if p != id {
			peers = append(peers, Peer{ID: p, Slots: 2, Speed: float64(p[0]-'a') + 1})
		}
	}
	return peers
}

func (w *world) limits() Limits {
	return Limits{
		Slots: rapid.IntRange(1, 3).Draw(w.t, "slots"), QueuePerSlot: rapid.IntRange(1, 2).Draw(w.t, "queue"),
		HandOver: rapid.IntRange(0, 4).Draw(w.t, "handOver") > 0, Connections: 3,
		Bias:    rapid.SampledFrom([]config.Bias{config.BiasBalance, config.BiasLatency}).Draw(w.t, "bias"),
		Classes: []Class{{Name: "map", HoldsSlot: true}, {Name: "ticker"}},
	}
}

func (w *world) node() *worldNode { return rapid.SampledFrom(w.nodes).Draw(w.t, "node") }

func (w *world) all(ev Event) {
	for _, n := range w.nodes {
		w.step(n, ev)
	}
}

// step applies an event to a machine and checks what follows.
func (w *world) step(n *worldNode, ev Event) {
	n.naive.before(w.now, ev)
	actions := n.machine.Step(w.now, ev)
	if err := n.naive.after(ev, actions); err != nil {
		w.t.Fatalf("%s at %v: %v", n.id, w.now, err)
	}
	if err := n.naive.compare(n.machine); err != nil {
		w.t.Fatalf("%s at %v after %#v: %v", n.id, w.now, ev, err)
	}
	for _, a := range actions {
		w.act(n, a)
	}
}

func (w *world) act(n *worldNode, a Action) {
	switch a := a.(type) {
	case Run:
		n.running = append(n.running, a.ID)
	case HandOver:
		who := origin{caller: n.open[a.ID].caller, from: n, fromID: a.ID}
		w.packets = append(w.packets, packet{to: w.byID(a.Peer), ev: Arrive{Grant: a.Grant}, who: who})
	case Send:
		w.packets = append(w.packets, packet{to: w.byID(a.To), from: n.id, ev: PeerMessage{From: n.id, Message: a.Message}})
	case Answer:
		w.ended(n, a.ID, a.Verdict)
	case Refuse:
		w.ended(n, a.ID, verdict.NotRun)
	}
}

func (w *world) byID(id PeerID) *worldNode {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	w.t.Fatalf("action names unknown peer %q", id)
	return nil
}

func (w *world) ended(n *worldNode, id RequestID, v verdict.Verdict) {
	who := n.open[id]
	delete(n.open, id)
	for i, r := range n.running {
		if r == id {
			n.running = append(n.running[:i:i], n.running[i+1:]...)
			break
		}
	}
	if who.from != nil {
		result := PeerResult{ID: who.fromID, Peer: n.id, Verdict: v, Shed: who.shed}
		w.packets = append(w.packets, packet{to: who.from, ev: result})
	} else if v == verdict.NotRun && w.runs[who.caller] > 0 {
		w.t.Fatalf("request %d is answered not-run, but ran", who.caller)
	}
}

func (w *world) arrive(n *worldNode, ev Arrive, who origin) {
	w.nextID++
	ev.ID = w.nextID
	if who.from == nil {
		who.caller = ev.ID
		w.repeatable[ev.ID] = ev.Repeatable
	}
	n.open[ev.ID] = who
	w.step(n, ev)
}

func (w *world) newRequest() {
	w.arrive(w.node(), Arrive{
		Class:      rapid.SampledFrom([]string{"map", "map", "map", "ticker"}).Draw(w.t, "class"),
		Deadline:   w.now + time.Duration(rapid.IntRange(1, 2000).Draw(w.t, "deadline"))*time.Millisecond,
		Repeatable: rapid.Bool().Draw(w.t, "repeatable"),
	}, origin{})
}

// deliver takes a random packet: it arrives, is lost, or arrives twice.
func (w *world) deliver() {
	if len(w.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
	fate := rapid.IntRange(0, 9).Draw(w.t, "fate")
	p := w.packets[i]
	_, message := p.ev.(PeerMessage)
	if fate != 0 || !message {
		w.packets = append(w.packets[:i:i], w.packets[i+1:]...)
	}
	if fate == 1 && message {
		return
	}
	w.receive(p, fate == 1)
}

// receive delivers a packet. A lost hand-over fails before it starts; a lost
// result leaves open whether the request ran.
func (w *world) receive(p packet, lost bool) {
	arrive, isRequest := p.ev.(Arrive)
	result, isResult := p.ev.(PeerResult)
	switch {
	case isResult && lost:
		result.Verdict = verdict.MayHaveRun
		w.step(p.to, result)
	case !isRequest:
		w.step(p.to, p.ev)
	case lost:
		w.step(p.who.from, PeerResult{ID: p.who.fromID, Peer: p.to.id, Verdict: verdict.NotRun})
	default:
		arrive.Deadline = w.now + time.Second
		arrive.Repeatable = w.repeatable[p.who.caller]
		w.arrive(p.to, arrive, p.who)
	}
}

func (w *world) finish(n *worldNode, v verdict.Verdict, shed bool) {
	if len(n.running) == 0 {
		return
	}
	id := n.running[0]
	n.running = n.running[1:]
	who := n.open[id]
	if v != verdict.NotRun {
		w.runs[who.caller]++
		if w.runs[who.caller] > 1 && !w.repeatable[who.caller] {
			w.t.Fatalf("request %d ran twice", who.caller)
		}
	}
	who.shed = shed
	n.open[id] = who
	w.step(n, Done{ID: id, Verdict: v, Shed: shed})
}

func (w *world) finishRandom() {
	v := rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(w.t, "verdict")
	w.finish(w.node(), v, v == verdict.NotRun && rapid.Bool().Draw(w.t, "shed"))
}

func (w *world) cancel() {
	n := w.node()
	id := RequestID(rapid.IntRange(0, int(w.nextID)).Draw(w.t, "cancelled"))
	if who, open := n.open[id]; open {
		// The agent aborts the exchange; it may have run by then.
		if n.naive.requests[id].local {
			w.runs[who.caller]++
		}
		w.step(n, Cancel{ID: id})
	}
}

func (w *world) forge() {
	w.step(w.node(), PeerMessage{From: rapid.SampledFrom([]PeerID{"a", "b", "c", "z"}).Draw(w.t, "from"), Message: Message{
		Kind:  MessageKind(rapid.IntRange(0, 8).Draw(w.t, "kind")),
		Token: rapid.Uint64Range(0, 3).Draw(w.t, "token"), Grant: GrantID(rapid.Uint64Range(0, 3).Draw(w.t, "grant")),
		ScoreLimit: rapid.Float64().Draw(w.t, "score"),
		Load:       Load{Slots: rapid.IntRange(-1, 9).Draw(w.t, "s"), Busy: rapid.IntRange(-1, 9).Draw(w.t, "b")},
	}})
}

func (w *world) pass() {
	w.now += time.Duration(rapid.IntRange(0, 40).Draw(w.t, "ms")) * time.Millisecond
	if rapid.Bool().Draw(w.t, "tickAll") {
		w.all(Tick{})
	} else {
		w.step(w.node(), Tick{})
	}
}

// pause lets time pass for all; one machine gets no tick, and its next event
// finds a gap.
func (w *world) pause() {
	paused := w.node()
	for range 12 {
		w.now += 100 * time.Millisecond
		for _, n := range w.nodes {
			if n != paused {
				w.step(n, Tick{})
			}
		}
	}
}

func (w *world) settle() {
	for range 4000 {
		w.now += TickInterval
		w.all(Tick{})
		for len(w.packets) > 0 {
			p := w.packets[0]
			w.packets = w.packets[1:]
			w.receive(p, false)
		}
		for _, n := range w.nodes {
			w.finish(n, verdict.Ran, false)
		}
		if w.empty() {
			return
		}
	}
	w.t.Fatalf("requests are open after all runs have ended and all deadlines have passed")
}

func (w *world) empty() bool {
	for _, n := range w.nodes {
		if len(n.open) > 0 {
			return false
		}
	}
	return true
}

// Guards against sequences of events that no script foresees: see the
// invariants in doc.go.
func TestMachineAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   func(t *rapid.T) { w.t = t; w.newRequest() },
			"arrive2":  func(t *rapid.T) { w.t = t; w.newRequest() },
			"deliver":  func(t *rapid.T) { w.t = t; w.deliver() },
			"deliver2": func(t *rapid.T) { w.t = t; w.deliver() },
			"deliver3": func(t *rapid.T) { w.t = t; w.deliver() },
			"finish":   func(t *rapid.T) { w.t = t; w.finishRandom() },
			"cancel":   func(t *rapid.T) { w.t = t; w.cancel() },
			"forge":    func(t *rapid.T) { w.t = t; w.forge() },
			"pass":     func(t *rapid.T) { w.t = t; w.pass() },
			"pause":    func(t *rapid.T) { w.t = t; w.pause() },
			"drain": func(t *rapid.T) {
				w.t = t
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					w.step(w.node(), Drain{})
				}
			},
			"reconfigure": func(t *rapid.T) {
				w.t = t
				n := w.node()
				w.step(n, Reconfigure{Limits: w.limits(), Peers: peersBut(n.id)})
			},
		})
		w.t = t
		w.settle()
	})
}

// Guards against a queue without peers that differs from plain FIFO.
func TestQueueAgainstPlainFIFO(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), QueuePerSlot: 1}
		m := New(limits, nil, 1)
		m.Step(0, Tick{})
		var running, queue []RequestID
		next := RequestID(0)
		start := func(want []string) []string {
			for len(running) < limits.Slots && len(queue) > 0 {
				want = append(want, fmt.Sprintf("run %d", queue[0]))
				running, queue = append(running, queue[0]), queue[1:]
			}
			return want
		}
		check := func(ev Event, want []string) {
			if got := trace(m.Step(0, ev)); got != joined(want) {
				t.Fatalf("%#v: got %q, want %q", ev, got, joined(want))
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(*rapid.T) {
				next++
				if len(queue) == limits.Slots {
					check(Arrive{ID: next}, []string{fmt.Sprintf("refuse %d queue_full", next)})
					return
				}
				queue = append(queue, next)
				check(Arrive{ID: next}, start(nil))
			},
			"finish": func(t *rapid.T) {
				if len(running) > 0 {
					id := running[0]
					running = running[1:]
					check(Done{ID: id, Verdict: verdict.Ran}, start([]string{fmt.Sprintf("answer %d ran", id)}))
				}
			},
			"cancel": func(t *rapid.T) {
				if len(queue) > 0 {
					i := rapid.IntRange(0, len(queue)-1).Draw(t, "i")
					id := queue[i]
					queue = append(queue[:i:i], queue[i+1:]...)
					check(Cancel{ID: id}, []string{fmt.Sprintf("refuse %d cancelled", id)})
				}
			},
		})
	})
}
