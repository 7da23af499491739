package agent

import (
	"context"
	"time"
	"unsafe"

	"go.uber.org/zap"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
)

// vmPollInterval is how often the VM list is checked for changes. The list
// itself lags by more.
const vmPollInterval = 500 * time.Millisecond

// sourceState identifies the configuration and VM list of a refresh. Both are
// immutable, so equal pointers mean equal content.
type sourceState struct {
	config *config.Config
	vms    *config.VM
	count  int
}

// followConfig applies changes of the configuration and of the VM list until
// ctx ends.
func (a *Agent) followConfig(ctx context.Context) error {
	ticker := time.NewTicker(vmPollInterval)
	defer ticker.Stop()
	for {
		// The channel must be read before the configuration, so that a change
		// in between is not missed.
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

// refresh applies the current configuration and VM list. It returns the inputs
// for the admission machine.
func (a *Agent) refresh() []gateInput {
	a.refreshMu.Lock()
	defer a.refreshMu.Unlock()
	c, vms := a.source.Current(), a.source.VMs()
	latest := sourceState{config: c, vms: unsafe.SliceData(vms), count: len(vms)}
	var inputs []gateInput
	if latest != a.applied {
		a.applied = latest
		inputs = a.applyConfig(c, vms)
	}
	return append(inputs, a.applyDrain()...)
}

// applyConfig replaces the view. If the service is no longer in the
// configuration, the agent drains with its last view.
func (a *Agent) applyConfig(c *config.Config, vms []config.VM) []gateInput {
	v, ok := newView(a.settings, c, vms)
	if !ok {
		a.log.Warn("service is not in the configuration; draining the agent")
		removed := *a.view()
		removed.draining = true
		v = &removed
	}
	a.currentView.Store(v)
	a.load.connectionLimit.Store(int64(v.target.Connections))
	return []gateInput{{event: admission.Reconfigure{Limits: v.limits, Peers: v.admissionPeers()}}}
}

// applyDrain starts or ends the drain if the wanted state differs from the
// current one.
func (a *Agent) applyDrain() []gateInput {
	wanted := a.stopping.Load() || a.view().draining
	if wanted == a.load.draining.Load() {
		return nil
	}
	a.load.draining.Store(wanted)
	if !wanted {
		a.log.Info("drain ended; accepting new requests")
		return []gateInput{{endDrain: true}}
	}
	a.log.Info("draining", zap.Bool("stopping", a.stopping.Load()))
	a.metrics.event("drain_started")
	a.drainStart.Store(int64(a.now()))
	return []gateInput{{event: admission.Drain{}}}
}

// resumed refreshes the state that became outdated while the process was
// paused.
func (a *Agent) resumed() []gateInput {
	a.metrics.event("process_paused")
	a.log.Warn("process was paused; refreshing its state")
	a.balancers.resumed(a.now())
	return a.refresh()
}
