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
	// tickEvery is the interval of the health tick.
	tickEvery = 50 * time.Millisecond
	// reviewEvery is the interval at which the list of VMs is read again and
	// addresses that could not be opened are tried again.
	reviewEvery = time.Second
	// forgetEvery is the interval at which the health of agents that left the
	// configuration is dropped.
	forgetEvery = time.Minute
)

// control applies configurations and ticks the health view.
type control struct {
	b          *Balancer
	leaving    []netip.AddrPort
	reviewed   time.Duration
	forgotten  time.Duration
	forceApply bool
}

// String names the part in logs.
func (c *control) String() string { return "control" }

// Serve runs until ctx ends.
func (c *control) Serve(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	c.forceApply = true
	for {
		// The channel is taken before the configuration is read, so that no
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
	if now-c.reviewed >= reviewEvery {
		c.review()
	}
	if now-c.forgotten >= forgetEvery {
		c.forgotten = now
		c.b.forgetAgents()
	}
}

// review applies the configuration if it, the leaving VMs or the set of open
// addresses have to change.
func (c *control) review() {
	c.reviewed = c.b.now()
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

// tickHealth sends the pings that confirm unanswered echoes.
func (b *Balancer) tickHealth() {
	for _, p := range b.healthPings() {
		b.ping(p.Service, p.Agent)
	}
}

func (b *Balancer) healthPings() []placement.Probe {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	return slices.Clone(b.health.Tick(b.now()))
}

// apply makes a configuration take effect. New addresses are opened; those
// that are no longer configured stay open for their flows until shutdown, but
// take no new ones.
func (b *Balancer) apply(current *config.Config, leaving []netip.AddrPort) {
	allowed := networks(current.AgentNetworks)
	b.allowed.Store(&allowed)
	left := make(map[netip.AddrPort]bool, len(leaving))
	for _, a := range leaving {
		left[a] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	wanted := make(map[entryKey]bool, len(current.Services))
	returns := b.latestEntries()
	b.unopened = 0
	for i := range current.Services {
		s := &current.Services[i]
		e := b.entryOf(s)
		if e == nil {
			b.unopened++
			continue
		}
		wanted[e.key] = true
		returns[s.ID] = e
		targets := targetsOf(s, left)
		e.targets.Store(&targets)
		e.configured.Store(true)
	}
	for key, e := range b.entries {
		if !wanted[key] && e.configured.Swap(false) {
			e.targets.Store(new([]placement.Target))
			b.log.Info("service address left the configuration", zap.String("service", e.name), zap.Stringer("listen", e.key.listen))
		}
	}
	b.returns.Store(&returns)
	if b.config != current {
		b.config = current
		b.counters.configurations.Inc()
		b.log.Info("configuration applied", zap.Uint64("version", current.Version), zap.String("preset", current.Preset))
	}
}

// latestEntries returns the entry of every service that was opened last.
// b.mu is held.
func (b *Balancer) latestEntries() map[uint32]*entry {
	latest := make(map[uint32]*entry, len(b.entries))
	for _, e := range b.entries {
		if known := latest[e.key.service]; known == nil || known.opened < e.opened {
			latest[e.key.service] = e
		}
	}
	return latest
}

// entryOf returns the entry of a service, opening its address if necessary,
// or nil if that fails. b.mu is held.
func (b *Balancer) entryOf(s *config.Service) *entry {
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
	e := &entry{b: b, key: key, opened: len(b.entries), name: s.Name, conn: conn, counters: newServiceCounters(b.counters.set, s.Name)}
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
