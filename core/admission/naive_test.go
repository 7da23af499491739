package admission

import (
	"fmt"
	"time"

	"trefoilweir.example/core/verdict"
)

// naive is an independent model of the rules in section 2.6 of the design,
// without indexes or policy. It follows one machine and reports the actions
// that break a rule.
type naive struct {
	limits   Limits
	draining bool
	now      time.Duration
	lastTick time.Duration
	requests map[RequestID]*naiveRequest
	ended    map[RequestID]bool
	grants   map[GrantID]naiveGrant
	arrivals []time.Duration
	retries  []time.Duration
}

type naiveRequest struct {
	fromPeer, grantValid, slotless, repeatable bool
	local, handedOver, cancelled, mayHaveRun   bool
	deadline                                   time.Duration
	runs, handOvers                            int
	lastVerdict                                verdict.Verdict
	shed                                       bool
	peer                                       PeerID
}

type naiveGrant struct {
	peer     PeerID
	token    uint64
	slotless bool
	expires  time.Duration
}

func newNaive(l Limits) *naive {
	return &naive{limits: l.withDefaults(), requests: map[RequestID]*naiveRequest{},
		ended: map[RequestID]bool{}, grants: map[GrantID]naiveGrant{}}
}

// applyEvent applies an event before the actions of the same step are checked.
func (n *naive) applyEvent(now time.Duration, ev Event) {
	n.now = now
	paused := now-n.lastTick > PauseGap
	for id, g := range n.grants {
		if paused || g.expires <= now {
			delete(n.grants, id)
		}
	}
	if _, ok := ev.(Tick); ok || paused {
		n.lastTick = now
	}
	switch ev := ev.(type) {
	case Arrive:
		n.arrive(ev)
	case Done:
		if r := n.requests[ev.ID]; r != nil && r.local {
			r.finish(ev.Verdict, ev.Shed)
		}
	case PeerResult:
		if r := n.requests[ev.ID]; r != nil && r.handedOver && r.peer == ev.Peer {
			r.finish(ev.Verdict, ev.Shed)
		}
	case Cancel:
		if r := n.requests[ev.ID]; r != nil {
			r.cancelled = true
		}
	case Drain:
		n.draining = true
	case Reconfigure:
		n.limits = ev.Limits.withDefaults()
	case PeerMessage:
		if ev.Message.Kind == Release {
			n.release(ev)
		}
	}
}

func (n *naive) release(ev PeerMessage) {
	for id, g := range n.grants {
		named := ev.Message.Grant == id || ev.Message.Token != 0 && ev.Message.Token == g.token
		if g.peer == ev.From && named {
			delete(n.grants, id)
		}
	}
}

func (n *naive) arrive(ev Arrive) {
	r := &naiveRequest{repeatable: ev.Repeatable, fromPeer: ev.Grant != 0, deadline: ev.Deadline}
	r.slotless = ev.Class == "ticker"
	if r.fromPeer {
		g, ok := n.grants[ev.Grant]
		r.grantValid, r.slotless = ok, ok && g.slotless
		delete(n.grants, ev.Grant)
	} else {
		n.arrivals = append(n.arrivals, n.now)
	}
	n.requests[ev.ID] = r
}

func (r *naiveRequest) finish(v verdict.Verdict, shed bool) {
	r.local, r.handedOver, r.lastVerdict, r.shed = false, false, v, shed
	r.mayHaveRun = r.mayHaveRun || v == verdict.MayHaveRun
}

func (n *naive) running(slotless bool) int {
	count := 0
	for _, r := range n.requests {
		if r.local && r.slotless == slotless {
			count++
		}
	}
	return count
}

func (n *naive) reservedSlots() int {
	count := 0
	for _, g := range n.grants {
		if !g.slotless {
			count++
		}
	}
	return count
}

// checkActions checks the actions of a step in order.
func (n *naive) checkActions(ev Event, actions []Action) error {
	for _, a := range actions {
		if err := n.checkAction(ev, a); err != nil {
			return fmt.Errorf("%#v after %#v: %w", a, ev, err)
		}
	}
	for id, r := range n.requests {
		if r.cancelled {
			return fmt.Errorf("request %d is still open after its Cancel", id)
		}
		if _, tick := ev.(Tick); tick && !r.local && !r.handedOver && r.deadline <= n.now {
			return fmt.Errorf("request %d still waits after its deadline", id)
		}
	}
	return nil
}

func (n *naive) checkAction(ev Event, a Action) error {
	switch a := a.(type) {
	case Run:
		return n.run(a)
	case HandOver:
		return n.handOver(a)
	case Answer:
		return n.answer(a)
	case Refuse:
		r := n.requests[a.ID]
		if r == nil || r.runs+r.handOvers > 0 {
			return fmt.Errorf("the request is refused after its end or after an attempt")
		}
		n.end(a.ID)
	case Send:
		return n.send(ev, a)
	}
	return nil
}

func (n *naive) end(id RequestID) {
	delete(n.requests, id)
	n.ended[id] = true
}

