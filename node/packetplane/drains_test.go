package packetplane

import (
	"net/netip"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/dispatch"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/node/telemetry"
)

// Guards against a drain or an undrain without a log line, against one line for
// each tick, and against a request for a data centre that does not exist and that
// nobody notices. Guards against a status that does not name the drained ones.
func TestDrainsAreLogged(t *testing.T) {
	logs, lines := observer.New(zapcore.InfoLevel)
	p, err := newProcess(Options{Settings: &plane.Settings{IP: netip.MustParseAddr("127.0.0.1")}, Log: zap.New(logs), Metrics: telemetry.NewMetrics()}, "balancer")
	assert.NilError(t, err)
	defer p.peerConn.Close()
	target := fleettest.Target(0, fleet.Ready)
	p.view.Apply(0, &fleet.Delta{Revision: 3, Changes: []fleet.Change{{ID: target.ID, Revision: 3, Target: target}}})
	step := func(revision uint64, names ...string) (logged []string) {
		s := &fleet.Drains{Revision: revision}
		for _, name := range names {
			s.Requests = append(s.Requests, fleet.DrainRequest{DataCentre: name, Revision: revision})
		}
		p.view.ApplyDrains(0, s)
		p.logDrains()
		p.logDrains()
		for _, line := range lines.TakeAll() {
			logged = append(logged, line.Message+" "+line.ContextMap()["data_centre"].(string))
		}
		return logged
	}
	assert.DeepEqual(t, step(4, fleettest.DataCentre), []string{"data centre drained dc"})
	assert.DeepEqual(t, step(5, fleettest.DataCentre, "nowhere"), []string{"data centre drained nowhere", "drain request names no known data centre nowhere"})
	p.role = &balancer{Process: p, machine: dispatch.New(p.Settings.IP, "", flowtest.Codec{}, p.view)}
	assert.DeepEqual(t, p.status().Drained, []string{fleettest.DataCentre, "nowhere"})
	assert.Assert(t, p.status().DrainsComplete)
	assert.DeepEqual(t, step(6), []string{"data centre undrained dc", "data centre undrained nowhere"})
	assert.Equal(t, p.Metrics.GetOrCreateCounter("trefoilweir_drain_requests_unknown_total").Get(), uint64(1))
	assert.Equal(t, p.Metrics.GetOrCreateCounter(`trefoilweir_drain_changes_total{change="undrained"}`).Get(), uint64(2))
}
