package rig

import "trefoilweir.example/lab/packets"

// Snapshot returns the counts of the load in progress. They are zero before
// RunLoad.
func (s *System) Snapshot() Report {
	s.mu.Lock()
	r := s.recorder
	s.mu.Unlock()
	if r == nil {
		return Report{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	outcomes := map[packets.Outcome]int{}
	for o, n := range r.byOutcome {
		outcomes[o] = n
	}
	return Report{Requests: r.requests, Finished: r.finished, NotServed: r.requests - r.finished, ByOutcome: outcomes}
}

// CountsSince returns the numbers of requests since an earlier snapshot.
func (r Report) CountsSince(earlier Report) Report {
	return Report{Requests: r.Requests - earlier.Requests, Finished: r.Finished - earlier.Finished, NotServed: r.NotServed - earlier.NotServed}
}
