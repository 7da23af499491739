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
	// Listen is the first entry of a target process.
	Listen Event = "listen"
	// Start means that a request starts to run.
	Start Event = "start"
	// End means that a request has ended. Entry.Complete reports whether its
	// answer was written.
	End Event = "end"
	// Shed means that a request got no slot and did not run.
	Shed Event = "shed"
)

// Entry is one line of a target's log. The report of package load uses these
// logs as evidence that does not depend on the system under test.
type Entry struct {
	// Time is the wall-clock time in nanoseconds since 1970.
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
	// Slot reports whether the request holds a slot.
	Slot bool `json:"slot,omitempty"`
	// WorkMS is the duration of the completed work at speed 1, in an End entry.
	WorkMS float64 `json:"work_ms,omitempty"`
	// RunMS is the measured duration of the completed work, in an End entry.
	RunMS float64 `json:"run_ms,omitempty"`
	// Complete reports whether the whole answer was written.
	Complete bool `json:"complete,omitempty"`
	// Slots and Speed describe the target in a Listen entry.
	Slots int     `json:"slots,omitempty"`
	Speed float64 `json:"speed,omitempty"`
}

// eventLog writes entries without a buffer, so that the log of a killed target
// is complete up to its last entry.
type eventLog struct {
	mu      sync.Mutex
	encoder *json.Encoder
}

func newEventLog(w io.Writer) *eventLog { return &eventLog{encoder: json.NewEncoder(w)} }

func (l *eventLog) write(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.Time = time.Now().UnixNano()
	// An entry that cannot be written becomes visible in the load report as a
	// lost request.
	_ = l.encoder.Encode(e)
}
