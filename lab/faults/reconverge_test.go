package faults_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/lab/platform"
	"trefoilweir.example/lab/system"
)

const (
	// reconvergeChanges is the number of configuration changes.
	reconvergeChanges = 10
	// reconvergePause is the time between two changes.
	reconvergePause = time.Second
)

// Guards against a configuration change that reaches some of many processes
// late. The test logs `reconverge`, the time from publishing a version until the
// last process adopts it. It also logs the number of platform calls. This number
// must not grow with the number of processes.
func TestReconverge(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	s := system.New(layout.Plan{
		Dir: t.TempDir(), NetPrefix: system.RandomNet(), Balancers: 12, Bias: config.BiasBalance, LingerMS: 100,
		DataCentres: []string{"hr-north-a", "hr-north-b", "hr-north-c"},
		Services: []layout.Service{
			{Name: "booking", ID: 1, Targets: 18, Slots: 7, Speeds: []float64{1}},
			{Name: "gallery", ID: 2, Targets: 10, Slots: 7, Speeds: []float64{1}},
		},
	}, bin)
	t.Cleanup(s.Stop)
	assert.NilError(t, s.Start())
	time.Sleep(reconvergePause)
	callsBefore := platformCalls(t, s)
	published := make(map[uint64]time.Time)
	for i := range reconvergeChanges {
		version := uint64(2 + i)
		published[version] = time.Now()
		assert.NilError(t, s.Plan.SetPreset([]string{layout.PresetPeak, layout.PresetOrdinary}[i%2]))
		time.Sleep(reconvergePause)
	}
	assert.NilError(t, s.AwaitVersion(1+reconvergeChanges, activationLimit))
	calls := platformCalls(t, s) - callsBefore

	last, adopted := adoptions(t, s, published)
	const processes = 12 + 18 + 10
	var times []time.Duration
	for version := range published {
		assert.Equal(t, adopted[version], processes, "version %d", version)
		times = append(times, last[version])
	}
	slices.Sort(times)
	t.Logf("%d processes: reconverge median %s, maximum %s; %d platform calls for %d changes in %s",
		processes, times[len(times)/2].Round(time.Millisecond), times[len(times)-1].Round(time.Millisecond),
		calls, reconvergeChanges, reconvergeChanges*reconvergePause)
	assert.Assert(t, times[len(times)-1] < activationLimit)
}

func platformCalls(t *testing.T, s *system.System) uint64 {
	t.Helper()
	response, err := http.Get("http://" + s.Plan.PlatformAddress().String() + "/calls")
	assert.NilError(t, err)
	defer response.Body.Close()
	var calls platform.Calls
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&calls))
	return calls.Total
}

// adoptions reads the logs of all processes. For each published version, it
// returns the time until the last process adopted it, and the number of processes
// that adopted it.
func adoptions(t *testing.T, s *system.System, published map[uint64]time.Time) (map[uint64]time.Duration, map[uint64]int) {
	t.Helper()
	last, adopted := map[uint64]time.Duration{}, map[uint64]int{}
	files, err := filepath.Glob(s.Plan.Path(layout.LogDir, "*.log"))
	assert.NilError(t, err)
	for _, name := range files {
		file, err := os.Open(name)
		assert.NilError(t, err)
		for lines := bufio.NewScanner(file); lines.Scan(); {
			var line struct {
				Time    time.Time
				Message string
				Version uint64
			}
			if json.Unmarshal(lines.Bytes(), &line) != nil || line.Message != "configuration adopted" {
				continue
			}
			if begin, ok := published[line.Version]; ok {
				adopted[line.Version]++
				last[line.Version] = max(last[line.Version], line.Time.Sub(begin))
			}
		}
		assert.NilError(t, file.Close())
	}
	return last, adopted
}
