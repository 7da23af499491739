package main

import (
	"fmt"
	"net/netip"
	"os"
	"sort"
	"sync"
	"time"
)

// record has what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []line
	runs  map[string][]ranAt
	// opened has the servers that took the opening packet of a flow.
	opened map[netip.AddrPort][]ranAt
	flows  map[netip.AddrPort]*flowRecord
}

// flowRecord has the packets of an open flow that reached servers.
type flowRecord struct {
	owner       *server
	own, strays []time.Time
}

type line struct {
	at   time.Time
	text string
}

type ranAt struct {
	server *server
	at     time.Time
}

func newRecord() *record {
	return &record{began: time.Now(), runs: map[string][]ranAt{}, opened: map[netip.AddrPort][]ranAt{}, flows: map[netip.AddrPort]*flowRecord{}}
}

func (r *record) event(format string, args ...any) { r.eventAt(time.Now(), format, args...) }

func (r *record) eventAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, fmt.Sprintf(format, args...)})
}

func (r *record) run(s *server, id string, at time.Time) {
	r.mu.Lock()
	r.runs[id] = append(r.runs[id], ranAt{s, at})
	r.mu.Unlock()
	r.eventAt(at, "server %s runs %s", s.id, id)
}

func (r *record) took(s *server, from netip.AddrPort, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opened[from] = append(r.opened[from], ranAt{s, at})
}

func (r *record) ran(id string) []ranAt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ranAt(nil), r.runs[id]...)
}

// reached records a packet of an open flow at a server, and whether it holds the flow.
func (r *record) reached(s *server, from netip.AddrPort, holds bool) {
	r.mu.Lock()
	f := r.flows[from]
	if f == nil {
		f = &flowRecord{}
		r.flows[from] = f
	}
	if holds {
		f.owner = s
		f.own = append(f.own, time.Now())
	} else {
		f.strays = append(f.strays, time.Now())
	}
	r.mu.Unlock()
	if !holds {
		r.event("server %s returns a packet of the flow of %s", s.id, from)
	}
}

func (r *record) openedAt(from netip.AddrPort) []ranAt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ranAt(nil), r.opened[from]...)
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at.Before(r.lines[j].at) })
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, l := range r.lines {
		fmt.Fprintf(f, "%9.3f s  %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	return nil
}
