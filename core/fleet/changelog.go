package fleet

import "slices"

// keptChanges is the number of changes that the log keeps when it drops the
// older ones. Peers are usually a few changes behind. For a peer that is
// further behind, the view scans all entries.
const keptChanges = 2048

// changeLog holds the newest changes of a view, so that a delta for a peer does
// not need a scan of the whole fleet.
type changeLog struct {
	changes []loggedChange
	// dropped is the highest revision that the log has dropped.
	dropped uint64
}

// loggedChange is one change of an entry. It is outdated if the entry has a
// different revision now.
type loggedChange struct {
	entry    *entry
	revision uint64
}

func (l *changeLog) add(e *entry) {
	if len(l.changes) >= 2*keptChanges {
		for _, c := range l.changes[:keptChanges] {
			l.dropped = max(l.dropped, c.revision)
		}
		l.changes = slices.Delete(l.changes, 0, keptChanges)
	}
	l.changes = append(l.changes, loggedChange{e, e.revision})
}

// since returns the entries whose revision is above after. complete is false if
// the log has dropped some of them.
func (l *changeLog) since(after uint64) (entries []*entry, complete bool) {
	if after < l.dropped {
		return nil, false
	}
	for _, c := range l.changes {
		if c.revision > after && c.revision == c.entry.revision {
			entries = append(entries, c.entry)
		}
	}
	return entries, true
}
