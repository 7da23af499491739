package load

import (
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"trefoilweir.example/core/verdict"
	"trefoilweir.example/lab/target"
)

func readEntries(t *testing.T, entries ...target.Entry) *Evidence {
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	assert.NilError(t, err)
	for _, e := range entries {
		assert.NilError(t, json.NewEncoder(file).Encode(e))
	}
	assert.NilError(t, file.Close())
	e, err := ReadEvidence(path)
	assert.NilError(t, err)
	return e
}

func secondsToNS(s float64) int64 { return int64(s * float64(time.Second)) }

func slotEntries(name, id string, from, to float64, workMS float64) []target.Entry {
	return []target.Entry{
		{Time: secondsToNS(from), Event: target.Start, Service: "booking", Target: name, ID: id, Slot: true},
		{Time: secondsToNS(to), Event: target.End, Service: "booking", Target: name, ID: id, Slot: true, WorkMS: workMS, RunMS: (to - from) * 1000},
	}
}

// Guards against an imbalance that ignores speed: the fast target does the same
// work in a quarter of the time.
func TestImbalance(t *testing.T) {
	entries := []target.Entry{
		{Event: target.Listen, Service: "booking", Target: "slow", Slots: 1, Speed: 1},
		{Event: target.Listen, Service: "booking", Target: "fast", Slots: 1, Speed: 4},
	}
	entries = append(entries, slotEntries("slow", "a", 0, 0.8, 800)...)
	entries = append(entries, slotEntries("fast", "b", 0, 0.8, 3200)...)
	e := readEntries(t, entries...)
	from, to := time.Unix(0, 0), time.Unix(1, 0)
	assert.Assert(t, math.Abs(e.imbalance(from, to, nil, equalWeight)-1) < 1e-9)
	// The utilizations are 0.8/0.4 and 0.8/1.6, their mean is 1.25.
	assert.Assert(t, math.Abs(e.imbalance(from, to, nil, speedWeight)-1.6) < 1e-9)
}

// Guards against late work that is not counted, and against counting work that
// begins within 5 s after the target is listed as leaving.
func TestLateWork(t *testing.T) {
	entries := append(slotEntries("booking-1", "early~1", 4.9, 9, 1), slotEntries("booking-1", "late~1", 5.1, 6, 1)...)
	report := Evaluate(1, Results{}, readEntries(t, entries...), map[string]time.Time{"booking-1": time.Unix(0, 0)})
	assert.Equal(t, report.LateWork, 1)
	assert.DeepEqual(t, report.Examples["late_work"], []string{"late"})
}

// Guards against a check that applies a not-run verdict only to its own attempt:
// it must hold for every attempt with the same ticket.
func TestNotRunCoversEveryAttemptWithTheTicket(t *testing.T) {
	run := target.Entry{Event: target.Start, ID: "r~1", Key: "k", Service: "booking"}
	result := Result{ID: "r", Service: "booking", Method: "POST", Outcome: Refused, Attempts: []Attempt{
		{ID: "r~1", Ticket: "k", Verdict: verdict.MayHaveRun, Sent: true},
		{ID: "r~2", Ticket: "k", Verdict: verdict.NotRun, Explicit: true, Sent: true},
	}}
	report := Evaluate(1, Results{Requests: []Result{result}}, readEntries(t, run), nil)
	assert.Equal(t, report.RanAfterNotRun, 1)
}
