package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and the broken rules.
type recorder struct {
	mu     sync.Mutex
	start  time.Time
	file   *os.File
	out    *bufio.Writer
	counts map[string]int
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, out: bufio.NewWriter(f), counts: map[string]int{}}, nil
}

// note writes a line with the time since the start.
func (r *recorder) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// broken records that a rule was broken.
func (r *recorder) broken(rule, format string, arguments ...any) {
	r.note("BROKEN %s: %s", rule, fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[rule]++
}

func (r *recorder) brokenRules() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for rule, n := range r.counts {
		out[rule] = n
	}
	return out
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
