package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// HealthLimits configure a Health. A zero field takes its default.
type HealthLimits struct {
	// MinUnanswered is how many unanswered echoes make an agent suspect. Default 3.
	MinUnanswered int
	// MinSilence is how long an agent must have been silent to be suspect,
	// counted from its first unanswered echo. Default 300 ms.
	MinSilence time.Duration
	// ConfirmAfter is the wait for an answer before a further echo is sent by
	// ping, and between such pings. Without them an agent that few flows
	// choose would be found out only after its third lost flow. Default
	// 100 ms.
	ConfirmAfter time.Duration
	// ProbeInterval is the interval of pings to an excluded agent. Default 1 s.
	ProbeInterval time.Duration
	// PauseGap is the gap between ticks that counts as a pause of this
	// process. Default 1 s.
	PauseGap time.Duration
}

// The defaults of HealthLimits.
const (
	DefaultMinUnanswered = 3
	DefaultMinSilence    = 300 * time.Millisecond
	DefaultConfirmAfter  = 100 * time.Millisecond
	DefaultProbeInterval = time.Second
	DefaultPauseGap      = time.Second
)

func (l HealthLimits) withDefaults() HealthLimits {
	l.MinUnanswered = cmp.Or(l.MinUnanswered, DefaultMinUnanswered)
	l.MinSilence = cmp.Or(l.MinSilence, DefaultMinSilence)
	l.ConfirmAfter = cmp.Or(l.ConfirmAfter, DefaultConfirmAfter)
	l.ProbeInterval = cmp.Or(l.ProbeInterval, DefaultProbeInterval)
	l.PauseGap = cmp.Or(l.PauseGap, DefaultPauseGap)
	return l
}

// Probe is a Ping to send.
type Probe struct {
	Agent   netip.AddrPort
	Service uint32
}

// agentHealth is what one balancer knows about one agent.
type agentHealth struct {
	addr    netip.AddrPort
	service uint32
	// epoch is the pause epoch in which the counters were written.
	epoch      uint64
	unanswered int
	// since is when the first unanswered echo was sent.
	since  time.Duration
	pinged time.Duration
	// heard is when anything was last heard, for reports only.
	heard     time.Duration
	everHeard bool
	draining  bool
	// waiting says that the agent is in Health.waiting.
	waiting bool
}

// Health is a balancer's view of the health of agents. It is not safe for
// concurrent use.
//
// Invariants:
//   - An agent is suspect only if at least Echoes echoes were sent to it since
//     anything was heard from it, and the first of them at least Silence ago.
//   - Anything heard from an agent ends its suspicion at once.
//   - After a pause of this process no agent is suspect until it fails to
//     answer new echoes: the silence was that of this process.
//   - An excluded agent is sent at most one ping in ProbeEvery, and only when
//     a new flow would have chosen it.
type Health struct {
	limits HealthLimits
	agents map[netip.AddrPort]*agentHealth
	// waiting lists the agents with unanswered echoes, so that a tick does
	// not visit every agent.
	waiting []*agentHealth
	batch   []Probe
	now     time.Duration
	ticked  time.Duration
	epoch   uint64
}

// NewHealth returns a view in which every agent is healthy.
func NewHealth(limits HealthLimits) *Health {
	return &Health{limits: limits.withDefaults(), agents: make(map[netip.AddrPort]*agentHealth)}
}

// Choose returns the agent for a new flow from the candidates, the best one
// first: the first that is neither suspect nor draining, failing that the
// first that is not draining, failing that the first. It is false only
// without candidates. If probe is valid, the caller sends it a Ping.
func (h *Health) Choose(now time.Duration, candidates []netip.AddrPort) (agent, probe netip.AddrPort, ok bool) {
	h.advance(now)
	if len(candidates) == 0 {
		return agent, probe, false
	}
	fallback, haveFallback := candidates[0], false
	for _, c := range candidates {
		a := h.agents[c]
		if a == nil {
			return c, probe, true
		}
		h.renew(a)
		suspect := h.suspect(a)
		if !suspect && !a.draining {
			return c, probe, true
		}
		if !haveFallback && !a.draining {
			fallback, haveFallback = c, true
		}
		if !probe.IsValid() && h.now-a.pinged >= h.limits.ProbeInterval {
			a.pinged = h.now
			h.echo(a)
			probe = c
		}
	}
	return fallback, probe, true
}

