package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
)

// sizes holds numbers of services, with 16 targets each. The system is
// expected to reach the last one in two years.
var sizes = []int{100, 1000, 10_000}

const targetsPerService = 16

// BenchmarkParse measures the time to parse and validate a configuration file.
func BenchmarkParse(b *testing.B) {
	for _, n := range sizes {
		data, err := json.Marshal(manyServices(b, n, targetsPerService))
		assert.NilError(b, err)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				_, err := config.Parse(data)
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data))/float64(n), "JSON-B/service")
		})
	}
}

// BenchmarkHeap measures the live heap of a configuration, per service without
// targets and per target.
func BenchmarkHeap(b *testing.B) {
	for _, targets := range []int{0, targetsPerService} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("targets=%d/services=%d", targets, n), func(b *testing.B) {
				for range b.N {
					m, parts := config.Split(manyServices(b, n, targets))
					before := liveHeap()
					c, err := config.Join(m, parts)
					assert.NilError(b, err)
					used := float64(liveHeap() - before)
					b.ReportMetric(used/float64(n), "B/service")
					if targets > 0 {
						b.ReportMetric(used/float64(n*targets), "B/target")
					}
					runtime.KeepAlive(c)
					runtime.KeepAlive(parts)
				}
			})
		}
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAssemble measures the CPU time that each process spends on a change
// of one target, and the bytes that it fetches, before compression.
func BenchmarkAssemble(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := manyServices(b, n, targetsPerService)
			var a config.Assembler
			type version struct {
				m     config.Manifest
				parts map[string][]byte
			}
			var versions [2]version
			for i := range versions {
				c.Version, c.Services[n/2].Targets[3].Slots = uint64(i+1), 5+i
				versions[i].m, versions[i].parts = config.Split(c)
			}
			fetched := 0
			assemble := func(v version) {
				_, err := a.Assemble(v.m, func(r config.PartRef) ([]byte, bool) {
					fetched += r.Bytes
					data, ok := v.parts[r.SHA256.String()]
					return data, ok
				})
				assert.NilError(b, err)
			}
			assemble(versions[0])
			fetched = 0
			changes := 0
			for b.Loop() {
				changes++
				assemble(versions[changes%2])
			}
			b.ReportMetric(float64(fetched)/float64(changes)+float64(len(versions[0].m.Encode())), "fetched-B/change")
			b.ReportMetric(float64(len(versions[0].parts)), "parts")
		})
	}
}
