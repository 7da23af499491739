package fleet

import "slices"

// keptChanges bounds the changes that are remembered in order. Peers are a few
// changes behind; for one that is further behind all entries are looked at.
const keptChanges = 2048

// changeLog has the newest changes of a view, so that telling a peer what
// changed does not cost a look at the whole fleet.
type changeLog struct {
	changes []loggedChange
	// dropped is the highest revision that was dropped.
	dropped uint64
}

// loggedChange is a change. It is outdated if the entry has another revision since.
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

// since returns the entries with a revision above one, and whether these are
// all.
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
