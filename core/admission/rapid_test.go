package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// simulation connects three machines by a network that loses, repeats and
// reorders packets.
type simulation struct {
	t       *rapid.T
	now     time.Duration
	nodes   []*simNode
	packets []packet
	nextID  RequestID
	// runs counts the runs of each request of a caller on all machines.
	runs       map[RequestID]int
	repeatable map[RequestID]bool
}

type simNode struct {
	id      PeerID
	machine *Machine
	naive   *naive
	// open maps the requests at this machine to their origin.
	open    map[RequestID]origin
	running []RequestID
}

// origin is the request of the caller and, if the request was handed over, the
// machine that did so and its ID there.
type origin struct {
	caller RequestID
	from   *simNode
	fromID RequestID
	shed   bool
}

// packet carries a message, a handed-over request or its result.
type packet struct {
	to     *simNode
	from   PeerID
	ev     Event
	origin origin
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t, runs: map[RequestID]int{}, repeatable: map[RequestID]bool{}}
	ids := []PeerID{"a", "b", "c"}
	for i, id := range ids {
		l := s.limits()
		s.nodes = append(s.nodes, &simNode{
			id: id, machine: New(l, peersExcept(id), uint64(i)), naive: newNaive(l), open: map[RequestID]origin{},
		})
	}
	s.stepAll(Tick{})
	return s
}

func peersExcept(id PeerID) []Peer {
	var peers []Peer
	for _, p := range []PeerID{"c", "a", "b"} {
		if p != id {
			peers = append(peers, Peer{ID: p, Slots: 2, Speed: float64(p[0]-'a') + 1})
		}
	}
	return peers
}

func (s *simulation) limits() Limits {
	return Limits{
		Slots: rapid.IntRange(1, 3).Draw(s.t, "slots"), QueuePerSlot: rapid.IntRange(1, 2).Draw(s.t, "queue"),
		HandOver: rapid.IntRange(0, 4).Draw(s.t, "handOver") > 0, Connections: 3,
		Bias:    rapid.SampledFrom([]config.Bias{config.BiasBalance, config.BiasLatency}).Draw(s.t, "bias"),
		Classes: []Class{{Name: "map", HoldsSlot: true}, {Name: "ticker"}},
	}
}

func (s *simulation) node() *simNode { return rapid.SampledFrom(s.nodes).Draw(s.t, "node") }

func (s *simulation) stepAll(ev Event) {
	for _, n := range s.nodes {
		s.step(n, ev)
	}
}

// step applies an event to a machine, then checks and performs its actions.
func (s *simulation) step(n *simNode, ev Event) {
	n.naive.applyEvent(s.now, ev)
	actions := n.machine.Step(s.now, ev)
	if err := n.naive.checkActions(ev, actions); err != nil {
		s.t.Fatalf("%s at %v: %v", n.id, s.now, err)
	}
	if err := n.naive.checkState(n.machine); err != nil {
		s.t.Fatalf("%s at %v after %#v: %v", n.id, s.now, ev, err)
	}
	for _, a := range actions {
		s.perform(n, a)
	}
}

func (s *simulation) perform(n *simNode, a Action) {
	switch a := a.(type) {
	case Run:
		n.running = append(n.running, a.ID)
	case HandOver:
		who := origin{caller: n.open[a.ID].caller, from: n, fromID: a.ID}
		s.packets = append(s.packets, packet{to: s.byID(a.Peer), ev: Arrive{Grant: a.Grant}, origin: who})
	case Send:
		s.packets = append(s.packets, packet{to: s.byID(a.To), from: n.id, ev: PeerMessage{From: n.id, Message: a.Message}})
	case Answer:
		s.ended(n, a.ID, a.Verdict)
	case Refuse:
		s.ended(n, a.ID, verdict.NotRun)
	}
}

func (s *simulation) byID(id PeerID) *simNode {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	s.t.Fatalf("an action names the unknown peer %q", id)
	return nil
}

func (s *simulation) ended(n *simNode, id RequestID, v verdict.Verdict) {
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
		s.packets = append(s.packets, packet{to: who.from, ev: result})
	} else if v == verdict.NotRun && s.runs[who.caller] > 0 {
		s.t.Fatalf("request %d is answered not-run, but ran", who.caller)
	}
}

func (s *simulation) arrive(n *simNode, ev Arrive, who origin) {
	s.nextID++
	ev.ID = s.nextID
	if who.from == nil {
		who.caller = ev.ID
		s.repeatable[ev.ID] = ev.Repeatable
	}
	n.open[ev.ID] = who
	s.step(n, ev)
}

func (s *simulation) newRequest() {
	s.arrive(s.node(), Arrive{
		Class:      rapid.SampledFrom([]string{"map", "map", "map", "ticker"}).Draw(s.t, "class"),
		Deadline:   s.now + time.Duration(rapid.IntRange(1, 2000).Draw(s.t, "deadline"))*time.Millisecond,
		Repeatable: rapid.Bool().Draw(s.t, "repeatable"),
	}, origin{})
}

// deliver picks a random packet, which arrives or is lost. A message may also
// arrive and stay in the network to arrive again.
func (s *simulation) deliver() {
	if len(s.packets) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.packets)-1).Draw(s.t, "packet")
	fate := rapid.IntRange(0, 9).Draw(s.t, "fate")
	p := s.packets[i]
	_, message := p.ev.(PeerMessage)
	if fate != 0 || !message {
		s.packets = append(s.packets[:i:i], s.packets[i+1:]...)
	}
	if fate == 1 && message {
		return
	}
	s.receive(p, fate == 1)
}

