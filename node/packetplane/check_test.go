package packetplane

import (
	"net"
	"net/netip"
	"testing"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/ownership"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/node/telemetry"
)

// Guards against a target that counts as not running because its agent cannot
// connect for another reason, and against a target that is not running and goes
// undetected.
func TestTargetCheck(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	notRunningCount := func() uint64 {
		p, err := newProcess(Options{Settings: &plane.Settings{IP: address.Addr(), TargetAddr: address}, Log: zap.NewNop(), Metrics: telemetry.NewMetrics()}, "agent")
		assert.NilError(t, err)
		defer p.peerConn.Close()
		a := &agent{Process: p, machine: ownership.New(0, ownership.Options{Self: address.Addr(), Target: address, Codec: flowtest.Codec{}, View: p.view})}
		a.checkTarget(t.Context())
		return p.Metrics.GetOrCreateCounter(`trefoilweir_decisions_total{kind="target_fresh",reason="not_running"}`).Get()
	}
	assert.Equal(t, notRunningCount(), uint64(0))
	assert.NilError(t, listener.Close())
	assert.Equal(t, notRunningCount(), uint64(1))
}
