package policybench

import (
	"fmt"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// own runs one admission machine per target.
type own struct {
	sim    *sim
	agents []*agent
	nextID admission.RequestID
}

type agent struct {
	own     *own
	target  int
	id      admission.PeerID
	machine *admission.Machine
	open    map[admission.RequestID]*handled
}

// handled is a request at one agent. A handed-over request has another one at
// the peer, which reports to origin.
type handled struct {
	request  *request
	origin   *agent
	originID admission.RequestID
	shed     bool
}

func peerID(target int) admission.PeerID { return admission.PeerID(fmt.Sprintf("target-%d", target)) }

func newOwn(s *sim, bias config.Bias, handOver bool) *own {
	o := &own{sim: s}
	for t := range s.spec.Targets {
		a := &agent{own: o, target: t, id: peerID(t), open: map[admission.RequestID]*handled{}}
		a.machine = admission.New(limits(s.spec, t, bias, handOver), peersOf(s.spec, t), s.spec.Seed*1000+uint64(t))
		o.agents = append(o.agents, a)
		a.tick()
	}
	return o
}

func limits(spec Spec, target int, bias config.Bias, handOver bool) admission.Limits {
	l := admission.Limits{
		Slots: spec.Slots, Speed: spec.speed(target), QueuePerSlot: queuePerSlot,
		HandOver: handOver, Bias: bias,
	}
	if spec.Case == CaseCold && target == disturbed {
		l.ColdStart = coldTime
	}
	return l
}

func peersOf(spec Spec, target int) []admission.Peer {
	var peers []admission.Peer
	for t := range spec.Targets {
		if t != target {
			peers = append(peers, admission.Peer{ID: peerID(t), Slots: spec.Slots, Speed: spec.speed(t)})
		}
	}
	return peers
}

func (o *own) arrive(r *request) {
	o.agents[home(o.sim.spec, r)].admit(&handled{request: r}, 0)
}

func (o *own) done(target int, r *request, shed bool) {
	a := o.agents[target]
	id := a.running(r)
	v := verdict.Ran
	if shed {
		v, a.open[id].shed = verdict.NotRun, true
	}
	a.step(admission.Done{ID: id, Verdict: v, Shed: shed})
}

// running finds the request at this agent. Only lookups by identity are made,
// so the order of the map does not matter.
func (a *agent) running(r *request) admission.RequestID {
	for id, h := range a.open {
		if h.request == r {
			return id
		}
	}
	panic("done for a request that is not open")
}

func (a *agent) admit(h *handled, grant admission.GrantID) {
	a.own.nextID++
	a.open[a.own.nextID] = h
	a.step(admission.Arrive{
		ID: a.own.nextID, Deadline: h.request.at + a.own.sim.spec.Deadline, Repeatable: true, Grant: grant,
	})
}

func (a *agent) tick() {
	a.own.sim.after(admission.TickInterval, func() {
		a.step(admission.Tick{})
		a.tick()
	})
}

func (a *agent) step(ev admission.Event) {
	for _, action := range a.machine.Step(a.own.sim.now, ev) {
		a.act(action)
	}
}

func (a *agent) act(action admission.Action) {
	switch action := action.(type) {
	case admission.Run:
		a.countRetry(a.open[action.ID])
		a.own.sim.run(a.target, a.open[action.ID].request)
	case admission.HandOver:
		a.countRetry(a.open[action.ID])
		a.handOver(action)
	case admission.Send:
		a.send(action)
	case admission.Answer:
		a.conclude(action.ID, action.Verdict)
	case admission.Refuse:
		a.conclude(action.ID, verdict.NotRun)
	}
}

// countRetry counts an attempt that follows load shedding.
func (a *agent) countRetry(h *handled) {
	if h.shed {
		a.own.sim.metrics.retries++
		h.shed = false
	}
}

func (a *agent) handOver(h admission.HandOver) {
	s := a.own.sim
	s.metrics.handedOver++
	peer := a.agent(h.Peer)
	there := &handled{request: a.open[h.ID].request, origin: a, originID: h.ID}
	s.after(s.spec.Delay, func() { peer.admit(there, h.Grant) })
}

func (a *agent) agent(id admission.PeerID) *agent {
	for _, b := range a.own.agents {
		if b.id == id {
			return b
		}
	}
	panic("unknown peer " + string(id))
}

func (a *agent) send(m admission.Send) {
	s := a.own.sim
	s.metrics.messages++
	msg := m.Message
	if s.spec.Case == CaseMisreport && a.target == disturbed {
		msg.Load.Busy, msg.Load.Waiting, msg.Load.Utilization = 0, 0, 0
	}
	peer := a.agent(m.To)
	s.after(s.spec.Delay, func() { peer.step(admission.PeerMessage{From: a.id, Message: msg}) })
}

// conclude ends a request at this agent, and reports to the agent it came
// from.
func (a *agent) conclude(id admission.RequestID, v verdict.Verdict) {
	h := a.open[id]
	delete(a.open, id)
	s := a.own.sim
	if h.origin == nil {
		s.conclude(h.request, v != verdict.Ran)
		return
	}
	s.after(s.spec.Delay, func() {
		if o := h.origin.open[h.originID]; o != nil {
			o.shed = h.shed
		}
		h.origin.step(admission.PeerResult{ID: h.originID, Peer: a.id, Verdict: v, Shed: h.shed})
	})
}
