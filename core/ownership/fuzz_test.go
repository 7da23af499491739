package ownership

import (
	"testing"
	"time"

	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

// FuzzMachine guards against sequences of datagrams from other processes and
// packets from the target that make an agent panic.
func FuzzMachine(f *testing.F) {
	key := fleettest.Key(1)
	open := flowtest.Encode(flow.Packet{Key: key, Open: true, Seq: 100})
	data := flowtest.Encode(flow.Packet{Key: key, Seq: 101, Ack: 5001, Len: 4})
	var script []byte
	add := func(from byte, b []byte) { script = append(append(script, from, byte(len(b))), b...) }
	for kind := relay.Open; kind <= relay.Redirect; kind++ {
		for _, body := range [][]byte{open, data} {
			m := relay.Message{Kind: kind, Service: tag, Origin: balancer, Home: fleettest.Agent(1), Flow: key, Body: body}
			add(byte(kind%4), m.Append(nil))
		}
	}
	add(firstTargetByte, flowtest.Encode(flow.Packet{Key: key, Open: true, Seq: 5000, Ack: 101}))
	add(firstTargetByte, flowtest.Encode(flow.Packet{Key: key, Returned: true, Seq: 101, Ack: 5001}))
	f.Add(true, script)
	f.Add(false, script)
	f.Fuzz(func(t *testing.T, firstStart bool, script []byte) {
		m := newFixture(t, firstStart).Machine
		var out plane.Out
		now := time.Duration(0)
		for len(script) > 2 {
			from, size := script[0], min(int(script[1]), len(script)-2)
			b := script[2 : 2+size]
			script = script[2+size:]
			switch msg, err := relay.Decode(b); {
			case from >= firstTargetByte:
				m.FromTarget(now, b, &out)
			case err == nil:
				m.FromPeer(now, fleettest.Agent(from%4), &msg, &out)
			}
			now += time.Duration(from) * ms
			m.Tick(now, &out)
			out.Clear()
		}
	})
}

// firstTargetByte is the lowest first byte of an entry in a script that is a
// packet of the target. Entries with a lower first byte are datagrams of
// agents.
const firstTargetByte = 200
