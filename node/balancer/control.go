package balancer

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
)

const (
	// healthTickInterval is how often unanswered echoes are checked.
	healthTickInterval = 50 * time.Millisecond
	// reviewInterval is how often the list of VMs is read again and failed
	// attempts to open a service address are repeated.
	reviewInterval = time.Second
	// forgetInterval is how often the health of agents that are no longer
	// configured is dropped.
	forgetInterval = time.Minute
)

// control is the part that applies configurations and checks the health of
// agents.
type control struct {
	b          *Balancer
	leaving    []netip.AddrPort
	lastReview time.Duration
	lastForget time.Duration
	forceApply bool
}

// String returns the name of the part in logs.
func (c *control) String() string { return "control" }

// Serve applies changes until ctx ends.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(healthTickInterval)
	defer tick.Stop()
	c.forceApply = true
	for {
		// The channel is obtained before the configuration is read, so that no
		// change is missed.
		changes := c.b.source.Changes()
		c.review()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-changes:
				waiting = false
			case <-tick.C:
				c.tick()
			}
		}
	}
}

func (c *control) tick() {
	c.b.tickHealth()
	now := c.b.now()
	if now-c.lastReview >= reviewInterval {
		c.review()
	}
	if now-c.lastForget >= forgetInterval {
		c.lastForget = now
		c.b.forgetAgents()
	}
}

// review applies the configuration if it has changed, if the agents on leaving
// VMs have changed, or if a service address is still to be opened.
func (c *control) review() {
	c.lastReview = c.b.now()
	current := c.b.source.Current()
	if current == nil {
		return
	}
	leaving := leavingAgents(c.b.source.VMs())
	if !c.forceApply && current == c.b.currentConfig() && slices.Equal(leaving, c.leaving) && !c.b.hasUnopened() {
		return
	}
	c.leaving, c.forceApply = leaving, false
	c.b.apply(current, leaving)
}

func (b *Balancer) currentConfig() *config.Config {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.config
}

func (b *Balancer) hasUnopened() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.unopened > 0
}

// tickHealth advances the health view and pings the agents that have left an
// echo unanswered.
func (b *Balancer) tickHealth() {
	for _, p := range b.healthPings() {
		b.sendPing(p.Service, p.Agent)
	}
}

func (b *Balancer) healthPings() []placement.Probe {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	return slices.Clone(b.health.Tick(b.now()))
}

// apply makes a configuration take effect. It opens new service addresses. An
// address that is no longer configured stays open until shutdown for its
// established flows, but accepts no new ones.
//
// apply rebuilds the target lists only of services whose targets or leaving
// agents have changed, because a fleet has hundreds of times more services than
// a change concerns.
func (b *Balancer) apply(current *config.Config, leaving []netip.AddrPort) {
	allowed := networks(current.AgentNetworks)
	b.allowed.Store(&allowed)
	leavingSet := make(map[netip.AddrPort]bool, len(leaving))
	for _, a := range leaving {
		leavingSet[a] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	changedAgents, rebuildAll := symmetricDifference(b.appliedLeaving, leavingSet), b.appliedLeaving == nil
	// If the code below panics, this stays nil and the next run rebuilds every
	// list.
	b.appliedLeaving = nil
	wanted := make(map[entryKey]bool, len(current.Services))
	returns := b.latestEntries()
	b.unopened = 0
	for i := range current.Services {
		s := &current.Services[i]
		e := b.findOrOpenEntry(s)
		if e == nil {
			b.unopened++
			continue
		}
		wanted[e.key] = true
		returns[s.ID] = e
		if rebuildAll || !isSameSlice(e.configTargets, s.Targets) || anyTargetOn(s.Targets, changedAgents) {
			targets := targetsOf(s, leavingSet)
			e.targets.Store(&targets)
			e.configTargets = s.Targets
		}
		e.configured.Store(true)
	}
	for key, e := range b.entries {
		if !wanted[key] && e.configured.Swap(false) {
			e.targets.Store(new([]placement.Target))
			e.configTargets = nil
			b.log.Info("service address is no longer configured", zap.String("service", e.name), zap.Stringer("listen", e.key.listen))
		}
	}
	b.returnEntries.Store(&returns)
	b.appliedLeaving = leavingSet
	if b.config != current {
		b.config = current
		b.counters.configurations.Inc()
		b.log.Info("configuration applied", zap.Uint64("version", current.Version), zap.String("preset", current.Preset))
	}
}

// latestEntries returns, for every service ID, the entry that was opened last.
// The caller holds b.mu.
func (b *Balancer) latestEntries() map[uint32]*entry {
	latest := make(map[uint32]*entry, len(b.entries))
	for _, e := range b.entries {
		if known := latest[e.key.service]; known == nil || known.openOrder < e.openOrder {
			latest[e.key.service] = e
		}
	}
	return latest
}

// findOrOpenEntry returns the entry of a service. It opens the service address
// if necessary, and returns nil if that fails. The caller holds b.mu.
func (b *Balancer) findOrOpenEntry(s *config.Service) *entry {
	addr, ok := b.settings.Listen[s.Name]
	if !ok {
		addr = s.Address
	}
	key := entryKey{s.ID, addr}
	if e := b.entries[key]; e != nil {
		return e
	}
	conn, err := listen(addr)
	if err != nil {
		b.counters.openFailures.Inc()
		b.log.Error("service address cannot be opened", zap.String("service", s.Name), zap.Stringer("listen", addr), zap.Error(err))
		return nil
	}
	e := &entry{b: b, key: key, openOrder: len(b.entries), name: s.Name, conn: conn, counters: newServiceCounters(b.counters.set, s.Name)}
	e.targets.Store(new([]placement.Target))
	b.entries[key] = e
	b.supervisor.Add(e)
	b.log.Info("service address opened", zap.String("service", s.Name), zap.Stringer("listen", conn.LocalAddr()))
	return e
}

// forgetAgents drops the health of agents that are no longer configured.
func (b *Balancer) forgetAgents() {
	current := b.currentConfig()
	if current == nil {
		return
	}
	configured := make(map[netip.AddrPort]bool)
	for i := range current.Services {
		for j := range current.Services[i].Targets {
			configured[current.Services[i].Targets[j].Agent] = true
		}
	}
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	b.health.Retain(func(a netip.AddrPort) bool { return configured[a] })
}
