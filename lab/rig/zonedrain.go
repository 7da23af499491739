package rig

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"trefoilweir.example/lab/kvstore"
	"trefoilweir.example/lab/packets"
)

// zoneDrainPrefix begins the keys of the requests to drain a zone.
const zoneDrainPrefix = "op/evacuate/"

// zoneDrainLimit is the time after the store's acknowledgement from which targets of
// a drained zone must get no new flow.
const zoneDrainLimit = 3 * time.Second

// zoneDrains are the drained zones, as the operator wants them.
type zoneDrains struct {
	mu    sync.Mutex
	since map[string]time.Time
	// flows counts the new flows of the targets of each zone.
	flows map[string]int
}

// accepted records a new flow of a target in a zone, and a violation if the zone was
// drained too long ago.
func (d *zoneDrains) accepted(j *packets.Journal, zone, flow string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.flows == nil {
		d.flows = map[string]int{}
	}
	d.flows[zone]++
	if since, ok := d.since[zone]; ok && time.Since(since) > zoneDrainLimit {
		j.RecordViolation(packets.LateFlow, "a target of zone %s received new flow %s %s after the zone was drained", zone, flow, time.Since(since))
	}
}

// writeAgain writes the requests that the store lacks and removes the others.
func (d *zoneDrains) writeAgain(store *kvstore.Store) {
	d.mu.Lock()
	defer d.mu.Unlock()
	values := store.Values()
	for zone := range d.since {
		if values[zoneDrainPrefix+zone] == nil {
			store.Put(zoneDrainPrefix+zone, []byte("{}"))
		}
	}
	for key := range values {
		if zone, ok := strings.CutPrefix(key, zoneDrainPrefix); ok && d.since[zone].IsZero() {
			store.Remove(key)
		}
	}
}

// DrainZone drains a zone, or puts it back into service.
func (s *System) DrainZone(zone int, on bool) {
	name := s.Zones[zone]
	if on {
		s.Store.Put(zoneDrainPrefix+name, []byte("{}"))
	} else {
		s.Store.Remove(zoneDrainPrefix + name)
	}
	s.zoneDrains.mu.Lock()
	defer s.zoneDrains.mu.Unlock()
	if s.zoneDrains.since == nil {
		s.zoneDrains.since = map[string]time.Time{}
	}
	if on {
		s.zoneDrains.since[name] = time.Now()
	} else {
		delete(s.zoneDrains.since, name)
	}
}

// newFlows returns how many new flows the targets of a zone have got.
func (s *System) newFlows(zone int) int {
	s.zoneDrains.mu.Lock()
	defer s.zoneDrains.mu.Unlock()
	return s.zoneDrains.flows[s.Zones[zone]]
}

// DrainDemo runs a system under load while its zones are drained one after the
// other, and put back into service, with restarts of processes, a slow store and a
// return of the store from a backup.
func DrainDemo(o Options, load Load) (Report, error) {
	s := New(o)
	defer s.Stop()
	if err := s.Start(); err != nil {
		return Report{}, err
	}
	return s.runUnderLoad(load, func() error {
		s.drainSteps()
		return nil
	})
}

func (s *System) drainSteps() {
	const settled = zoneDrainLimit + time.Second
	step := func(what string, pause time.Duration, do func()) {
		s.mark(what)
		do()
		time.Sleep(pause)
	}
	time.Sleep(demoStepPause)
	step("zone 0 drained", settled, func() { s.DrainZone(0, true) })
	step("all processes restart", settled, s.restartProcesses)
	step("zone 1 drained, slow store", settled, func() {
		s.Store.SetFault(kvstore.Slow)
		s.DrainZone(1, true)
	})
	step("zone 2 drained", settled, func() {
		s.Store.SetFault(kvstore.None)
		s.DrainZone(2, true)
	})
	backup := s.Store.Backup()
	step("zones 1 and 2 back", settled, func() {
		s.DrainZone(1, false)
		s.DrainZone(2, false)
	})
	before := s.Snapshot()
	step("store returns from a copy with all drained", settled, func() { s.RestoreStore(backup, demoStepPause) })
	s.checkServed("while the copy has all zones drained", s.Snapshot().CountsSince(before))
	backup = s.Store.Backup()
	step("zone 2 drained", settled, func() { s.DrainZone(2, true) })
	step("store returns from a copy without that", settled, func() { s.RestoreStore(backup, demoStepPause) })
	flows := s.newFlows(0)
	step("all zones back", settled, func() {
		s.DrainZone(0, false)
		s.DrainZone(2, false)
	})
	if s.newFlows(0) == flows {
		s.Journal.RecordViolation(packets.OldRoute, "no target of zone %s got a new flow after the zone was put back into service", s.Zones[0])
	}
}

// checkServed records a failure if most requests of a time were not served.
func (s *System) checkServed(when string, counts Report) {
	const minServedShare = 0.8
	if float64(counts.Finished) >= minServedShare*float64(counts.Requests) && counts.Requests > 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf("%d of %d requests were served %s", counts.Finished, counts.Requests, when))
}

// restartProcesses stops the processes of all VMs in turn. They start again.
func (s *System) restartProcesses() {
	const pause = 150 * time.Millisecond
	for _, m := range append(s.Agents(), s.Balancers()...) {
		s.Signal(m, syscall.SIGTERM)
		time.Sleep(pause)
	}
}
