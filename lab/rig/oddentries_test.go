package rig

import (
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// oddEntriesNet is the second octet of the addresses of this test's system. It is below
// those that the demos and the soak choose.
const oddEntriesNet = 13

// maxValueSize is the greatest size of a value in the store, in bytes.
const maxValueSize = 1 << 20

// buildProgram builds the program trefoilweir and returns its path.
func buildProgram(t *testing.T) string {
	program := filepath.Join(t.TempDir(), "trefoilweir")
	output, err := exec.Command("go", "build", "-o", program, "trefoilweir.example/node/cmd/trefoilweir").CombinedOutput()
	assert.NilError(t, err, string(output))
	return program
}

// putOddEntries stores entries that another writer may leave among those of the
// servers. address is that of a running target.
func putOddEntries(t *testing.T, s *System, round, address string) {
	const nesting = 200_000
	valid := entry{Service: "booking", Address: address, Zone: "a", Version: "v1", Slots: 7, State: "ready", StartUnixMS: time.Now().UnixMilli()}
	put := func(name string, value []byte) { s.Store.Put(entryPrefix+"odd-"+round+"-"+name, value) }
	for name, change := range map[string]func(map[string]any){
		"slots":      func(e map[string]any) { e["slots"] = math.MaxInt64 },
		"born":       func(e map[string]any) { e["born"] = int64(math.MaxInt64) },
		"warmup":     func(e map[string]any) { e["warmup-left-ms"] = math.MaxInt64 },
		"port":       func(e map[string]any) { e["address"] = "127.0.0.1:70000" },
		"no-port":    func(e map[string]any) { e["address"] = "127.0.0.1:0" },
		"multicast":  func(e map[string]any) { e["address"] = "224.0.0.1:8165" },
		"unnamed":    func(e map[string]any) { e["service"] = "stalls" },
		"incomplete": func(e map[string]any) { delete(e, "version") },
	} {
		data, err := json.Marshal(valid)
		assert.NilError(t, err)
		var fields map[string]any
		assert.NilError(t, json.Unmarshal(data, &fields))
		change(fields)
		data, err = json.Marshal(fields)
		assert.NilError(t, err)
		put(name, data)
	}
	put("nested", []byte(strings.Repeat("[", nesting)+strings.Repeat("]", nesting)))
	put("number", []byte(`{"slots":`+strings.Repeat("9", 100_000)+`}`))
	put("bytes", []byte{0xff, 0xfe, 0})
	s.Store.Put(entryPrefix, []byte("{}"))
	s.Store.Put(entryPrefix+"odd-large", fmt.Appendf(nil, `{"service":%q}`, strings.Repeat("s", maxValueSize-20)))
}

// Guards against processes that end, stop following the store, or stop serving the
// other targets because of odd entries of another writer. The entries are there when
// the processes start and come again under load, and a process that is killed reads
// them anew.
func TestOddEntriesOfAnotherWriter(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	o := DemoOptions(t.TempDir(), buildProgram(t), oddEntriesNet, 1)
	o.Zones, o.BalancersPerZone = o.Zones[:2], 1
	s := New(o)
	defer s.Stop()
	putOddEntries(t, s, "start", netip.AddrPortFrom(s.address(zoneOctet, 200), portTarget).String())
	assert.NilError(t, s.Start())
	load := Load{CallersPerZone: 6, LongFlowsPerZone: 2, MeanPause: 150 * time.Millisecond, WorkMS: 20, Timeout: 2500 * time.Millisecond, Retries: 2}
	report, err := s.runUnderLoad(load, func() error {
		time.Sleep(demoStepPause)
		for i, m := range s.Agents() {
			putOddEntries(t, s, fmt.Sprint(i), netip.AddrPortFrom(m.IP, portTarget).String())
		}
		time.Sleep(demoStepPause)
		s.Signal(s.Agents()[0], syscall.SIGKILL)
		time.Sleep(demoStepPause)
		added, removed := netip.MustParseAddrPort("198.18.0.4:443"), netip.MustParseAddrPort("198.18.0.3:443")
		return s.CheckRoutes(added, removed, "booking")
	})
	assert.NilError(t, err)
	assert.Assert(t, !report.Failed(), report.String()+"\n"+strings.Join(report.Notes, "\n"))
	assert.Assert(t, report.Requests > 0)
	const minServedShare = 0.95
	assert.Assert(t, float64(report.Finished) >= minServedShare*float64(report.Requests), report.String())
}
