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
	// firstUnanswered is when the first unanswered echo was sent.
	firstUnanswered time.Duration
	lastPing        time.Duration
	// lastHeard is when anything was last lastHeard, for reports only.
	lastHeard time.Duration
	everHeard bool
	draining  bool
	// listed says that the agent is in Health.listed.
	listed bool
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
	// unconfirmed lists the agents with unanswered echoes, so that a tick does
	// not visit every agent.
	unconfirmed []*agentHealth
	probes      []Probe
	now         time.Duration
	lastTick    time.Duration
	epoch       uint64
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
		h.discardStale(a)
		suspect := h.suspect(a)
		if !suspect && !a.draining {
			return c, probe, true
		}
		if !haveFallback && !a.draining {
			fallback, haveFallback = c, true
		}
		if !probe.IsValid() && h.now-a.lastPing >= h.limits.ProbeInterval {
			a.lastPing = h.now
			h.countEcho(a)
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
		a = &agentHealth{addr: agent, epoch: h.epoch, lastPing: h.now - h.limits.ProbeInterval}
		h.agents[agent] = a
	}
	a.service = service
	h.discardStale(a)
	h.countEcho(a)
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
	a.lastHeard, a.everHeard = h.now, true
	a.draining = draining
}

// Tick detects a pause of this process and returns the agents to ping because
// an echo is unanswered and too few were sent to tell whether the agent is
// alive. The result is valid until the next call.
func (h *Health) Tick(now time.Duration) []Probe {
	h.advance(now)
	h.lastTick = h.now
	h.probes = h.probes[:0]
	kept := h.unconfirmed[:0]
	for _, a := range h.unconfirmed {
		h.discardStale(a)
		if a.unanswered == 0 || a.unanswered >= h.limits.MinUnanswered {
			a.listed = false
			continue
		}
		kept = append(kept, a)
		if h.now-max(a.firstUnanswered, a.lastPing) >= h.limits.ConfirmAfter {
			a.lastPing = h.now
			a.unanswered++
			h.probes = append(h.probes, Probe{a.addr, a.service})
		}
	}
	clear(h.unconfirmed[len(kept):])
	h.unconfirmed = kept
	return h.probes
}

// Suspect says whether an agent is suspect.
func (h *Health) Suspect(now time.Duration, agent netip.AddrPort) bool {
	h.advance(now)
	a := h.agents[agent]
	if a == nil {
		return false
	}
	h.discardStale(a)
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
	h.unconfirmed = slices.DeleteFunc(h.unconfirmed, func(a *agentHealth) bool { return !keep(a.addr) })
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
		h.discardStale(a)
		s := AgentStatus{Agent: a.addr, Suspect: h.suspect(a), Draining: a.draining, Unanswered: a.unanswered, HeardAgo: -1}
		if a.everHeard {
			s.HeardAgo = h.now - a.lastHeard
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
	if h.now-h.lastTick > h.limits.PauseGap {
		h.lastTick = h.now
		h.epoch++
	}
}

// discardStale drops counters from before a pause.
func (h *Health) discardStale(a *agentHealth) {
	if a.epoch != h.epoch {
		a.epoch = h.epoch
		a.unanswered = 0
	}
}

func (h *Health) countEcho(a *agentHealth) {
	if a.unanswered == 0 {
		a.firstUnanswered = h.now
	}
	a.unanswered++
	if !a.listed && a.unanswered < h.limits.MinUnanswered {
		a.listed = true
		h.unconfirmed = append(h.unconfirmed, a)
	}
}

func (h *Health) suspect(a *agentHealth) bool {
	return a.unanswered >= h.limits.MinUnanswered && h.now-a.firstUnanswered >= h.limits.MinSilence
}
