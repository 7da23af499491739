package load

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"
	"trefoilweir.example/lab/answer"
	"trefoilweir.example/lab/target"
)

// maxLogLine is the maximum length in bytes of a line of a target's log. It
// exceeds the length of any line that a target writes.
const maxLogLine = 64 << 10

// interval is the time during which a request held a slot.
type interval struct{ start, end time.Time }

// targetLog is the content of one target's log, except for the single requests.
type targetLog struct {
	name, service string
	slots         int
	speed         float64
	firstListen   time.Time
	lastEntry     time.Time
	slotUse       []interval
	workMS, runMS float64
}

// measuredSpeed returns the completed work divided by the time that it took, or
// the configured speed if the log has no completed work.
func (s *targetLog) measuredSpeed() float64 {
	if s.runMS == 0 {
		return s.speed
	}
	return s.workMS / s.runMS
}

// Evidence is the content of the targets' logs.
type Evidence struct {
	// starts holds the start entries of all attempts of a request, by its base
	// ID.
	starts map[string][]target.Entry
	// complete holds the base IDs of the requests whose answer was written in
	// full.
	complete map[string]bool
	targets  map[string]*targetLog
	running  map[string]target.Entry
}

// ReadEvidence reads the targets' logs whose paths match one of the patterns.
func ReadEvidence(patterns ...string) (*Evidence, error) {
	e := &Evidence{
		starts: map[string][]target.Entry{}, complete: map[string]bool{},
		targets: map[string]*targetLog{}, running: map[string]target.Entry{},
	}
	for _, pattern := range patterns {
		paths, err := filepath.Glob(pattern)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		for _, path := range paths {
			if err := e.readFile(path); err != nil {
				return nil, trace.Wrap(err)
			}
		}
	}
	e.closeRunning()
	return e, nil
}

func (e *Evidence) readFile(path string) error {
	file, err := os.Open(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLogLine)
	for lines.Scan() {
		var entry target.Entry
		// A killed target may leave an incomplete line, which is skipped.
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			e.addEntry(entry)
		}
	}
	return trace.Wrap(lines.Err())
}

func (e *Evidence) addEntry(entry target.Entry) {
	s := e.targets[entry.Target]
	if s == nil {
		s = &targetLog{name: entry.Target, service: entry.Service}
		e.targets[entry.Target] = s
	}
	s.lastEntry = entryTime(entry)
	baseID := answer.BaseID(entry.ID)
	switch entry.Event {
	case target.Listen:
		e.closeRunningOf(s)
		s.slots, s.speed = entry.Slots, entry.Speed
		if s.firstListen.IsZero() {
			s.firstListen = entryTime(entry)
		}
	case target.Start:
		e.starts[baseID] = append(e.starts[baseID], entry)
		e.running[entry.Target+" "+entry.ID] = entry
	case target.End:
		e.addEnd(s, entry)
	}
}

func (e *Evidence) addEnd(s *targetLog, entry target.Entry) {
	if entry.Complete {
		e.complete[answer.BaseID(entry.ID)] = true
	}
	s.workMS += entry.WorkMS
	s.runMS += entry.RunMS
	key := entry.Target + " " + entry.ID
	if start, ok := e.running[key]; ok && start.Slot {
		s.slotUse = append(s.slotUse, interval{entryTime(start), entryTime(entry)})
	}
	delete(e.running, key)
}

// closeRunningOf ends the requests without an end entry at the time of the last
// entry of the target. A killed target leaves such requests.
func (e *Evidence) closeRunningOf(s *targetLog) {
	for key, start := range e.running {
		if start.Target != s.name {
			continue
		}
		if start.Slot {
			s.slotUse = append(s.slotUse, interval{entryTime(start), s.lastEntry})
		}
		delete(e.running, key)
	}
}

func (e *Evidence) closeRunning() {
	for _, s := range e.targets {
		e.closeRunningOf(s)
	}
}

func entryTime(entry target.Entry) time.Time { return time.Unix(0, entry.Time) }

// Starts returns the start entries of all attempts of the request with the given
// base ID.
func (e *Evidence) Starts(id string) []target.Entry { return e.starts[id] }

// StartCount returns the number of runs that began at a target.
func (e *Evidence) StartCount(name string) int {
	n := 0
	for _, starts := range e.starts {
		for _, start := range starts {
			if start.Target == name {
				n++
			}
		}
	}
	return n
}
