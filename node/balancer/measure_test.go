package balancer

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"testing"
	"time"

	"trefoilweir.example/core/config"
	"trefoilweir.example/core/wire"
)

// BenchmarkDatagramWithSockets measures the time that a balancer spends on a
// datagram in each direction, including system calls and delivery over
// loopback. It excludes the work of the caller and the agent.
func BenchmarkDatagramWithSockets(b *testing.B) {
	for _, kind := range []string{"first", "established"} {
		b.Run(kind, func(b *testing.B) {
			f, a, e := newManualFixture(b)
			datagram := initialPacket(1)
			if kind == "established" {
				datagram = append(shortPacket(connectionID(b, f.keys, a.addr(), 1)), make([]byte, 1170)...)
			}
			answer := sealDatagram(a.keys, wire.Header{Kind: wire.Return, Service: 1, Caller: localAddr(f.caller)}, string(datagram))
			in, out := newReader(), newReader()
			var buf [wire.MaxDatagramLen]byte
			timed := func(step func() error) time.Duration {
				begun := time.Now()
				if err := step(); err != nil {
					b.Fatal(err)
				}
				return time.Since(begun)
			}
			var forward, back time.Duration
			for b.Loop() {
				_, _ = f.caller.WriteToUDPAddrPort(datagram, f.address(0))
				forward += timed(func() error { return e.forwardNext(in) })
				_, _, _ = a.conn.ReadFromUDPAddrPort(buf[:])
				_, _ = a.conn.WriteToUDPAddrPort(answer, f.Status().DatagramAddress)
				back += timed(func() error { return f.receiveInternal(out) })
				_, _, _ = f.caller.ReadFromUDPAddrPort(buf[:])
			}
			b.ReportMetric(float64(forward.Nanoseconds())/float64(b.N), "ns/forwarded")
			b.ReportMetric(float64(back.Nanoseconds())/float64(b.N), "ns/returned")
		})
	}
}

// memoryInUse returns the sizes of the live heap and of the stacks, in bytes.
func memoryInUse() (heap, stack float64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// servicesConfig returns a configuration with the given number of services and
// of targets per service. Each service listens on a free port of the loopback
// address.
func servicesConfig(version uint64, count, targets int) *config.Config {
	all := make([]config.Service, count)
	for i := range all {
		agents := make([]netip.AddrPort, targets)
		for j := range agents {
			n := i*targets + j
			agents[j] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(n >> 16), byte(n >> 8), byte(n)}), 7000)
		}
		all[i] = service(uint32(i+1), agents...)
		all[i].Name = fmt.Sprintf("service-%05d", i)
	}
	return configuration(version, all...)
}

// BenchmarkMemoryPerServiceAddress measures the memory of a balancer per open
// service address without targets, and the additional memory per target. It
// excludes the parsed configuration and the kernel's memory for sockets. Run it
// with -benchtime 1x.
func BenchmarkMemoryPerServiceAddress(b *testing.B) {
	for _, count := range []int{500, 2000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			const targets = 16
			empty, full := servicesConfig(2, count, 0), servicesConfig(3, count, targets)
			f := newFixture(b, func(*testKeys) *config.Config { return servicesConfig(1, 1, 0) }).serve()
			heap, stack := memoryInUse()
			routines := runtime.NumGoroutine()
			f.source.publish(empty)
			f.waitFor("open", func(s Status) bool { return s.ConfigVersion == 2 && len(s.Services) == count })
			time.Sleep(time.Second)
			openHeap, openStack := memoryInUse()
			n := float64(count - 1)
			b.ReportMetric((openHeap-heap)/n, "heap-B/address")
			b.ReportMetric((openStack-stack)/n, "stack-B/address")
			b.ReportMetric(float64(runtime.NumGoroutine()-routines)/n, "goroutines/address")
			f.source.publish(full)
			f.waitFor("targets", func(s Status) bool { return s.ConfigVersion == 3 })
			fullHeap, _ := memoryInUse()
			b.ReportMetric((fullHeap-openHeap)/float64(count*targets), "heap-B/target")
			for i := range full.Services {
				for _, t := range full.Services[i].Targets {
					f.recordEchoSent(full.Services[i].ID, t.Agent)
				}
			}
			watched, _ := memoryInUse()
			b.ReportMetric((watched-fullHeap)/float64(count*targets), "heap-B/watched-agent")
			runtime.KeepAlive(empty)
			runtime.KeepAlive(full)
		})
	}
}

// BenchmarkApply measures the time in which a balancer applies a change of one
// service, or of one leaving VM. It excludes parsing.
func BenchmarkApply(b *testing.B) {
	for _, change := range []string{"service", "leaving"} {
		for _, count := range []int{100, 1000} {
			b.Run(fmt.Sprintf("%s/%d", change, count), func(b *testing.B) {
				f, _, _ := newManualFixture(b)
				current := servicesConfig(1, count, 16)
				changed := *current
				changed.Services = slices.Clone(current.Services)
				versions := []*config.Config{current, current}
				leaving := [][]netip.AddrPort{nil, nil}
				if change == "service" {
					changed.Services[7].Targets = slices.Clone(current.Services[7].Targets)
					versions[1] = &changed
				} else {
					leaving[1] = []netip.AddrPort{current.Services[7].Targets[0].Agent}
				}
				f.apply(current, nil)
				n := 0
				for b.Loop() {
					n++
					f.apply(versions[n%2], leaving[n%2])
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*count), "ns/service")
			})
		}
	}
}
