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

func evidence(t *testing.T, entries ...target.Entry) *Evidence {
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

func seconds(s float64) int64 { return int64(s * float64(time.Second)) }

func held(name, id string, from, to float64, workMS float64) []target.Entry {
	return []target.Entry{
		{Time: seconds(from), Event: target.Start, Service: "booking", Target: name, ID: id, Slot: true},
		{Time: seconds(to), Event: target.End, Service: "booking", Target: name, ID: id, Slot: true, WorkMS: workMS, RunMS: (to - from) * 1000},
	}
}

// Guards against an imbalance that ignores speed: the fast target does the
// same work in a quarter of the time.
func TestImbalance(t *testing.T) {
	entries := []target.Entry{
		{Event: target.Listen, Service: "booking", Target: "slow", Slots: 1, Speed: 1},
		{Event: target.Listen, Service: "booking", Target: "fast", Slots: 1, Speed: 4},
	}
	entries = append(entries, held("slow", "a", 0, 0.8, 800)...)
	entries = append(entries, held("fast", "b", 0, 0.8, 3200)...)
	e := evidence(t, entries...)
	from, to := time.Unix(0, 0), time.Unix(1, 0)
	assert.Assert(t, math.Abs(e.imbalance(from, to, nil, bySlots)-1) < 1e-9)
	// Figures are 0.8/0.4 and 0.8/1.6, their mean is 1.25.
	assert.Assert(t, math.Abs(e.imbalance(from, to, nil, byMeasuredSpeed)-1.6) < 1e-9)
}

// Guards against late work that stays unseen, and against counting work that
// begins within 5 s.
func TestLateWork(t *testing.T) {
	entries := append(held("booking-1", "early~1", 4.9, 9, 1), held("booking-1", "late~1", 5.1, 6, 1)...)
	report := Evaluate(1, Results{}, evidence(t, entries...), map[string]time.Time{"booking-1": time.Unix(0, 0)})
	assert.Equal(t, report.LateWork, 1)
	assert.DeepEqual(t, report.Examples["late_work"], []string{"late"})
}

// Guards against a refusal that is true only for the last attempt with a
// ticket.
func TestNotRunIsAboutTheTicket(t *testing.T) {
	run := target.Entry{Event: target.Start, ID: "r~1", Key: "k", Service: "booking"}
	result := Result{ID: "r", Service: "booking", Method: "POST", Outcome: Refused, Attempts: []Attempt{
		{ID: "r~1", Ticket: "k", Verdict: verdict.MayHaveRun, Sent: true},
		{ID: "r~2", Ticket: "k", Verdict: verdict.NotRun, Explicit: true, Sent: true},
	}}
	report := Evaluate(1, Results{Requests: []Result{result}}, evidence(t, run), nil)
	assert.Equal(t, report.RanAfterNotRun, 1)
}