// EchoSent records that an echo was sent to an agent with a new flow of a
// service.
func (h *Health) EchoSent(now time.Duration, service uint32, agent netip.AddrPort) {
	h.advance(now)
	a := h.agents[agent]
	if a == nil {
		a = &agentHealth{addr: agent, epoch: h.epoch, pinged: h.now - h.limits.ProbeInterval}
		h.agents[agent] = a
	}
	a.service = service
	h.renew(a)
	h.echo(a)
}

// Heard records an authenticated datagram from an agent. Agents that were
// never sent an echo are ignored, which bounds memory by the agents chosen.
func (h *Health) Heard(now time.Duration, agent netip.AddrPort, draining bool) {
	h.advance(now)
	a := h.agents[agent]
	if a == nil {
		return
	}
	a.epoch = h.epoch
	a.unanswered = 0
	a.heard, a.everHeard = h.now, true
	a.draining = draining
}

// Tick detects a pause of this process and returns the agents to ping because
// an echo is unanswered and too few were sent to tell whether the agent is
// alive. The result is valid until the next call.
func (h *Health) Tick(now time.Duration) []Probe {
	h.advance(now)
	h.ticked = h.now
	h.batch = h.batch[:0]
	kept := h.waiting[:0]
	for _, a := range h.waiting {
		h.renew(a)
		if a.unanswered == 0 || a.unanswered >= h.limits.MinUnanswered {
			a.waiting = false
			continue
		}
		kept = append(kept, a)
		if h.now-max(a.since, a.pinged) >= h.limits.ConfirmAfter {
			a.pinged = h.now
			a.unanswered++
			h.batch = append(h.batch, Probe{a.addr, a.service})
		}
	}
	clear(h.waiting[len(kept):])
	h.waiting = kept
	return h.batch
}

// Suspect says whether an agent is suspect.
func (h *Health) Suspect(now time.Duration, agent netip.AddrPort) bool {
	h.advance(now)
	a := h.agents[agent]
	if a == nil {
		return false
	}
	h.renew(a)
	return h.suspect(a)
}

// Usable says whether an agent is neither suspect nor draining.
func (h *Health) Usable(now time.Duration, agent netip.AddrPort) bool {
	a := h.agents[agent]
	return !h.Suspect(now, agent) && (a == nil || !a.draining)
}

// Retain forgets the agents for which keep returns false.
func (h *Health) Retain(keep func(netip.AddrPort) bool) {
	for addr := range h.agents {
		if !keep(addr) {
			delete(h.agents, addr)
		}
	}
	h.waiting = slices.DeleteFunc(h.waiting, func(a *agentHealth) bool { return !keep(a.addr) })
}

// AgentStatus is the health of one agent for reports.
type AgentStatus struct {
	Agent      netip.AddrPort `json:"agent"`
	Suspect    bool           `json:"suspect"`
	Draining   bool           `json:"draining"`
	Unanswered int            `json:"unanswered"`
	// HeardAgo is the time since anything was heard, negative if never.
	HeardAgo time.Duration `json:"heard_ago_ns"`
}

// Status reports every known agent, ordered by address.
func (h *Health) Status(now time.Duration) []AgentStatus {
	h.advance(now)
	out := make([]AgentStatus, 0, len(h.agents))
	for _, a := range h.agents {
		h.renew(a)
		s := AgentStatus{Agent: a.addr, Suspect: h.suspect(a), Draining: a.draining, Unanswered: a.unanswered, HeardAgo: -1}
		if a.everHeard {
			s.HeardAgo = h.now - a.heard
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b AgentStatus) int { return a.Agent.Compare(b.Agent) })
	return out
}

// advance detects a pause in every call, because after a pause a packet may
// be handled before the tick.
func (h *Health) advance(now time.Duration) {
	h.now = max(h.now, now)
	if h.now-h.ticked > h.limits.PauseGap {
		h.ticked = h.now
		h.epoch++
	}
}

// renew drops counters from before a pause.
func (h *Health) renew(a *agentHealth) {
	if a.epoch != h.epoch {
		a.epoch = h.epoch
		a.unanswered = 0
	}
}

func (h *Health) echo(a *agentHealth) {
	if a.unanswered == 0 {
		a.since = h.now
	}
	a.unanswered++
	if !a.waiting && a.unanswered < h.limits.MinUnanswered {
		a.waiting = true
		h.waiting = append(h.waiting, a)
	}
}

func (h *Health) suspect(a *agentHealth) bool {
	return a.unanswered >= h.limits.MinUnanswered && h.now-a.since >= h.limits.MinSilence
}
