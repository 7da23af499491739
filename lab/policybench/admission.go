package policybench

import (
	"fmt"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/verdict"
)

// admissionPolicy runs one admission machine per target.
type admissionPolicy struct {
	sim    *sim
	agents []*agent
	nextID admission.RequestID
}

type agent struct {
	policy   *admissionPolicy
	target   int
	id       admission.PeerID
	machine  *admission.Machine
	attempts map[admission.RequestID]*attempt
}

// attempt is a request at one agent. A handed-over request has a second attempt
// at the peer. The peer reports the result to origin, the agent that handed the
// request over. originID is the request's ID there.
type attempt struct {
	request  *request
	origin   *agent
	originID admission.RequestID
	shed     bool
}

func peerID(target int) admission.PeerID { return admission.PeerID(fmt.Sprintf("target-%d", target)) }

func newAdmissionPolicy(s *sim, bias config.Bias, handOver bool) *admissionPolicy {
	p := &admissionPolicy{sim: s}
	for t := range s.spec.Targets {
		a := &agent{policy: p, target: t, id: peerID(t), attempts: map[admission.RequestID]*attempt{}}
		a.machine = admission.New(limits(s.spec, t, bias, handOver), peersOf(s.spec, t), s.spec.Seed*1000+uint64(t))
		p.agents = append(p.agents, a)
		a.tick()
	}
	return p
}

func limits(spec Spec, target int, bias config.Bias, handOver bool) admission.Limits {
	l := admission.Limits{
		Slots: spec.Slots, Speed: spec.speed(target), QueuePerSlot: queuePerSlot,
		HandOver: handOver, Bias: bias,
	}
	if spec.Case == CaseCold && target == disturbedTarget {
		l.ColdStart = coldStartTime
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

func (p *admissionPolicy) arrive(r *request) {
	p.agents[homeTarget(p.sim.spec, r)].admit(&attempt{request: r}, 0)
}

func (p *admissionPolicy) done(target int, r *request, shed bool) {
	a := p.agents[target]
	id := a.findRequest(r)
	v := verdict.Ran
	if shed {
		v, a.attempts[id].shed = verdict.NotRun, true
	}
	a.step(admission.Done{ID: id, Verdict: v, Shed: shed})
}

// findRequest returns the ID of the request at this agent. It searches by
// identity, so the iteration order of the map does not affect the result.
func (a *agent) findRequest(r *request) admission.RequestID {
	for id, att := range a.attempts {
		if att.request == r {
			return id
		}
	}
	panic("policybench: completed request is not in progress at its agent")
}

func (a *agent) admit(att *attempt, grant admission.GrantID) {
	a.policy.nextID++
	a.attempts[a.policy.nextID] = att
	a.step(admission.Arrive{
		ID: a.policy.nextID, Deadline: att.request.arrivedAt + a.policy.sim.spec.Deadline, Repeatable: true, Grant: grant,
	})
}

func (a *agent) tick() {
	a.policy.sim.after(admission.TickInterval, func() {
		a.step(admission.Tick{})
		a.tick()
	})
}

func (a *agent) step(ev admission.Event) {
	for _, action := range a.machine.Step(a.policy.sim.now, ev) {
		a.perform(action)
	}
}

func (a *agent) perform(action admission.Action) {
	switch action := action.(type) {
	case admission.Run:
		a.countRetry(a.attempts[action.ID])
		a.policy.sim.run(a.target, a.attempts[action.ID].request)
	case admission.HandOver:
		a.countRetry(a.attempts[action.ID])
		a.handOver(action)
	case admission.Send:
		a.send(action)
	case admission.Answer:
		a.conclude(action.ID, action.Verdict)
	case admission.Refuse:
		a.conclude(action.ID, verdict.NotRun)
	}
}

// countRetry counts a retry if the target shed the previous run of the request.
func (a *agent) countRetry(att *attempt) {
	if att.shed {
		a.policy.sim.metrics.retries++
		att.shed = false
	}
}

func (a *agent) handOver(h admission.HandOver) {
	s := a.policy.sim
	s.metrics.handedOver++
	peer := a.agentByID(h.Peer)
	peerAttempt := &attempt{request: a.attempts[h.ID].request, origin: a, originID: h.ID}
	s.after(s.spec.Delay, func() { peer.admit(peerAttempt, h.Grant) })
}

func (a *agent) agentByID(id admission.PeerID) *agent {
	for _, b := range a.policy.agents {
		if b.id == id {
			return b
		}
	}
	panic("policybench: unknown peer " + string(id))
}

func (a *agent) send(m admission.Send) {
	s := a.policy.sim
	s.metrics.messages++
	msg := m.Message
	if s.spec.Case == CaseMisreport && a.target == disturbedTarget {
		msg.Load.Busy, msg.Load.Waiting, msg.Load.Utilization = 0, 0, 0
	}
	peer := a.agentByID(m.To)
	s.after(s.spec.Delay, func() { peer.step(admission.PeerMessage{From: a.id, Message: msg}) })
}

// conclude ends a request at this agent and reports its verdict to the agent
// that handed it over, if any.
func (a *agent) conclude(id admission.RequestID, v verdict.Verdict) {
	att := a.attempts[id]
	delete(a.attempts, id)
	s := a.policy.sim
	if att.origin == nil {
		s.conclude(att.request, v != verdict.Ran)
		return
	}
	s.after(s.spec.Delay, func() {
		if originAttempt := att.origin.attempts[att.originID]; originAttempt != nil {
			originAttempt.shed = att.shed
		}
		att.origin.step(admission.PeerResult{ID: att.originID, Peer: a.id, Verdict: v, Shed: att.shed})
	})
}
