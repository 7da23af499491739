package placement

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// HealthLimits are the settings of a Health. A zero field selects its default.
type HealthLimits struct {
	// MinUnanswered is the number of unanswered echoes from which an agent can
	// be suspect. Default 3.
	MinUnanswered int
	// MinSilence is the time from the first unanswered echo after which an
	// agent can be suspect. Default 300 ms.
	MinSilence time.Duration
	// ConfirmAfter is the time without an answer after which a ping sends a
	// further echo, and the interval between such pings. Without them, the
	// failure of an agent with few new flows would be detected only after its
	// third lost flow. Default 100 ms.
	ConfirmAfter time.Duration
	// ProbeInterval is the least interval between pings to an excluded agent,
	// which is one that is suspect or draining. Default 1 s.
	ProbeInterval time.Duration
	// PauseGap is the gap between ticks beyond which this process counts as
	// having been paused. Default 1 s.
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

// Probe is a Ping that the caller sends.
type Probe struct {
	Agent   netip.AddrPort
	Service uint32
}

// agentHealth is what one balancer knows about one agent.
type agentHealth struct {
	addr    netip.AddrPort
	service uint32
	// epoch is the value of Health.epoch when unanswered was last written.
	epoch      uint64
	unanswered int
	// firstUnanswered is the time at which the first unanswered echo was sent.
	firstUnanswered time.Duration
	lastPing        time.Duration
	// lastHeard is the time of the last datagram from the agent. Only Status
	// uses it.
	lastHeard time.Duration
	everHeard bool
	draining  bool
	// listed reports whether the agent is in Health.unconfirmed.
	listed bool
}

// Health tracks the health of agents as one balancer sees it. It is not safe for
// concurrent use.
//
// Invariants:
//   - An agent is suspect only if at least MinUnanswered echoes were sent to it
//     since its last datagram, and the first of them at least MinSilence ago.
//   - Any datagram from a suspect agent ends its suspicion at once.
//   - After a pause of this process, no agent is suspect until it leaves new
//     echoes unanswered, because the silence was caused by the pause.
//   - An excluded agent receives at most one ping per ProbeInterval, and only
//     if a new flow would otherwise have been sent to it.
type Health struct {
	limits HealthLimits
	agents map[netip.AddrPort]*agentHealth
	// unconfirmed lists the agents with unanswered echoes, but too few to be
	// suspect, so that a tick does not visit every agent.
	unconfirmed []*agentHealth
	probes      []Probe
	now         time.Duration
	lastTick    time.Duration
	epoch       uint64
}

// NewHealth returns a Health in which every agent is healthy.
func NewHealth(limits HealthLimits) *Health {
	return &Health{limits: limits.withDefaults(), agents: make(map[netip.AddrPort]*agentHealth)}
}

// Choose returns the agent for a new flow. The candidates are in order of
// preference. Choose returns the first one that is neither suspect nor draining,
// or else the first one that is not draining, or else the first one. ok is false
// only if there are no candidates. If probe is valid, the caller sends a Ping to
// it.
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

// EchoSent records that an echo was sent to an agent with the first datagram of
// a new flow of a service.
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

// Heard records an authenticated datagram from an agent. It ignores agents that
// were never sent an echo, so that only agents that were chosen use memory.
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

// Tick detects a pause of this process. It returns the pings to agents that have
// unanswered echoes, but too few to be suspect. The result is valid until the
// next call.
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

// Suspect reports whether an agent is suspect.
func (h *Health) Suspect(now time.Duration, agent netip.AddrPort) bool {
	h.advance(now)
	a := h.agents[agent]
	if a == nil {
		return false
	}
	h.discardStale(a)
	return h.suspect(a)
}

// Usable reports whether an agent is neither suspect nor draining.
func (h *Health) Usable(now time.Duration, agent netip.AddrPort) bool {
	a := h.agents[agent]
	return !h.Suspect(now, agent) && (a == nil || !a.draining)
}

// Retain removes the agents for which keep returns false.
func (h *Health) Retain(keep func(netip.AddrPort) bool) {
	for addr := range h.agents {
		if !keep(addr) {
			delete(h.agents, addr)
		}
	}
	h.unconfirmed = slices.DeleteFunc(h.unconfirmed, func(a *agentHealth) bool { return !keep(a.addr) })
}

// AgentStatus is the health of one agent, as reported by Status.
type AgentStatus struct {
	Agent      netip.AddrPort `json:"agent"`
	Suspect    bool           `json:"suspect"`
	Draining   bool           `json:"draining"`
	Unanswered int            `json:"unanswered"`
	// HeardAgo is the time since the last datagram from the agent. It is
	// negative if there was none.
	HeardAgo time.Duration `json:"heard_ago_ns"`
}

// Status returns the health of every known agent, ordered by address.
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

// advance moves the clock and detects a pause. Every call uses it, because after
// a pause a packet may be handled before the tick.
func (h *Health) advance(now time.Duration) {
	h.now = max(h.now, now)
	if h.now-h.lastTick > h.limits.PauseGap {
		h.lastTick = h.now
		h.epoch++
	}
}

// discardStale resets the count of unanswered echoes if it is from before a
// pause.
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
