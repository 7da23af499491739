package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// touchWindow is the bound stable-window-ms: a machine is in touch if nothing was
// done to it, and the store was stable, for so long.
const touchWindow = 4 * time.Second

// reorderWindow is the bound reorder-ms, and strayPackets how many packets of a flow
// at other servers in that time break the rule if none reaches its own.
const (
	reorderWindow = 2 * time.Second
	strayPackets  = 3
)

// record writes what was sent, answered and run, and judges it.
type record struct {
	mu         sync.Mutex
	file       *os.File
	begin      time.Time
	violations int
	owners     map[flowID]*ownedFlow
	// troubleAt is when the last unplanned disruption began or ended, troubled says
	// that one lasts. Planned restarts do not count: "under planned work it always
	// counts".
	troubleAt time.Time
	troubled  bool
	excused   int
	requests  int
	replies   int
	runs      map[string]int
}

type ownedFlow struct {
	server  *server
	closing bool
	strays  []time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begin: time.Now(), owners: map[flowID]*ownedFlow{}, runs: map[string]int{}}, err
}

func (r *record) logf(format string, arguments ...any) {
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logf(format, arguments...)
}

// trouble records an unplanned disruption. lasting says that it goes on.
func (r *record) trouble(lasting bool, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.troubleAt, r.troubled = time.Now(), lasting
	r.logf(format, arguments...)
}

// inTouch reports whether all machines were in touch at a time, but for planned work.
// The caller holds the lock.
func (r *record) inTouch(at time.Time) bool { return !r.troubled && at.Sub(r.troubleAt) >= touchWindow }

func (r *record) violation(rule, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breakRule(rule, format, arguments...)
}

func (r *record) breakRule(rule, format string, arguments ...any) {
	r.violations++
	r.logf("BROKEN %s: %s", rule, fmt.Sprintf(format, arguments...))
}

func (r *record) sent(request string, id flowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
	r.logf("sent      %s on flow %s", request, id.client)
}

func (r *record) answered(request, answer string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies++
	r.logf("answered  %s: %.40s", request, answer)
}

func (r *record) unanswered(request, reason string) {
	r.note("no answer %s: %s", request, reason)
}

func (r *record) ran(request string, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[request]++
	r.logf("ran       %s at %s", request, s.name)
	if r.runs[request] > 1 {
		r.breakRule("UNASKED", "%s ran %d times", request, r.runs[request])
	}
}

func (r *record) accepted(id flowID, s *server, p *packet) {
	r.note("offered   flow %s at %s (copy %d)", id.client, s.name, p.ack)
}

func (r *record) opened(id flowID, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.owners[id] = &ownedFlow{server: s}
	r.logf("opened    flow %s at %s", id.client, s.name)
}

func (r *record) closing(id flowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.owners[id]; f != nil {
		f.closing = true
	}
}

func (r *record) delivered(id flowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.owners[id]; f != nil {
		f.strays = nil
	}
}

// misdelivered records a packet at a server that does not hold its flow.
func (r *record) misdelivered(id flowID, s *server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.owners[id]
	if f == nil || f.closing || f.server == s {
		return
	}
	r.logf("stray     packet of flow %s, open at %s, reached %s", id.client, f.server.name, s.name)
	f.strays = append(f.strays, time.Now())
	if n := len(f.strays); n >= strayPackets {
		first := f.strays[n-strayPackets]
		time.AfterFunc(time.Until(first.Add(reorderWindow)), func() { r.checkStrays(id, f, first) })
	}
}

// checkStrays judges the strays of a flow when reorderWindow after the first one has
// passed. A packet that has reached the flow's own server has cleared them.
func (r *record) checkStrays(id flowID, f *ownedFlow, first time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case len(f.strays) < strayPackets || f.strays[0].After(first):
	case !r.inTouch(first):
		r.excused++
		r.logf("excused   strays of flow %s: not all machines are in touch", id.client)
	default:
		r.breakRule("FLOW", "%d packets of flow %s reached other servers in %s and none its own, %s", len(f.strays), id.client, reorderWindow, f.server.name)
	}
	f.strays = nil
}

// resetOfOpenFlow judges a reset that a client got on an open flow and that no server
// sent.
func (r *record) resetOfOpenFlow(id flowID, client string) {
	r.mu.Lock()
	f := r.owners[id]
	r.mu.Unlock()
	if f == nil || !f.server.holds(id) {
		r.note("reset     flow %s of %s, which no server holds", id.client, client)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.closing {
		return
	}
	if !r.inTouch(time.Now()) {
		r.excused++
		r.logf("excused   reset of flow %s: not all machines are in touch", id.client)
		return
	}
	r.breakRule("FLOW", "client %s got a reset on flow %s, which server %s holds open and did not reset", client, id.client, f.server.name)
}

// summary writes the counts and returns the number of broken rules.
func (r *record) summary() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logf("requests %d, answered %d, excused %d, broken %d", r.requests, r.replies, r.excused, r.violations)
	return r.violations
}
