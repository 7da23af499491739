package distribution_test

import (
	"container/heap"
	"slices"
	"time"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

// Times of the simulated network. A call to a dead process fails after
// dialTimeout. A poll of a process that dies or becomes unreachable fails after
// idleTimeout.
const (
	oneWayDelay       = time.Millisecond
	fetchDelay        = 8 * time.Millisecond
	dialTimeout       = time.Second
	idleTimeout       = 3 * time.Second
	pollCheckInterval = 500 * time.Millisecond
	peerPollWait      = 15 * time.Second
	watchPollWait     = 10 * time.Second
)

// simulation runs the Machines of a fleet in simulated time.
type simulation struct {
	now      time.Duration
	queue    timerQueue
	sequence uint64
	nodes    []*simNode
	byName   map[distribution.Source]*simNode
	platform simPlatform
	// reachable reports whether a process reaches another.
	reachable func(a, b *simNode) bool
	// messages counts requests and answers between processes and the requests
	// to the platform. fetches counts fetches of configurations.
	messages, fetches int
}

type simPlatform struct {
	head config.Head
	// previous is the head that a stale platform answers with.
	previous config.Head
	stale    bool
	// invalid holds the heads whose configuration is invalid.
	invalid map[config.Head]bool
	// reachable reports whether a process reaches the platform.
	reachable func(*simNode) bool
	watchers  []waiter
	calls     int
	vms       []config.VM
}

func (p *simPlatform) answer() config.Head {
	if p.stale {
		return p.previous
	}
	return p.head
}

// waiter is a poll that waits at a process or at the platform.
type waiter struct {
	node  *simNode
	run   int
	poll  distribution.Poll
	until time.Duration
}

type simNode struct {
	sim     *simulation
	vm      config.VM
	machine *distribution.Machine
	// run counts the starts of the process. Events of an earlier run are
	// dropped.
	run     int
	dead    bool
	paused  bool
	held    []distribution.Event
	waiters []waiter
	pollID  uint64
	// adopted is when the current head was adopted.
	adopted time.Duration
	// list, if set, is the list of VMs that the node gets instead of that of
	// the platform.
	list []config.VM
	// naive is the highest valid head that was fetched in this run.
	naive config.Head
	// onAdopt, if set, is called for each adoption.
	onAdopt func(before, after config.Head)
	tick    func()
}

type timer struct {
	at       time.Duration
	sequence uint64
	do       func()
}

type timerQueue []timer

func (q timerQueue) Len() int { return len(q) }
func (q timerQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q timerQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *timerQueue) Push(x any)   { *q = append(*q, x.(timer)) }
func (q *timerQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = timer{}
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(vms []config.VM) *simulation {
	s := &simulation{byName: map[distribution.Source]*simNode{}, reachable: func(_, _ *simNode) bool { return true }}
	s.platform = simPlatform{invalid: map[config.Head]bool{}, reachable: func(*simNode) bool { return true }, vms: vms}
	for _, vm := range vms {
		n := &simNode{sim: s, vm: vm}
		n.tick = func() { n.onTick() }
		s.nodes = append(s.nodes, n)
		s.byName[distribution.Source(vm.Name)] = n
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, timer{s.now + d, s.sequence, do})
}

func (s *simulation) runFor(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// publish makes h the head of the platform.
func (s *simulation) publish(h config.Head, valid bool) {
	s.platform.previous, s.platform.head = s.platform.head, h
	s.platform.invalid[h] = !valid
	s.wakeWatchers()
}

func (s *simulation) wakeWatchers() {
	watchers := s.platform.watchers
	s.platform.watchers = nil
	for _, w := range watchers {
		s.answerWatch(w)
	}
}

func (s *simulation) answerWatch(w waiter) {
	head := s.platform.answer()
	w.node.deliverAfter(oneWayDelay, w.run, func() distribution.Event {
		if !s.platform.reachable(w.node) {
			return distribution.PollFailed{ID: w.poll.ID, From: distribution.Platform}
		}
		return distribution.Polled{ID: w.poll.ID, From: distribution.Platform, Head: head}
	})
}

// start begins a new run of a process without any earlier state.
func (n *simNode) start(seed uint64) {
	n.run++
	n.dead, n.paused, n.held, n.waiters, n.naive = false, false, nil, nil, config.Head{}
	n.machine = distribution.New(distribution.Options{Self: n.vm.Name, DataCentre: n.vm.DataCentre, Seed: seed})
	n.step(distribution.Start{})
	if n.run == 1 {
		n.sim.after(time.Duration(seed%250)*time.Millisecond, n.tick)
	}
}

func (n *simNode) onTick() {
	if !n.dead && !n.paused {
		n.step(distribution.Tick{})
	}
	n.sim.after(distribution.TickEvery, n.tick)
}

// deliverAfter delivers an event to the process after a delay, if the process is
// live and still in the given run. Events for a paused process are held.
func (n *simNode) deliverAfter(d time.Duration, run int, event func() distribution.Event) {
	n.sim.after(d, func() {
		switch {
		case n.dead || n.run != run:
		case n.paused:
			n.held = append(n.held, event())
		default:
			n.step(event())
		}
	})
}

func (n *simNode) resume() {
	n.paused = false
	held := n.held
	n.held = nil
	for _, ev := range held {
		n.step(ev)
	}
}

func (n *simNode) step(ev distribution.Event) {
	// The I/O layer cancels a poll when another replaces it.
	if p, ok := ev.(distribution.Polled); ok && p.ID != n.pollID {
		return
	}
	if f, ok := ev.(distribution.Fetched); ok && config.HeadLess(n.naive, f.Head) {
		n.naive = f.Head
	}
	before := n.machine.Current()
	actions := slices.Clone(n.machine.Step(n.sim.now, ev))
	for _, a := range actions {
		n.do(a, before)
	}
}

func (n *simNode) do(a distribution.Action, before config.Head) {
	switch a := a.(type) {
	case distribution.Adopt:
		n.adopted = n.sim.now
		if n.onAdopt != nil {
			n.onAdopt(before, a.Head)
		}
		n.wakeChildren()
	case distribution.Poll:
		n.pollID = a.ID
		n.poll(a)
	case distribution.Query:
		n.query(a)
	case distribution.Fetch:
		n.fetch(a)
	}
}

func (n *simNode) wakeChildren() {
	waiters := n.waiters
	n.waiters = nil
	for _, w := range waiters {
		if config.HeadLess(w.poll.Have, n.machine.Current()) {
			n.answer(w)
		} else {
			n.waiters = append(n.waiters, w)
		}
	}
}

func (n *simNode) answer(w waiter) {
	head := n.machine.Current()
	n.sim.messages++
	w.node.deliverAfter(oneWayDelay, w.run, func() distribution.Event {
		return distribution.Polled{ID: w.poll.ID, From: distribution.Source(n.vm.Name), Head: head}
	})
}

func (n *simNode) reaches(other *simNode) bool {
	return other != nil && !other.dead && n.sim.reachable(n, other)
}

func (n *simNode) poll(p distribution.Poll) {
	s, run := n.sim, n.run
	s.messages++
	w := waiter{node: n, run: run, poll: p, until: s.now + peerPollWait}
	if p.From == distribution.Platform {
		n.watch(w)
		return
	}
	parent := s.byName[p.From]
	if !n.reaches(parent) {
		n.deliverAfter(dialTimeout, run, func() distribution.Event { return distribution.PollFailed{ID: p.ID, From: p.From} })
		return
	}
	parentRun := parent.run
	s.after(oneWayDelay, func() {
		if parent.machine != nil && config.HeadLess(p.Have, parent.machine.Current()) && !parent.paused {
			parent.answer(w)
			return
		}
		parent.waiters = append(parent.waiters, w)
	})
	n.checkPoll(w, parent, parentRun, 0)
}

// checkPoll ends a poll when its wait is over, or when the parent has been
// unreachable for idleTimeout.
func (n *simNode) checkPoll(w waiter, parent *simNode, parentRun int, gone time.Duration) {
	n.sim.after(pollCheckInterval, func() {
		switch {
		case n.run != w.run || n.pollID != w.poll.ID:
		case !n.reaches(parent) || parent.run != parentRun || parent.paused:
			if gone += pollCheckInterval; gone >= idleTimeout {
				n.deliverAfter(0, w.run, func() distribution.Event { return distribution.PollFailed{ID: w.poll.ID, From: w.poll.From} })
				return
			}
			n.checkPoll(w, parent, parentRun, gone)
		case n.sim.now >= w.until:
			parent.waiters = slices.DeleteFunc(parent.waiters, func(o waiter) bool { return o.node == n && o.poll.ID <= w.poll.ID })
			parent.answer(w)
		default:
			n.checkPoll(w, parent, parentRun, 0)
		}
	})
}

// watch simulates a poll of the platform. The platform answers at once if its
// head differs from that of the process, and otherwise when its head changes or
// after watchPollWait.
func (n *simNode) watch(w waiter) {
	p := &n.sim.platform
	p.calls++
	if !p.reachable(n) {
		n.deliverAfter(dialTimeout, w.run, func() distribution.Event {
			return distribution.PollFailed{ID: w.poll.ID, From: distribution.Platform}
		})
		return
	}
	if p.answer() != w.poll.Have {
		n.sim.answerWatch(w)
		return
	}
	p.watchers = append(p.watchers, w)
	n.sim.after(watchPollWait, func() {
		if i := slices.IndexFunc(p.watchers, func(o waiter) bool { return o.node == n && o.poll.ID == w.poll.ID && o.run == w.run }); i >= 0 {
			p.watchers = slices.Delete(p.watchers, i, i+1)
			n.sim.answerWatch(w)
		}
	})
}

func (n *simNode) query(a distribution.Query) {
	s, run := n.sim, n.run
	s.messages++
	if a.To == distribution.Platform {
		n.queryPlatform()
		return
	}
	peer := s.byName[a.To]
	if !n.reaches(peer) || peer.machine == nil || peer.paused {
		n.deliverAfter(dialTimeout, run, func() distribution.Event { return distribution.QueryFailed{From: a.To} })
		return
	}
	peer.deliverAfter(oneWayDelay, peer.run, func() distribution.Event {
		return distribution.PeerQueried{From: distribution.Source(n.vm.Name), Head: a.Have}
	})
	s.messages++
	n.deliverAfter(2*oneWayDelay, run, func() distribution.Event {
		return distribution.QueryAnswered{From: a.To, Head: peer.machine.Current()}
	})
}

func (n *simNode) queryPlatform() {
	p, run := &n.sim.platform, n.run
	p.calls += 2
	if !p.reachable(n) {
		n.deliverAfter(dialTimeout, run, func() distribution.Event { return distribution.QueryFailed{From: distribution.Platform} })
		return
	}
	vms := p.vms
	if n.list != nil {
		vms = n.list
	}
	n.deliverAfter(2*oneWayDelay, run, func() distribution.Event { return distribution.VMList{VMs: vms} })
	n.deliverAfter(2*oneWayDelay, run, func() distribution.Event {
		return distribution.QueryAnswered{From: distribution.Platform, Head: p.answer()}
	})
}

func (n *simNode) fetch(f distribution.Fetch) {
	s, run := n.sim, n.run
	s.fetches++
	n.deliverAfter(fetchDelay, run, func() distribution.Event {
		head, ok := s.platform.answer(), s.platform.reachable(n)
		if f.From == distribution.Platform {
			// A manifest and, for one changed target, an index and a part.
			s.platform.calls += 2
		} else {
			peer := s.byName[f.From]
			ok = n.reaches(peer) && peer.machine != nil && !peer.paused
			if ok {
				head = peer.machine.Current()
			}
		}
		switch {
		case !ok || config.HeadLess(head, f.Head):
			return distribution.FetchFailed(f)
		case s.platform.invalid[head]:
			return distribution.Invalid{From: f.From, Head: head}
		default:
			return distribution.Fetched{From: f.From, Head: head}
		}
	})
}
