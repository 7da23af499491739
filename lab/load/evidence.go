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

// maxLogLine is over the length of any line of a target's log.
const maxLogLine = 64 << 10

// interval is the time that a request held a slot.
type interval struct{ start, end time.Time }

// server is what the log of a target says about the target.
type server struct {
	name, service string
	slots         int
	speed         float64
	listening     time.Time
	last          time.Time
	held          []interval
	workMS, runMS float64
}

// measuredSpeed is the work per time of the requests that ran.
func (s *server) measuredSpeed() float64 {
	if s.runMS == 0 {
		return s.speed
	}
	return s.workMS / s.runMS
}

// Evidence is what the targets logged.
type Evidence struct {
	// starts maps the base of a request ID to the starts of all attempts.
	starts map[string][]target.Entry
	// complete holds the bases of requests whose answer was written.
	complete map[string]bool
	servers  map[string]*server
	open     map[string]target.Entry
}

// ReadEvidence reads the targets' logs that match the patterns.
func ReadEvidence(patterns ...string) (*Evidence, error) {
	e := &Evidence{
		starts: map[string][]target.Entry{}, complete: map[string]bool{},
		servers: map[string]*server{}, open: map[string]target.Entry{},
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
	e.closeOpen()
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
		// A killed target may leave half a line.
		if json.Unmarshal(lines.Bytes(), &entry) == nil {
			e.add(entry)
		}
	}
	return trace.Wrap(lines.Err())
}

func (e *Evidence) add(entry target.Entry) {
	s := e.servers[entry.Target]
	if s == nil {
		s = &server{name: entry.Target, service: entry.Service}
		e.servers[entry.Target] = s
	}
	s.last = at(entry)
	base := answer.BaseID(entry.ID)
	switch entry.Event {
	case target.Listen:
		e.closeOpenOf(s)
		s.slots, s.speed = entry.Slots, entry.Speed
		if s.listening.IsZero() {
			s.listening = at(entry)
		}
	case target.Start:
		e.starts[base] = append(e.starts[base], entry)
		e.open[entry.Target+" "+entry.ID] = entry
	case target.End:
		e.end(s, entry)
	}
}

func (e *Evidence) end(s *server, entry target.Entry) {
	if entry.Complete {
		e.complete[answer.BaseID(entry.ID)] = true
	}
	s.workMS += entry.WorkMS
	s.runMS += entry.RunMS
	key := entry.Target + " " + entry.ID
	if start, ok := e.open[key]; ok && start.Slot {
		s.held = append(s.held, interval{at(start), at(entry)})
	}
	delete(e.open, key)
}

// closeOpenOf ends what a killed target left open at its last entry.
func (e *Evidence) closeOpenOf(s *server) {
	for key, start := range e.open {
		if start.Target != s.name {
			continue
		}
		if start.Slot {
			s.held = append(s.held, interval{at(start), s.last})
		}
		delete(e.open, key)
	}
}

func (e *Evidence) closeOpen() {
	for _, s := range e.servers {
		e.closeOpenOf(s)
	}
}

func at(entry target.Entry) time.Time { return time.Unix(0, entry.Time) }

// Starts returns the log entries of the starts of a request.
func (e *Evidence) Starts(id string) []target.Entry { return e.starts[id] }

// StartCount returns how many runs began at a target.
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
