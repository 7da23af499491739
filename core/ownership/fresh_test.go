package ownership

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/fleet"
	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/relay"
)

// Guards against a storm of probes after the loss of all VMs. No restarted
// agent knew what its target held, so each packet of 1,975 lost flows went to
// every target of the service.
func TestTargetThatStartedWithItsAgent(t *testing.T) {
	const started = 1_000_000
	for name, c := range map[string]struct {
		startUnixMS int64
		warmup      int
		answer      relay.Kind
	}{
		"with the agent":                          {started - maxStartSkew.Milliseconds(), 1500, relay.NotOwner},
		"after the agent":                         {started + 3000, 1500, relay.NotOwner},
		"before the agent":                        {started - maxStartSkew.Milliseconds() - 1, 1500, relay.MaybeOwner},
		"time of day is off, not warming up":      {started + 5000, 0, relay.MaybeOwner},
		"long before the agent, still warming up": {started - 60_000, 100, relay.MaybeOwner},
	} {
		target := fleettest.Target(0, fleet.Ready)
		target.StartUnixMS, target.WarmupMS = c.startUnixMS, c.warmup
		v := fleettest.View(0, target, fleettest.Target(1, fleet.Ready))
		f := &fixture{T: t, Machine: New(0, Options{Self: fleettest.Agent(0), DataCentre: fleettest.DataCentre, Service: fleettest.Service,
			Target: netip.AddrPortFrom(fleettest.Agent(0), 80), StartedMS: started, Codec: flowtest.Codec{}, View: v})}
		f.advance(10 * time.Millisecond)
		f.balancerSends(relay.Search, flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 5001, Len: 10})
		assert.DeepEqual(t, f.sentKinds(), []relay.Kind{c.answer})
		assert.Equal(t, len(f.out.ToTarget), 0, name)
	}
}
