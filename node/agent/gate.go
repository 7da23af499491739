package agent

import (
	"context"
	"time"

	"trefoilweir.example/core/admission"
)

// gateInput is an event for the machine. arrival is set for Arrive only. If
// endDrain is set, there is no event and the gate ends its drain.
type gateInput struct {
	event    admission.Event
	arrival  *request
	endDrain bool
}

const (
	// gateQueueLen is the number of events that can wait for the gate.
	gateQueueLen = 1024
	// idleTickInterval is the interval of ticks while there are no requests.
	// Ticks every 10 ms take about 1% of a core without any request.
	idleTickInterval = 100 * time.Millisecond
)

// machine is the part of admission.Machine that the gate uses.
type machine interface {
	Step(now time.Duration, ev admission.Event) []admission.Action
	Load() admission.Load
}

// gate runs the admission machine, which decides on each request. Only the
// goroutine of run steps it. Other goroutines post events to the gate.
type gate struct {
	in   chan gateInput
	done chan struct{}
	now  func() time.Duration
	load *loadState
	// send sends a message of the machine to a peer. It must not block.
	send func(to admission.PeerID, m admission.Message)
	// onResume is called after a pause of the process. The inputs that it
	// returns are handled before the next event.
	onResume func() []gateInput
	// newMachine returns a machine with the current limits and peers. A warm
	// one has no slot ramp.
	newMachine func(warm bool) machine

	// Only the goroutine of run uses the fields below.
	current   machine
	requests  map[admission.RequestID]gateEntry
	draining  bool
	lastCheck time.Duration
}

// gateEntry is an open request with the machine that decides on it.
type gateEntry struct {
	request *request
	machine machine
}

func newGate() *gate {
	return &gate{
		in:       make(chan gateInput, gateQueueLen),
		done:     make(chan struct{}),
		requests: make(map[admission.RequestID]gateEntry),
	}
}

// post sends an input to the gate and blocks while its queue is full. It reports
// false if the gate has stopped.
func (g *gate) post(in gateInput) bool {
	select {
	case g.in <- in:
		return true
	case <-g.done:
		return false
	}
}

// tryPost sends an event to the gate. It reports false if the queue is full.
func (g *gate) tryPost(event admission.Event) bool {
	select {
	case g.in <- gateInput{event: event}:
		return true
	default:
		return false
	}
}

// run steps the machine until ctx ends. It can be called again after a panic.
// The open requests are then answered according to what is known about them, and
// a new machine takes over.
func (g *gate) run(ctx context.Context) {
	g.failOpenRequests()
	g.current = g.newMachine(g.draining)
	if g.draining {
		g.step(g.current, admission.Drain{})
	}
	g.lastCheck = g.now()
	interval := idleTickInterval
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-g.in:
			g.checkPause()
			g.handle(in)
		case <-ticker.C:
			g.checkPause()
			g.tick()
		}
		load := g.current.Load()
		g.load.setAdmission(load)
		if wanted := g.tickInterval(load); wanted != interval {
			interval = wanted
			ticker.Reset(interval)
		}
	}
}

// tickInterval returns the interval of ticks for a load. It is short also while
// a slot is reserved for a peer, because the machine offers the slot to others
// if the peer does not use it.
func (g *gate) tickInterval(load admission.Load) time.Duration {
	if len(g.requests) == 0 && load.Busy == 0 {
		return idleTickInterval
	}
	return admission.TickInterval
}

// failOpenRequests answers the requests of a machine that has panicked. The
// Answer carries the verdict MayHaveRun, which the request replaces by the
// verdict of its own attempts.
func (g *gate) failOpenRequests() {
	for id, entry := range g.requests {
		delete(g.requests, id)
		sendAction(entry.request, admission.Answer{ID: id})
	}
}

// checkPause detects that the process was paused. Its state is then outdated by
// the length of the pause and must be refreshed before the next decision.
func (g *gate) checkPause() {
	now := g.now()
	if now-g.lastCheck > admission.PauseGap {
		for _, in := range g.onResume() {
			g.handle(in)
		}
	}
	g.lastCheck = now
}

func (g *gate) handle(in gateInput) {
	if in.endDrain {
		g.endDrain()
		return
	}
	switch event := in.event.(type) {
	case admission.Arrive:
		g.requests[event.ID] = gateEntry{in.arrival, g.current}
		g.step(g.current, event)
	case admission.Cancel:
		g.stepFor(event.ID, event)
		delete(g.requests, event.ID)
	case admission.Done:
		g.stepFor(event.ID, event)
	case admission.PeerResult:
		g.stepFor(event.ID, event)
	case admission.Drain:
		g.drain()
	default:
		g.step(g.current, event)
	}
}

// stepFor steps the machine that decides on a request. Events of a request that
// has ended are dropped.
func (g *gate) stepFor(id admission.RequestID, event admission.Event) {
	if entry, ok := g.requests[id]; ok {
		g.step(entry.machine, event)
	}
}

// tick sends Tick to the current machine and to each machine that still has
// requests.
func (g *gate) tick() {
	g.step(g.current, admission.Tick{})
	if len(g.requests) == 0 {
		return
	}
	ticked := map[machine]bool{g.current: true}
	for _, entry := range g.requests {
		if !ticked[entry.machine] {
			ticked[entry.machine] = true
			g.step(entry.machine, admission.Tick{})
		}
	}
}

func (g *gate) step(m machine, event admission.Event) {
	for _, action := range m.Step(g.now(), event) {
		g.perform(action)
	}
}

func (g *gate) perform(action admission.Action) {
	switch action := action.(type) {
	case admission.Run:
		g.dispatch(action.ID, action, false)
	case admission.HandOver:
		g.dispatch(action.ID, action, false)
	case admission.Refuse:
		g.dispatch(action.ID, action, true)
	case admission.Answer:
		g.dispatch(action.ID, action, true)
	case admission.Send:
		g.send(action.To, action.Message)
	}
}

func (g *gate) dispatch(id admission.RequestID, action admission.Action, last bool) {
	entry, ok := g.requests[id]
	if !ok {
		return
	}
	sendAction(entry.request, action)
	if last {
		delete(g.requests, id)
	}
}

// sendAction sends a decision to the goroutine of a request without blocking. A
// full channel means that the machine broke its invariant of one open attempt
// per request.
func sendAction(rq *request, action admission.Action) {
	select {
	case rq.actions <- action:
	default:
		panic("admission decided on a request whose decision channel is full")
	}
}

func (g *gate) drain() {
	if !g.draining {
		g.draining = true
		g.step(g.current, admission.Drain{})
	}
}

// endDrain ends a drain. Drain is final for a machine, so a new machine takes
// the new requests and the old one keeps its own. While requests of both are
// running, the target may get more requests than it has slots. It then sheds or
// queues them.
func (g *gate) endDrain() {
	if g.draining {
		g.draining = false
		g.current = g.newMachine(true)
	}
}
