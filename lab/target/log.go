package target

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Event is the type of a log entry.
type Event string

// The events.
const (
	// Listen is the first entry of a process.
	Listen Event = "listen"
	// Start says that a request begins to run.
	Start Event = "start"
	// End says that a request has ended; Complete tells how.
	End Event = "end"
	// Shed says that a request was refused and did not run.
	Shed Event = "shed"
)

// Entry is one line of a target's log. The load report uses these logs as
// evidence that does not depend on the system under test.
type Entry struct {
	// Time is the wall clock in nanoseconds since 1970.
	Time    int64  `json:"t"`
	Event   Event  `json:"event"`
	Service string `json:"service"`
	Target  string `json:"target"`
	// ID is the Request-Id header.
	ID string `json:"id,omitempty"`
	// Key is the Idempotency-Key header.
	Key    string `json:"key,omitempty"`
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Slot says that the request holds a slot.
	Slot bool `json:"slot,omitempty"`
	// WorkMS is the work of the request at speed 1, in an End entry.
	WorkMS float64 `json:"work_ms,omitempty"`
	// RunMS is how long the work took, in an End entry.
	RunMS float64 `json:"run_ms,omitempty"`
	// Complete says that the whole answer was written.
	Complete bool `json:"complete,omitempty"`
	// Slots and Speed describe the target in a Listen entry.
	Slots int     `json:"slots,omitempty"`
	Speed float64 `json:"speed,omitempty"`
}

// journal writes entries without a buffer, so that a killed target leaves
// what it ran in its log.
type journal struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newJournal(w io.Writer) *journal { return &journal{encoder: json.NewEncoder(w)} }

func (j *journal) write(e Entry) {
	j.mu.Lock()
	defer j.mu.Unlock()
	e.Time = time.Now().UnixNano()
	// A log that cannot be written shows as lost requests in the report.
	_ = j.encoder.Encode(e)
}
