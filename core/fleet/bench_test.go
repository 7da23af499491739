package fleet

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
)

// largeView returns a view with services of 16 targets each and one route for
// each service.
func largeView(services int) *View {
	v := New()
	d := &Delta{Revision: 1_000_000, ConfigRevision: 1, Config: &Config{Version: 1}}
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(s >> 8), byte(s)}), 443)
		d.Config.Routes = append(d.Config.Routes, Route{Name: name, Address: address, Service: name, Kind: Idempotent})
		for n := range 16 {
			i := s*16 + n
			t := &Target{ID: fmt.Sprintf("i-%08x", i), Service: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 80), DataCentre: "dc-1", Slots: 4, State: Ready, StartUnixMS: int64(i)}
			d.Changes = append(d.Changes, Change{ID: t.ID, Revision: uint64(i + 2), Target: t})
		}
	}
	v.Apply(0, d)
	return v
}

// BenchmarkChange measures the cost of a change of one target in a view of 1,000
// services: the time to apply it and to recompute the lists, and the size of
// the delta.
func BenchmarkChange(b *testing.B) {
	v := largeView(1000)
	revision := uint64(2_000_000)
	for b.Loop() {
		revision++
		t := *v.entries["i-00000005"].target
		t.WarmupMS = int(revision % 2000)
		d := Delta{Revision: revision, Changes: []Change{{ID: t.ID, Revision: revision, Target: &t}}}
		v.Apply(0, &d)
		v.Targets("service-0")
		if b.N == 1 {
			data, _ := json.Marshal(v.Since(0, Progress{Revision: revision - 1, Version: 1}))
			b.ReportMetric(float64(len(data)), "B/change")
		}
	}
}

// BenchmarkMemory reports the heap per target, with its share of a route.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapBytes()
		v := largeView(1000)
		v.Targets("service-0")
		b.ReportMetric(float64(heapBytes()-before)/16000, "B/target")
		runtime.KeepAlive(v)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}

// BenchmarkFollow measures the cost of a change at a process that distributes
// it: applying it, the delta for a peer and the Expire of each tick, with 16,000
// targets.
func BenchmarkFollow(b *testing.B) {
	v := largeView(1000)
	revision := uint64(2_000_000)
	for b.Loop() {
		revision++
		t := *v.entries["i-00000005"].target
		v.Apply(0, &Delta{Revision: revision, Changes: []Change{{ID: t.ID, Revision: revision, Target: &t}}})
		if d := v.Since(0, Progress{Revision: revision - 1, Version: 1}); len(d.Changes) != 1 {
			b.Fatal(len(d.Changes))
		}
		v.Expire(0)
	}
}
