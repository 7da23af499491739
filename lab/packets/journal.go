package packets

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// A flow counts as broken if, for at least misdeliveryWindow, no packet
	// reaches its own target and at least misdeliveryLimit packets reach others.
	misdeliveryWindow = 2 * time.Second
	misdeliveryLimit  = 3
	// maxNotes bounds the number of violations that are kept with their text.
	maxNotes = 50
)

// Journal records what callers and targets observe, and detects violations of
// the guarantees of the system. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	runs map[string][]run
	// owners holds the target of each flow that has been opened.
	owners map[flowKey]*ownedFlow
	counts map[Violation]int
	notes  []string
	// drainLimit is the time after the start of a drain during which a target
	// may still receive new flows.
	drainLimit time.Duration
}

type run struct{ target, service string }

type ownedFlow struct {
	target string
	alive  bool
	closed bool
	// misdelivered counts the packets that reached other targets since the
	// flow's own target last received one. since is the time of the first.
	misdelivered int
	since        time.Time
}

// Violation is a kind of violated guarantee.
type Violation string

// Kinds of violations.
const (
	// RanTwice: a request that must not be repeated ran more than once.
	RanTwice Violation = "doubled"
	// RanAfterNotRun: a request ran although its caller was told that it did not.
	RanAfterNotRun Violation = "ran_after_not_run"
	// Misrouted: a request ran at a target of another service.
	Misrouted Violation = "misrouted"
	// WrongAnswer: a caller received an answer that does not belong to its
	// request.
	WrongAnswer Violation = "wrong_answer"
	// BrokenFlow: an open flow was reset while its target held it, or its
	// packets went to other targets.
	BrokenFlow Violation = "broken_flow"
	// LateFlow: a target received a new flow too long after its drain began.
	LateFlow Violation = "late_flow"
	// InvalidPacket: a caller or target received a packet that is malformed or
	// was altered on the way.
	InvalidPacket Violation = "forged"
	// OldRoute: a request was handled by an outdated version of the routes.
	OldRoute Violation = "old_route"
)

// NewJournal returns an empty journal. A target that drains may receive new
// flows for drainLimit.
func NewJournal(drainLimit time.Duration) *Journal {
	return &Journal{runs: map[string][]run{}, owners: map[flowKey]*ownedFlow{}, counts: map[Violation]int{}, drainLimit: drainLimit}
}

// RecordViolation counts a violation and keeps its text.
func (j *Journal) RecordViolation(v Violation, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.record(v, format, arguments...)
}

func (j *Journal) record(v Violation, format string, arguments ...any) {
	j.counts[v]++
	if len(j.notes) < maxNotes {
		j.notes = append(j.notes, time.Now().Format("15:04:05.000 ")+string(v)+": "+fmt.Sprintf(format, arguments...))
	}
}

// Violations returns the number of violations of each kind, and the texts of
// the first maxNotes of them.
func (j *Journal) Violations() (map[Violation]int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, f := range j.owners {
		j.checkMisdelivery(key, f)
	}
	return maps.Clone(j.counts), append([]string(nil), j.notes...)
}

func (j *Journal) recordInvalidPacket(at string, raw []byte) {
	j.RecordViolation(InvalidPacket, "%s received invalid bytes % x", at, raw[:min(len(raw), headerSize)])
}

func (j *Journal) flowAccepted(target, service string, key flowKey, draining bool, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if draining && time.Since(since) > j.drainLimit {
		j.record(LateFlow, "target %s of service %s received new flow %s %s after its drain began", target, service, key, time.Since(since))
	}
}

func (j *Journal) flowOpened(target string, key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owners[key] = &ownedFlow{target: target, alive: true}
}

func (j *Journal) packetDelivered(key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f := j.owners[key]; f != nil {
		f.misdelivered = 0
	}
}

// packetMisdelivered records a packet that reached a target that does not hold
// its flow.
func (j *Journal) packetMisdelivered(target string, key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.owners[key]
	if f == nil || !f.alive || f.closed || f.target == target {
		return
	}
	if f.misdelivered == 0 {
		f.since = time.Now()
	}
	f.misdelivered++
	j.checkMisdelivery(key, f)
}

// checkMisdelivery records a violation if the packets of a flow have reached
// only other targets for misdeliveryWindow.
func (j *Journal) checkMisdelivery(key flowKey, f *ownedFlow) {
	if f.alive && !f.closed && f.misdelivered >= misdeliveryLimit && time.Since(f.since) >= misdeliveryWindow {
		j.record(BrokenFlow, "%d packets of flow %s, which target %s holds, reached other targets within %s", f.misdelivered, key, f.target, time.Since(f.since))
		f.misdelivered = 0
	}
}

// flowClosing records that the target of a flow closes it.
func (j *Journal) flowClosing(key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f := j.owners[key]; f != nil {
		f.closed = true
	}
}

func (j *Journal) targetStopped(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, f := range j.owners {
		if f.target == target {
			f.alive = false
		}
	}
}

func (j *Journal) requestStarted(target, service string, r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.ID] = append(j.runs[r.ID], run{target, service})
	if service != r.Service {
		j.record(Misrouted, "request %s for service %s ran at target %s of service %s", r.ID, r.Service, target, service)
	}
}

// RunCount returns how many times targets started a request.
func (j *Journal) RunCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.runs[id])
}

func (j *Journal) resetWhileIdle(key flowKey, byTarget bool) { j.CheckReset(key, byTarget) }

// CheckReset records a violation if a flow was reset while its target held it.
// A reset by the target itself is none.
func (j *Journal) CheckReset(key flowKey, byTarget bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.owners[key]
	if byTarget || f == nil || !f.alive || f.closed {
		return
	}
	j.record(BrokenFlow, "flow %s was reset while target %s held it", key, f.target)
}

// CheckResult compares the result of an attempt with what the targets did, and
// records the violations.
func (j *Journal) CheckResult(f *Flow, r Request, result Result, repeatable bool) {
	if result.WrongAnswer {
		j.RecordViolation(WrongAnswer, "%s", r.ID)
	}
	if result.Outcome == Broken {
		j.CheckReset(f.key, result.ClosedByTarget)
	}
	runs := j.RunCount(r.ID)
	if (result.Outcome == NotRun || result.Outcome == NotOpened) && runs > 0 {
		j.RecordViolation(RanAfterNotRun, "%s", r.ID)
	}
	if !repeatable && runs > 1 {
		j.RecordViolation(RanTwice, "request %s ran %d times", r.ID, runs)
	}
}
