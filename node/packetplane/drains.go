package packetplane

import (
	"slices"

	"go.uber.org/zap"
	"trefoilweir.example/node/telemetry"
)

// logDrains logs and counts which data centres were drained or put back into
// service since the last call. The caller holds the lock.
func (p *Process) logDrains() {
	drained := p.view.DrainedDataCentres()
	if slices.Equal(drained, p.drained) {
		return
	}
	for _, name := range drained {
		if !slices.Contains(p.drained, name) {
			p.logDrain("drained", name)
			if !p.view.HasDataCentre(name) {
				p.Metrics.GetOrCreateCounter("trefoilweir_drain_requests_unknown_total").Inc()
				p.Log.Warn("drain request names no known data centre", zap.String("data_centre", name))
			}
		}
	}
	for _, name := range p.drained {
		if !slices.Contains(drained, name) {
			p.logDrain("undrained", name)
		}
	}
	p.drained = drained
}

func (p *Process) logDrain(change, name string) {
	p.Metrics.GetOrCreateCounter(`trefoilweir_drain_changes_total{change="` + change + `"}`).Inc()
	p.Log.Info("data centre "+change, zap.String("data_centre", name), zap.Uint64("epoch", p.view.Progress().Epoch), zap.Uint64("revision", p.view.Revision()),
		telemetry.Version(p.view.Version()))
}
