package confsync

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/distribution"
)

// newVMs returns a list of n VMs in 23 data centres. One VM in twelve is a
// balancer.
func newVMs(n int) []config.VM {
	vms := make([]config.VM, n)
	for i := range vms {
		address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
		vms[i] = config.VM{
			Name: fmt.Sprintf("vm-%06d", i), Role: config.RoleAgent, Service: fmt.Sprintf("service-%05d", i%10_000), DataCentre: fmt.Sprintf("dc-%02d", i%23),
			PeerAddress: netip.AddrPortFrom(address, 7200), DatagramAddress: netip.AddrPortFrom(address, 7100), State: config.VMLive,
		}
		if i%12 == 0 {
			vms[i].Role, vms[i].Service = config.RoleBalancer, ""
		}
	}
	return vms
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkVMListChange measures the cost of a replaced VM: the size of the full
// list and the time to decode it at a reader, the size of the change that is
// sent between peers, the time to apply it, and the time to compute the position
// in the tree. It also measures the memory of the list.
func BenchmarkVMListChange(b *testing.B) {
	for _, n := range []int{1000, 14_000, 174_000} {
		vms := newVMs(n)
		whole, err := json.Marshal(vms)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("decode/vms=%d", n), func(b *testing.B) {
			before := liveHeap()
			var list []config.VM
			for b.Loop() {
				list = nil
				assert.NilError(b, json.Unmarshal(whole, &list))
			}
			b.ReportMetric(float64(liveHeap()-before)/float64(n), "heap-B/VM")
			b.ReportMetric(float64(len(whole))/float64(n), "JSON-B/VM")
			runtime.KeepAlive(list)
		})
		before := vmList{revision: vmRevision{number: 1}, vms: vms, loaded: true}
		replaced := vmList{revision: vmRevision{number: 2}, vms: slices.Clone(vms), loaded: true}
		replaced.vms[n/2].Name = "vm-new"
		next := replaced.withDeltasSince(before)
		b.Run(fmt.Sprintf("delta/vms=%d", n), func(b *testing.B) {
			var data []byte
			for b.Loop() {
				data, _ = next.updateSince(before.revision).encode()
			}
			b.ReportMetric(float64(len(data)), "B/delta")
		})
		b.Run(fmt.Sprintf("apply/vms=%d", n), func(b *testing.B) {
			u := next.updateSince(before.revision)
			for b.Loop() {
				_ = before.apply(u).withDeltasSince(before)
			}
		})
		b.Run(fmt.Sprintf("place/vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				distribution.PositionOf(vms, "vm-000007", "dc-07")
			}
		})
	}
}
