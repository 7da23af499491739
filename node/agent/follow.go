package agent

import (
	"context"
	"time"
	"unsafe"

	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
)

// vmInterval is how often the VM list is looked at. The list lags by more.
const vmInterval = 500 * time.Millisecond

// seen marks the configuration and VM list of the last refresh. Both are
// immutable, so equal pointers mean equal content.
type seen struct {
	config *config.Config
	vms    *config.VM
	count  int
}

// follow applies changes of the configuration and of the VM list.
func (a *Agent) follow(ctx context.Context) error {
	ticker := time.NewTicker(vmInterval)
	defer ticker.Stop()
	for {
		// The channel must be taken before the configuration, so that a
		// change in between is not missed.
		changes := a.source.Changes()
		for _, in := range a.refresh() {
			a.gate.post(in)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changes:
		case <-ticker.C:
		}
	}
}

// refresh takes over the configuration and VM list in force, and returns what
// the gate has to know.
func (a *Agent) refresh() []gateInput {
	a.refreshing.Lock()
	defer a.refreshing.Unlock()
	c, vms := a.source.Current(), a.source.VMs()
	now := seen{config: c, vms: unsafe.SliceData(vms), count: len(vms)}
	var inputs []gateInput
	if now != a.seen {
		a.seen = now
		inputs = a.adopt(c, vms)
	}
	return append(inputs, a.applyDrain()...)
}

// adopt makes a new view. A service that is no longer in the configuration
// drains with its last view.
func (a *Agent) adopt(c *config.Config, vms []config.VM) []gateInput {
	v, ok := newView(a.settings, c, vms)
	if !ok {
		a.log.Warn("service is not in the configuration, draining")
		removed := *a.view()
		removed.draining = true
		v = &removed
	}
	a.current.Store(v)
	a.load.limit.Store(int64(v.target.Connections))
	return []gateInput{{event: admission.Reconfigure{Limits: v.limits, Peers: v.admissionPeers()}}}
}

// applyDrain compares whether the agent should drain with whether it does.
func (a *Agent) applyDrain() []gateInput {
	wanted := a.stopping.Load() || a.view().draining
	if wanted == a.load.draining.Load() {
		return nil
	}
	a.load.draining.Store(wanted)
	if !wanted {
		a.log.Info("taking new work again")
		return []gateInput{{endDrain: true}}
	}
	a.log.Info("draining", zap.Bool("stopping", a.stopping.Load()))
	a.metrics.event("drain_started")
	a.drainStart.Store(int64(a.now()))
	return []gateInput{{event: admission.Drain{}}}
}

// resumed refreshes what a pause of the process has made stale.
func (a *Agent) resumed() []gateInput {
	a.metrics.event("process_paused")
	a.log.Warn("the process was paused")
	a.balancers.resumed(a.now())
	return a.refresh()
}
