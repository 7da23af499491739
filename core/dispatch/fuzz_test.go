package dispatch

import (
	"testing"
	"time"

	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// FuzzMachine guards against sequences of callers' packets and agents' datagrams
// that make a balancer panic.
func FuzzMachine(f *testing.F) {
	var script []byte
	add := func(from byte, b []byte) { script = append(append(script, from, byte(len(b))), b...) }
	for copies := range uint32(3) {
		add(0, openPacket(1, copies))
		for _, kind := range []relay.Kind{relay.Waiting, relay.Owner, relay.Refused} {
			m := relay.Message{Kind: kind, Service: relay.ServiceTag(fleettest.Service), Flow: fleettest.Key(1)}
			add(1, m.Append(nil))
		}
	}
	f.Add(script)
	f.Fuzz(func(t *testing.T, script []byte) {
		m := New(self, "dc", flowtest.Codec{}, fleettest.View(0, fleettest.Ready(3)...))
		var out plane.Out
		now := time.Duration(0)
		for len(script) > 2 {
			from, size := script[0], min(int(script[1]), len(script)-2)
			b := script[2 : 2+size]
			script = script[2+size:]
			if msg, err := relay.Decode(b); err == nil && from > 0 {
				m.FromPeer(now, fleettest.Agent(from%4), &msg, &out)
			} else {
				m.FromCaller(now, b, &out)
			}
			now += time.Duration(from) * time.Millisecond
			m.Tick(now, &out)
			out.Clear()
		}
	})
}