// receive delivers or loses a packet. A lost hand-over ends with the verdict
// NotRun, a lost result with MayHaveRun.
func (s *simulation) receive(p packet, lost bool) {
	arrive, isRequest := p.ev.(Arrive)
	result, isResult := p.ev.(PeerResult)
	switch {
	case isResult && lost:
		result.Verdict = verdict.MayHaveRun
		s.step(p.to, result)
	case !isRequest:
		s.step(p.to, p.ev)
	case lost:
		s.step(p.origin.from, PeerResult{ID: p.origin.fromID, Peer: p.to.id, Verdict: verdict.NotRun})
	default:
		arrive.Deadline = s.now + time.Second
		arrive.Repeatable = s.repeatable[p.origin.caller]
		s.arrive(p.to, arrive, p.origin)
	}
}

func (s *simulation) finish(n *simNode, v verdict.Verdict, shed bool) {
	if len(n.running) == 0 {
		return
	}
	id := n.running[0]
	n.running = n.running[1:]
	who := n.open[id]
	if v != verdict.NotRun {
		s.runs[who.caller]++
		if s.runs[who.caller] > 1 && !s.repeatable[who.caller] {
			s.t.Fatalf("request %d ran twice", who.caller)
		}
	}
	who.shed = shed
	n.open[id] = who
	s.step(n, Done{ID: id, Verdict: v, Shed: shed})
}

func (s *simulation) finishRandom() {
	v := rapid.SampledFrom([]verdict.Verdict{verdict.Ran, verdict.NotRun, verdict.MayHaveRun}).Draw(s.t, "verdict")
	s.finish(s.node(), v, v == verdict.NotRun && rapid.Bool().Draw(s.t, "shed"))
}

func (s *simulation) cancel() {
	n := s.node()
	id := RequestID(rapid.IntRange(0, int(s.nextID)).Draw(s.t, "cancelled"))
	if who, open := n.open[id]; open {
		// The agent aborts the attempt, which may have run by then.
		if n.naive.requests[id].local {
			s.runs[who.caller]++
		}
		s.step(n, Cancel{ID: id})
	}
}

func (s *simulation) injectMessage() {
	s.step(s.node(), PeerMessage{From: rapid.SampledFrom([]PeerID{"a", "b", "c", "z"}).Draw(s.t, "from"), Message: Message{
		Kind:  MessageKind(rapid.IntRange(0, 8).Draw(s.t, "kind")),
		Token: rapid.Uint64Range(0, 3).Draw(s.t, "token"), Grant: GrantID(rapid.Uint64Range(0, 3).Draw(s.t, "grant")),
		ScoreLimit: rapid.Float64().Draw(s.t, "score"),
		Load:       Load{Slots: rapid.IntRange(-1, 9).Draw(s.t, "s"), Busy: rapid.IntRange(-1, 9).Draw(s.t, "b")},
	}})
}

func (s *simulation) advance() {
	s.now += time.Duration(rapid.IntRange(0, 40).Draw(s.t, "ms")) * time.Millisecond
	if rapid.Bool().Draw(s.t, "tickAll") {
		s.stepAll(Tick{})
	} else {
		s.step(s.node(), Tick{})
	}
}

// pause advances the time by more than PauseGap and sends ticks to all machines
// but one.
func (s *simulation) pause() {
	paused := s.node()
	for range 12 {
		s.now += 100 * time.Millisecond
		for _, n := range s.nodes {
			if n != paused {
				s.step(n, Tick{})
			}
		}
	}
}

func (s *simulation) settle() {
	for range 4000 {
		s.now += TickInterval
		s.stepAll(Tick{})
		for len(s.packets) > 0 {
			p := s.packets[0]
			s.packets = s.packets[1:]
			s.receive(p, false)
		}
		for _, n := range s.nodes {
			s.finish(n, verdict.Ran, false)
		}
		if s.idle() {
			return
		}
	}
	s.t.Fatalf("requests are still open after all runs have ended and all deadlines have passed")
}

func (s *simulation) idle() bool {
	for _, n := range s.nodes {
		if len(n.open) > 0 {
			return false
		}
	}
	return true
}

// TestMachineAgainstNaive guards against violations of the invariants in doc.go
// in sequences of events that no script covers.
func TestMachineAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive":   func(t *rapid.T) { s.t = t; s.newRequest() },
			"arrive2":  func(t *rapid.T) { s.t = t; s.newRequest() },
			"deliver":  func(t *rapid.T) { s.t = t; s.deliver() },
			"deliver2": func(t *rapid.T) { s.t = t; s.deliver() },
			"deliver3": func(t *rapid.T) { s.t = t; s.deliver() },
			"finish":   func(t *rapid.T) { s.t = t; s.finishRandom() },
			"cancel":   func(t *rapid.T) { s.t = t; s.cancel() },
			"forge":    func(t *rapid.T) { s.t = t; s.injectMessage() },
			"pass":     func(t *rapid.T) { s.t = t; s.advance() },
			"pause":    func(t *rapid.T) { s.t = t; s.pause() },
			"drain": func(t *rapid.T) {
				s.t = t
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					s.step(s.node(), Drain{})
				}
			},
			"reconfigure": func(t *rapid.T) {
				s.t = t
				n := s.node()
				s.step(n, Reconfigure{Limits: s.limits(), Peers: peersExcept(n.id)})
			},
		})
		s.t = t
		s.settle()
	})
}

// TestQueueAgainstPlainFIFO guards against a queue that departs from FIFO order
// when there are no peers.
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
			if got := trace(m.Step(0, ev)); got != joinParts(want) {
				t.Fatalf("%#v: got %q, want %q", ev, got, joinParts(want))
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
