package ownership

import (
	"net/netip"
	"runtime"
	"testing"
	"time"

	"trefoilweir.example/core/fleet/fleettest"
	"trefoilweir.example/core/flow"
	"trefoilweir.example/core/flow/flowtest"
	"trefoilweir.example/core/plane"
	"trefoilweir.example/core/relay"
)

func benchMachine(targets byte) *Machine {
	m := New(0, Options{Self: fleettest.Agent(0), DataCentre: "dc", Service: "booking", Target: netip.AddrPortFrom(fleettest.Agent(0), 80), FirstStart: true, Codec: flowtest.Codec{}, View: fleettest.View(0, fleettest.Ready(targets)...)})
	var out plane.Out
	for n := byte(1); n < targets; n++ {
		m.FromPeer(0, fleettest.Agent(n), &relay.Message{Kind: relay.Heartbeat, Service: tag, Load: relay.Load{Flags: relay.FlagAgent, Slots: 4}}, &out)
	}
	return m
}

// BenchmarkPacket measures the handling of a packet of a flow that the target
// holds.
func BenchmarkPacket(b *testing.B) {
	m := benchMachine(16)
	var out plane.Out
	open := flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 100})
	m.FromPeer(0, balancer, &relay.Message{Kind: relay.Place, Service: tag, Origin: balancer, Body: open}, &out)
	m.FromTarget(0, flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Open: true, Seq: 5000, Ack: 101}), &out)
	raw := flowtest.Encode(flow.Packet{Key: fleettest.Key(1), Seq: 101, Ack: 5001, Len: 10})
	msg := &relay.Message{Kind: relay.Packet, Service: tag, Origin: balancer, Body: raw}
	for b.Loop() {
		out.Clear()
		m.FromPeer(time.Millisecond, balancer, msg, &out)
	}
}

// BenchmarkPlace measures the placement of a flow among 16 targets.
func BenchmarkPlace(b *testing.B) {
	m := benchMachine(16)
	var out plane.Out
	seq := uint32(0)
	for b.Loop() {
		out.Clear()
		seq++
		raw := flowtest.Encode(flow.Packet{Key: fleettest.Key(uint16(seq)), Open: true, Seq: seq})
		m.FromPeer(time.Millisecond, balancer, &relay.Message{Kind: relay.Open, Service: tag, Origin: balancer, Body: raw}, &out)
		m.FromPeer(time.Millisecond, fleettest.Agent(1), &relay.Message{Kind: relay.Owner, Service: tag, Flow: fleettest.Key(uint16(seq)), Load: relay.Load{Flags: relay.FlagAgent, Slots: 4}}, &out)
	}
}

// BenchmarkMemory reports the heap that an open flow and a record take.
func BenchmarkMemory(b *testing.B) {
	const flows = 20_000
	for b.Loop() {
		before := heap()
		m := benchMachine(16)
		var out plane.Out
		for n := range uint16(flows) {
			out.Clear()
			m.FromTarget(0, flowtest.Encode(flow.Packet{Key: fleettest.Key(n), Seq: 5000}), &out)
		}
		after := heap()
		b.ReportMetric(float64(after-before)/flows, "B/flow")
		for n := range uint16(flows) {
			out.Clear()
			m.FromPeer(0, fleettest.Agent(1), &relay.Message{Kind: relay.Owner, Service: tag, Flow: fleettest.Key(n)}, &out)
		}
		b.ReportMetric(float64(heap()-after)/flows, "B/record")
		runtime.KeepAlive(m)
	}
}

func heap() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