// checkAttempt checks the rules that Run and HandOver share.
func (n *naive) checkAttempt(id RequestID) (*naiveRequest, error) {
	r := n.requests[id]
	switch {
	case r == nil:
		return nil, fmt.Errorf("an attempt begins after the end of the request")
	case r.local || r.handedOver:
		return nil, fmt.Errorf("an attempt begins during another one")
	case r.deadline <= n.now:
		return nil, fmt.Errorf("an attempt begins at or after the deadline")
	case r.runs+r.handOvers == 0:
		return r, nil
	case r.lastVerdict == verdict.Ran || r.mayHaveRun && !r.repeatable:
		return nil, fmt.Errorf("an attempt follows one that ran or may have run")
	}
	if r.lastVerdict == verdict.MayHaveRun || r.shed {
		n.retries = append(n.retries, n.now)
		if got, limit := n.countInWindow(n.retries), max(n.countInWindow(n.arrivals)/10, 10); got > limit {
			return nil, fmt.Errorf("%d retries in 10 s, limit %d", got, limit)
		}
	}
	return r, nil
}

func (n *naive) countInWindow(times []time.Duration) int {
	count := 0
	for _, at := range times {
		if at > n.now-10*time.Second {
			count++
		}
	}
	return count
}

func (n *naive) run(a Run) error {
	r, err := n.checkAttempt(a.ID)
	switch {
	case err != nil:
		return err
	case r.fromPeer && !r.grantValid:
		return fmt.Errorf("a request of a peer runs without a valid grant")
	case n.draining && !r.fromPeer:
		return fmt.Errorf("a request of a caller starts after Drain")
	case r.runs > 0:
		return fmt.Errorf("a request runs here a second time")
	case !r.slotless && n.running(false) >= n.limits.Slots:
		return fmt.Errorf("a request starts without a free slot")
	}
	r.local = true
	r.runs++
	return nil
}

func (n *naive) handOver(a HandOver) error {
	r, err := n.checkAttempt(a.ID)
	switch {
	case err != nil:
		return err
	case r.fromPeer:
		return fmt.Errorf("a request of a peer is handed over again")
	case !n.limits.HandOver:
		return fmt.Errorf("a request is handed over although hand-over is disabled")
	case r.handOvers > 1 || r.handOvers == 1 && r.lastVerdict != verdict.NotRun:
		return fmt.Errorf("a request is handed over too often")
	}
	r.handedOver, r.peer = true, a.Peer
	r.handOvers++
	return nil
}

func (n *naive) answer(a Answer) error {
	r := n.requests[a.ID]
	if r == nil || r.runs+r.handOvers == 0 {
		return fmt.Errorf("the request is answered after its end or without an attempt")
	}
	if !r.cancelled && (r.local || r.handedOver) {
		return fmt.Errorf("the request is answered during an attempt")
	}
	want := r.lastVerdict
	if r.local || r.handedOver || r.mayHaveRun && r.lastVerdict == verdict.NotRun {
		want = verdict.MayHaveRun
	}
	if a.Verdict != want {
		return fmt.Errorf("verdict is %s, want %s", a.Verdict, want)
	}
	n.end(a.ID)
	return nil
}

func (n *naive) send(ev Event, a Send) error {
	id := a.Message.Grant
	if a.Message.Kind != Grant && a.Message.Kind != Offer || n.grants[id].expires != 0 {
		return nil
	}
	if n.draining || !n.limits.HandOver {
		return fmt.Errorf("a grant is issued while draining or with hand-over disabled")
	}
	g := naiveGrant{peer: a.To, token: a.Message.Token, expires: n.now + GrantLifetime}
	if p, ok := ev.(PeerMessage); ok && a.Message.Kind == Grant {
		g.slotless = p.Message.Slotless
	}
	n.grants[id] = g
	if a.Message.Kind == Offer && n.running(false)+n.reservedSlots() > n.limits.Slots {
		return fmt.Errorf("an offer is sent without a free slot")
	}
	return nil
}

// checkState compares the load and the queue of the machine with the model.
func (n *naive) checkState(m *Machine) error {
	l := m.Load()
	if want := n.running(false) + n.reservedSlots(); l.Busy != want {
		return fmt.Errorf("the load has %d busy slots, want %d", l.Busy, want)
	}
	if want := n.running(true); l.Connections != want {
		return fmt.Errorf("the load has %d connections, want %d", l.Connections, want)
	}
	if len(m.requests) != len(n.requests) {
		return fmt.Errorf("%d requests are open, want %d", len(m.requests), len(n.requests))
	}
	if len(m.pendingByToken) != pendingCount(m) {
		return fmt.Errorf("%d tokens are kept for %d pending Reserves", len(m.pendingByToken), pendingCount(m))
	}
	for _, r := range m.waiting {
		if r.hold && r.pending == nil {
			return fmt.Errorf("request %d is on hold without a pending Reserve", r.id)
		}
		if !r.hold && !r.slotless && m.localAllowed(r) && m.freeSlots() > 0 {
			return fmt.Errorf("request %d waits although a slot is free", r.id)
		}
	}
	return nil
}
