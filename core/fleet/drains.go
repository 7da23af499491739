package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// DrainGrace is how long the known drain requests stay in force after the
	// platform returned from an older copy of its state, unless they are written
	// again before. The operator notices what the copy lacks or has too much within
	// some seconds.
	DrainGrace = 30 * time.Second
	// maxDrainRequests bounds the drain requests that a view keeps. There are as
	// many data centres at most.
	maxDrainRequests = 1024
)

// Drains has all requests to drain a data centre, as a listing or a peer states
// them.
type Drains struct {
	// All changes of the requests up to Revision of Epoch are included. Later
	// ones may be.
	Epoch    uint64         `json:"epoch,omitempty"`
	Revision uint64         `json:"revision"`
	Requests []DrainRequest `json:"requests,omitempty"`
}

// DrainRequest asks that targets of a data centre get no new flows. Revision is
// the one at which it was written.
type DrainRequest struct {
	DataCentre string `json:"data_centre"`
	Revision   uint64 `json:"revision"`
}

// DrainChanges has all changes of the drain requests after one revision of an
// epoch, through another.
type DrainChanges struct {
	Epoch, After, Through uint64
	Changes               []DrainChange
}

// DrainChange says that a drain request was written or removed.
type DrainChange struct {
	DataCentre string
	Revision   uint64
	Removed    bool
}

func (s *Drains) validate() error {
	if s == nil {
		return nil
	}
	if len(s.Requests) > maxDrainRequests {
		return fmt.Errorf("requests: %d, want at most %d", len(s.Requests), maxDrainRequests)
	}
	for i := range s.Requests {
		if s.Requests[i].DataCentre == "" {
			return fmt.Errorf("requests[%d].data_centre: %w", i, errEmpty)
		}
	}
	return nil
}

// ErrDrainName is returned by CheckDrainName.
var ErrDrainName = errors.New("is not the name of a data centre")

// maxDrainNameLen is the greatest length of the name of a data centre.
const maxDrainNameLen = 253

// CheckDrainName checks the name of a data centre in a drain request.
func CheckDrainName(name string) error {
	if name == "" || len(name) > maxDrainNameLen {
		return ErrDrainName
	}
	for _, r := range name {
		if r <= ' ' || r == '/' || r == 0x7f || r == 0xfffd {
			return ErrDrainName
		}
	}
	return nil
}

// drainState is the newest change of the request for one data centre.
type drainState struct {
	revision uint64
	removed  bool
}

// heldDrain is a state that was known before the platform returned from an older
// copy, and that differs from the copy.
type heldDrain struct {
	drained bool
	until   time.Duration
	// revision is that of the copy's request, 0 if the copy has none.
	revision uint64
}

// drains holds the drain requests that a view knows.
//
// Requests of one epoch are ordered by revision like other changes, so the state
// of the platform at a later revision replaces that at an earlier one. The
// revisions of two epochs are not comparable. When a new epoch begins, the known
// state of a data centre stays in force where the copy differs, until its request
// is written or removed in the new epoch or DrainGrace has passed.
type drains struct {
	// known says that the requests of the epoch are known up to revision.
	known           bool
	epoch, revision uint64
	// requests has the requests, and the removals above revision.
	requests map[string]drainState
	// written has the highest revision at which a request was written, in the
	// last epoch in which one was.
	written map[string]uint64
	held    map[string]heldDrain
}

func newDrains() drains {
	return drains{requests: map[string]drainState{}, written: map[string]uint64{}, held: map[string]heldDrain{}}
}

// Drained reports whether targets of a data centre get no new flows.
func (v *View) Drained(dataCentre string) bool { return v.drains.drained(dataCentre) }

// DrainedDataCentres returns the sorted names of the data centres for which there
// is a drain request. They need not have targets.
func (v *View) DrainedDataCentres() []string {
	if len(v.drains.requests)+len(v.drains.held) == 0 {
		return nil
	}
	var names []string
	for _, name := range slices.Sorted(maps.Keys(v.drains.dataCentres())) {
		if v.Drained(name) {
			names = append(names, name)
		}
	}
	return names
}

// HasDataCentre reports whether a target of a data centre is listed, or its region
// is known.
func (v *View) HasDataCentre(name string) bool {
	if v.regions[name] != "" {
		return true
	}
	for _, e := range v.index.byVM {
		if e.target.DataCentre == name {
			return true
		}
	}
	return false
}

// DrainsKnown reports whether the view has had the drain requests once.
func (v *View) DrainsKnown() bool { return v.drains.known }

// DrainsComplete reports whether the view knows the drain requests up to its
// revision. It does not if it has the revision from a process of a release that
// does not tell them.
func (v *View) DrainsComplete() bool {
	d := &v.drains
	return d.known && (d.epoch > v.epoch || d.epoch == v.epoch && d.revision >= v.revision)
}

// ApplyDrains applies the drain requests of a listing, and reports whether the
// drained data centres changed.
func (v *View) ApplyDrains(now time.Duration, s *Drains) bool {
	before := v.DrainedDataCentres()
	v.drains.apply(now, s)
	return !slices.Equal(before, v.DrainedDataCentres())
}

