package config_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
)

// sizes are numbers of services, with 16 targets each. The last is the size
// that the design expects in two years.
var sizes = []int{100, 1000, 10_000}

const targetsPerService = 16

// BenchmarkParse gives the time of a check of an operators' file.
func BenchmarkParse(b *testing.B) {
	for _, n := range sizes {
		data, err := json.Marshal(fleet(b, n, targetsPerService))
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

// BenchmarkHeap gives the live memory of a parsed configuration: per service
// without targets, and per target.
func BenchmarkHeap(b *testing.B) {
	for _, targets := range []int{0, targetsPerService} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("targets=%d/services=%d", targets, n), func(b *testing.B) {
				for range b.N {
					m, parts := config.Split(fleet(b, n, targets))
					before := live()
					c, err := config.Join(m, parts)
					assert.NilError(b, err)
					used := float64(live() - before)
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

func live() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkAssemble gives the CPU time that a change of one target costs each
// process, and the bytes that are fetched for it, uncompressed.
func BenchmarkAssemble(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := fleet(b, n, targetsPerService)
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
