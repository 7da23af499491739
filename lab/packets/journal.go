package packets

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

const (
	// wrongWindow and wrongMost: a flow is broken if for the whole window so
	// many of its packets reach other targets, and none its own.
	wrongWindow = 2 * time.Second
	wrongMost   = 3
	// maxNotes bounds the remembered violations.
	maxNotes = 50
)

// Journal is what callers and targets have seen, and what of it breaks a
// promise. It is safe for concurrent use.
type Journal struct {
	mu   sync.Mutex
	runs map[string][]run
	// owners are the targets of open flows.
	owners map[flowKey]*ownedFlow
	counts map[Violation]int
	notes  []string
	// drainLimit is how long after the report of a drain a target may get new
	// flows.
	drainLimit time.Duration
}

type run struct{ target, service string }

type ownedFlow struct {
	target string
	alive  bool
	closed bool
	// wrong counts packets at other targets since the last at the own.
	wrong int
	since time.Time
}

// Violation is a kind of broken promise.
type Violation string

// The violations.
const (
	// RanTwice: a request that may not be repeated ran twice.
	RanTwice Violation = "doubled"
	// RanAfterNotRun: a request ran although its caller was told otherwise.
	RanAfterNotRun Violation = "ran_after_not_run"
	// Misrouted: a request ran at another service.
	Misrouted Violation = "misrouted"
	// WrongAnswer: a caller got another answer than its own.
	WrongAnswer Violation = "wrong_answer"
	// BrokenFlow: an open flow was reset while its target held it, or its
	// packets went to other targets.
	BrokenFlow Violation = "broken_flow"
	// LateFlow: a draining target got a new flow too late.
	LateFlow Violation = "late_flow"
	// InvalidPacket: an end got a packet that the other did not write so.
	InvalidPacket Violation = "forged"
	// OldRoute: a request was handled by an old version of the routes.
	OldRoute Violation = "old_route"
)

// NewJournal returns an empty journal.
func NewJournal(drainLimit time.Duration) *Journal {
	return &Journal{runs: map[string][]run{}, owners: map[flowKey]*ownedFlow{}, counts: map[Violation]int{}, drainLimit: drainLimit}
}

// RecordViolation notes a broken promise.
func (j *Journal) RecordViolation(v Violation, format string, arguments ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(v, format, arguments...)
}

func (j *Journal) violate(v Violation, format string, arguments ...any) {
	j.counts[v]++
	if len(j.notes) < maxNotes {
		j.notes = append(j.notes, time.Now().Format("15:04:05.000 ")+string(v)+": "+fmt.Sprintf(format, arguments...))
	}
}

// Violations returns the counts and the first notes.
func (j *Journal) Violations() (map[Violation]int, []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for key, f := range j.owners {
		j.checkWrong(key, f)
	}
	return maps.Clone(j.counts), append([]string(nil), j.notes...)
}

func (j *Journal) forged(at string, raw []byte) {
	j.RecordViolation(InvalidPacket, "%s got % x", at, raw[:min(len(raw), headSize)])
}

func (j *Journal) accepted(target, service string, key flowKey, draining bool, since time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if draining && time.Since(since) > j.drainLimit {
		j.violate(LateFlow, "%s of %s got %s %s after its drain", target, service, key, time.Since(since))
	}
}

func (j *Journal) opened(target string, key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.owners[key] = &ownedFlow{target: target, alive: true}
}

func (j *Journal) rightTarget(key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f := j.owners[key]; f != nil {
		f.wrong = 0
	}
}

// wrongTarget notes a packet at a target that does not hold its flow.
func (j *Journal) wrongTarget(target string, key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.owners[key]
	if f == nil || !f.alive || f.closed || f.target == target {
		return
	}
	if f.wrong == 0 {
		f.since = time.Now()
	}
	f.wrong++
	j.checkWrong(key, f)
}

// checkWrong judges a flow whose packets have reached other targets, and none
// its own, for the whole window.
func (j *Journal) checkWrong(key flowKey, f *ownedFlow) {
	if f.alive && !f.closed && f.wrong >= wrongMost && time.Since(f.since) >= wrongWindow {
		j.violate(BrokenFlow, "%d packets of %s, which %s holds, reached others in %s", f.wrong, key, f.target, time.Since(f.since))
		f.wrong = 0
	}
}

// closing notes that the flow's target ends it.
func (j *Journal) closing(key flowKey) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if f := j.owners[key]; f != nil {
		f.closed = true
	}
}

func (j *Journal) targetEnded(target string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, f := range j.owners {
		if f.target == target {
			f.alive = false
		}
	}
}

func (j *Journal) ran(target, service string, r Request) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[r.ID] = append(j.runs[r.ID], run{target, service})
	if service != r.Service {
		j.violate(Misrouted, "%s for %s ran at %s of %s", r.ID, r.Service, target, service)
	}
}

// RunCount returns how often a request has begun to run.
func (j *Journal) RunCount(id string) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.runs[id])
}

func (j *Journal) resetWhileIdle(key flowKey, byTarget bool) { j.CheckReset(key, byTarget) }

// CheckReset judges a reset of an open flow.
func (j *Journal) CheckReset(key flowKey, byTarget bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	f := j.owners[key]
	if byTarget || f == nil || !f.alive || f.closed {
		return
	}
	j.violate(BrokenFlow, "%s was reset while %s held it", key, f.target)
}

// CheckResult compares the outcome of an attempt with what targets did.
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
		j.RecordViolation(RanTwice, "%s ran %d times", r.ID, runs)
	}
}
