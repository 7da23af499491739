package dispatch

import (
	"runtime"
	"testing"
	"time"

	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

func manyKeys(n int) []flow.Key {
	keys := make([]flow.Key, n)
	for i := range keys {
		keys[i] = fleettest.Key(uint16(i))
		keys[i].CallerIP[1] = byte(i >> 16)
	}
	return keys
}

// BenchmarkEstablished measures the handling of a packet of a flow whose owner
// is known.
func BenchmarkEstablished(b *testing.B) {
	m := New(self, "dc", flowtest.Codec{}, fleettest.View(0, fleettest.Ready(16)...))
	var out plane.Out
	m.FromPeer(0, fleettest.Agent(1), &relay.Message{Kind: relay.Owner, Flow: fleettest.Key(1)}, &out)
	raw := dataPacket(1)
	b.ReportAllocs()
	for b.Loop() {
		out.Clear()
		m.FromCaller(time.Millisecond, raw, &out)
	}
}

// BenchmarkOpening measures the handling of an opening packet with 16 targets
// and of the owner's report.
func BenchmarkOpening(b *testing.B) {
	m := New(self, "dc", flowtest.Codec{}, fleettest.View(0, fleettest.Ready(16)...))
	var out plane.Out
	raw := openPacket(1, 0)
	for b.Loop() {
		out.Clear()
		m.FromCaller(time.Millisecond, raw, &out)
		m.FromPeer(time.Millisecond, fleettest.Agent(1), &relay.Message{Kind: relay.Owner, Flow: fleettest.Key(1)}, &out)
	}
}

// BenchmarkMemory reports the heap per flow in the table of owners.
func BenchmarkMemory(b *testing.B) {
	const flows = 100_000
	keys := manyKeys(flows)
	for b.Loop() {
		before := heapBytes()
		m := New(self, "dc", flowtest.Codec{}, fleettest.View(0, fleettest.Ready(16)...))
		var out plane.Out
		for _, k := range keys {
			m.FromPeer(0, fleettest.Agent(1), &relay.Message{Kind: relay.Owner, Flow: k}, &out)
		}
		b.ReportMetric(float64(heapBytes()-before)/flows, "B/flow")
		runtime.KeepAlive(m)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
