package fleet

import "time"

// Progress says up to where a view knows the changes.
type Progress struct {
	// Epoch counts how often the platform returned from an older copy of its
	// state. Revision orders the changes of one epoch.
	Epoch, Revision uint64
	// Version is the version of the routes. It may be newer than the one that the
	// platform had at the revision, because an older copy may lack a version.
	Version uint64
}

// AheadOf reports whether a view with progress p has changes or a version of the
// routes that one with progress o lacks.
func (p Progress) AheadOf(o Progress) bool { return p.LaterThan(o) || p.Version > o.Version }

// LaterThan reports whether a view with progress p has changes that one with
// progress o lacks, other than versions that the platform has lost.
func (p Progress) LaterThan(o Progress) bool {
	return p.Epoch > o.Epoch || p.Epoch == o.Epoch && p.Revision > o.Revision
}

// Progress returns the progress of the view.
func (v *View) Progress() Progress { return Progress{v.epoch, v.revision, v.Version()} }

// precedes reports whether t is an earlier state of a target than o: one of an
// earlier incarnation, or one before it drained. An older copy of the platform's
// state may list such a state until the target writes again.
func (t *Target) precedes(o *Target) bool {
	if t.StartUnixMS != o.StartUnixMS {
		return t.StartUnixMS < o.StartUnixMS
	}
	return t.State == Ready && o.State == Draining
}

// startEpoch makes the view accept the changes of a newer epoch: the platform
// returned from an older copy and gives out revisions again. The entries stay
// listed until a listing of the epoch does not name them. They may be missing
// there until their targets write again, so the platform counts as disturbed.
func (v *View) startEpoch(now time.Duration, epoch uint64) {
	if v.revision > 0 {
		v.RecordDisturbance(now)
	}
	v.epoch, v.revision, v.floor, v.configRevision = epoch, 0, 0, 0
	v.recentChanges = changeLog{}
	for _, e := range v.entries {
		e.revision = 0
	}
}
