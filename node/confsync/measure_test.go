package confsync_test

import (
	"bytes"
	"fmt"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
)

// counter returns the value of a counter of the process.
func (n *node) counter(name string) float64 {
	var out bytes.Buffer
	n.metrics.WritePrometheus(&out)
	for line := range strings.Lines(out.String()) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), name+" "); ok {
			v, _ := strconv.ParseFloat(value, 64)
			return v
		}
	}
	return 0
}

// traffic holds numbers of bytes that processes received and sent.
type traffic struct {
	reader, follower, mostSent float64
}

// traffic returns the mean bytes received per reader and per other process, and
// the bytes sent by the process that sent most.
func (f *testFleet) traffic() (t traffic) {
	var readers, followers float64
	for _, n := range f.nodes {
		received := n.counter("trefoilweir_config_received_bytes_total")
		if n.Status().Reader {
			t.reader += received
			readers++
		} else {
			t.follower += received
			followers++
		}
		t.mostSent = max(t.mostSent, n.counter("trefoilweir_config_sent_bytes_total"))
	}
	t.reader /= max(readers, 1)
	t.follower /= max(followers, 1)
	return t
}

// largeConfig returns a configuration with the given number of services, each
// with 16 targets. It is a scaled-down form of the configuration that is
// expected in two years.
func largeConfig(version uint64, services int) *config.Config {
	c := exampleConfig(version, 0)
	template := c.Services[0]
	c.Services = nil
	for i := range services {
		s := template
		s.Name, s.ID = fmt.Sprintf("service-%05d", i), uint32(i+1)
		s.Address = addrPort(192, i)
		for j := range 16 {
			n := i*16 + j
			s.Targets = append(s.Targets, config.Target{Name: fmt.Sprintf("service-%05d-%02d", i, j), DataCentre: fmt.Sprintf("dc-%02d", n%23),
				Agent: addrPort(10, n), Peer: addrPort(10, 1<<20+n), Slots: 7, Connections: 2000, Speed: 1, State: config.TargetActive})
		}
		c.Services = append(c.Services, s)
	}
	return c
}

// BenchmarkReconverge measures the time from the publication of a change of one
// target until the last process has adopted it. The processes communicate over
// loopback.
func BenchmarkReconverge(b *testing.B) {
	for _, size := range []struct{ nodes, dataCentres, services int }{{10, 3, 100}, {30, 3, 100}, {60, 3, 100}, {10, 1, 10_000}} {
		n := size.nodes
		b.Run(fmt.Sprintf("%d/services=%d", n, size.services), func(b *testing.B) {
			f := newFleet(b, n, size.dataCentres)
			c := largeConfig(1, size.services)
			f.platform.publishConfig(c)
			f.start(b, 0, n)
			f.awaitVersion(b, 1, 2*time.Minute)
			for _, node := range f.nodes {
				<-node.Ready()
			}
			time.Sleep(2 * time.Second)
			before, calls := f.traffic(), f.platform.calls.Load()
			var times []time.Duration
			for b.Loop() {
				next := *c
				next.Version++
				next.Services = slices.Clone(c.Services)
				i := int(next.Version) % len(next.Services)
				next.Services[i].Targets = slices.Clone(next.Services[i].Targets)
				next.Services[i].Targets[0].Slots++
				c = &next
				// The publisher's work is not measured.
				values := platformValues(c)
				start := time.Now()
				f.platform.put(values)
				f.awaitVersion(b, c.Version, 30*time.Second)
				times = append(times, time.Since(start))
			}
			slices.Sort(times)
			changes := float64(len(times))
			b.ReportMetric(times[len(times)/2].Seconds()*1000, "median-ms")
			b.ReportMetric(times[len(times)-1].Seconds()*1000, "max-ms")
			after := f.traffic()
			b.ReportMetric((after.reader-before.reader)/changes, "B/change/reader")
			b.ReportMetric((after.follower-before.follower)/changes, "B/change/follower")
			b.ReportMetric((after.mostSent-before.mostSent)/changes, "most-sent-B/change")
			b.ReportMetric(float64(f.platform.calls.Load()-calls)/changes, "platform-calls/change")
		})
	}
}

// BenchmarkMemory measures the live heap of one process per service, for
// configurations of services with 16 targets each.
func BenchmarkMemory(b *testing.B) {
	for _, services := range []int{100, 1000, 10_000} {
		b.Run(strconv.Itoa(services), func(b *testing.B) {
			for range b.N {
				f := newFleet(b, 1, 1)
				before := liveHeap()
				platformOnly := largeConfig(1, services)
				f.platform.publishConfig(platformOnly)
				platformOnly = nil
				published := liveHeap()
				start := time.Now()
				f.start(b, 0, 1)
				f.awaitVersion(b, 1, 2*time.Minute)
				took := time.Since(start)
				b.ReportMetric(float64(liveHeap()-published)/float64(services), "B/service")
				b.ReportMetric(float64(published-before)/float64(services), "JSON-B/service")
				b.ReportMetric(took.Seconds()*1000, "start-ms")
				f.nodes[0].stop()
			}
		})
	}
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestBytesPerChange checks that the bytes received for a change do not grow
// with the configuration. For a change of one target a process fetches only a
// few parts, whatever the number of services.
func TestBytesPerChange(t *testing.T) {
	f := newFleet(t, 6, 1)
	c := largeConfig(1, 600)
	f.platform.publishConfig(c)
	f.start(t, 0, 6)
	f.awaitVersion(t, 1, 30*time.Second)
	for _, node := range f.nodes {
		<-node.Ready()
	}
	before := f.traffic()
	next := *c
	next.Version = 2
	next.Services = slices.Clone(c.Services)
	next.Services[7].Targets = slices.Clone(next.Services[7].Targets)
	next.Services[7].Targets[3].State = config.TargetDraining
	f.platform.publishConfig(&next)
	f.awaitVersion(t, 2, 10*time.Second)
	after := f.traffic()
	// A reader receives the manifest and a part of about 32 KiB. The others
	// receive the same in compressed form.
	assert.Assert(t, after.reader-before.reader < 96<<10, "a reader received %.0f bytes", after.reader-before.reader)
	assert.Assert(t, after.follower-before.follower < 24<<10, "a follower received %.0f bytes", after.follower-before.follower)
}