// applyDrains applies what a delta says about drain requests.
func (v *View) applyDrains(now time.Duration, d *Delta) {
	v.drains.apply(now, d.Drains)
	v.drains.applyChanges(d.DrainChanges)
}

func (d *drains) drained(name string) bool {
	if h, ok := d.held[name]; ok {
		return h.drained
	}
	return d.requested(name)
}

// requested reports whether there is a request in the current epoch.
func (d *drains) requested(name string) bool {
	state, ok := d.requests[name]
	return ok && !state.removed
}

// dataCentres returns the names of all data centres that may be drained.
func (d *drains) dataCentres() map[string]bool {
	names := map[string]bool{}
	for name := range d.requests {
		names[name] = true
	}
	for name := range d.held {
		names[name] = true
	}
	return names
}

func (d *drains) apply(now time.Duration, s *Drains) {
	switch {
	case s == nil || d.known && s.Epoch < d.epoch:
		return
	case !d.known:
		d.known, d.epoch, d.revision = true, s.Epoch, 0
	case s.Epoch > d.epoch:
		d.startEpoch(now, s)
	}
	named := make(map[string]bool, len(s.Requests))
	for _, r := range s.Requests {
		named[r.DataCentre] = true
		// A request that is not above the known revision and not known was removed.
		if _, ok := d.requests[r.DataCentre]; ok || r.Revision > d.revision || s.Revision >= d.revision {
			d.change(DrainChange{DataCentre: r.DataCentre, Revision: r.Revision})
		}
	}
	if s.Revision < d.revision {
		return
	}
	d.revision = s.Revision
	for name, state := range d.requests {
		if !named[name] && state.revision <= d.revision {
			d.remove(name)
		}
	}
	d.dropSettled()
}

// applyChanges applies the answer to a watch. It completes the known state only if
// the watch began where that ends.
func (d *drains) applyChanges(c *DrainChanges) {
	if c == nil || !d.known || c.Epoch != d.epoch {
		return
	}
	for _, change := range c.Changes {
		if change.Revision > d.revision {
			d.change(change)
			// Also the removal of a request that the copy lacks is a decision of the
			// operator.
			delete(d.held, change.DataCentre)
		}
	}
	if c.After <= d.revision {
		d.revision = max(d.revision, c.Through)
	}
	for name, state := range d.requests {
		if state.removed && state.revision <= d.revision {
			d.remove(name)
		}
	}
	d.dropSettled()
}

func (d *drains) change(c DrainChange) {
	state, ok := d.requests[c.DataCentre]
	if ok && c.Revision <= state.revision || !ok && len(d.requests) >= maxDrainRequests {
		return
	}
	d.requests[c.DataCentre] = drainState{c.Revision, c.Removed}
	if !c.Removed && (len(d.written) < maxDrainRequests || d.written[c.DataCentre] > 0) {
		d.written[c.DataCentre] = c.Revision
	}
}

func (d *drains) remove(name string) { delete(d.requests, name) }

// startEpoch begins a new epoch with the requests that a listing or a peer states.
// A request that the copy has and the view knows as removed is taken for the
// copy's if it is not above the last one that the view knew. If it is above, it was
// written after the return.
func (d *drains) startEpoch(now time.Duration, s *Drains) {
	known := d.dataCentres()
	held := map[string]heldDrain{}
	named := make(map[string]bool, len(s.Requests))
	for _, r := range s.Requests {
		named[r.DataCentre] = true
		if !d.drained(r.DataCentre) && r.Revision <= d.written[r.DataCentre] {
			held[r.DataCentre] = heldDrain{drained: false, until: now + DrainGrace, revision: r.Revision}
		}
	}
	for name := range known {
		if d.drained(name) && !named[name] {
			held[name] = heldDrain{drained: true, until: now + DrainGrace}
		}
	}
	d.epoch, d.revision, d.requests, d.held = s.Epoch, 0, map[string]drainState{}, held
}

// dropSettled drops the held states whose requests were written or removed in the
// current epoch, or agree with it.
func (d *drains) dropSettled() {
	for name, h := range d.held {
		if state := d.requests[name]; state.revision != h.revision || d.requested(name) == h.drained {
			delete(d.held, name)
		}
	}
}

// expire drops the held states whose grace time has passed.
func (d *drains) expire(now time.Duration) {
	for name, h := range d.held {
		if now >= h.until {
			delete(d.held, name)
		}
	}
}

// stated returns the requests for a peer, or nil if they are not known. Held
// states are not among them: a peer has its own.
func (d *drains) stated() *Drains {
	if !d.known {
		return nil
	}
	s := &Drains{Epoch: d.epoch, Revision: d.revision}
	for _, name := range slices.Sorted(maps.Keys(d.requests)) {
		if d.requested(name) {
			s.Requests = append(s.Requests, DrainRequest{name, d.requests[name].revision})
		}
	}
	return s
}
