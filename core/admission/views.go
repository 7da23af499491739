package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxViews bounds the views in a message: about 20 bytes each.
	maxViews = 8
	// oldestView is the age from which a view is not worth passing on.
	oldestView = 500 * time.Millisecond
)

// views returns the newest figures of peers other than the receiver. Agents
// learn of idle peers from any message that way, and not only from the
// reports, which are a second old.
func (m *Machine) views(receiver *peer) []PeerLoad {
	var known []*peer
	for _, p := range m.peers.list {
		if p != receiver && p.known && m.now-p.at < oldestView {
			known = append(known, p)
		}
	}
	slices.SortStableFunc(known, func(a, b *peer) int { return cmp.Compare(b.at, a.at) })
	var out []PeerLoad
	for _, p := range known[:min(len(known), maxViews)] {
		out = append(out, PeerLoad{
			Peer: p.ID, AgeMS: int((m.now - p.at) / time.Millisecond), Slots: p.load.Slots,
			Busy: p.load.Busy, Waiting: p.load.Waiting, UtilizationPercent: int(p.load.Utilization*100 + 0.5),
		})
	}
	return out
}

// learn takes over views that are newer than what is known.
func (m *Machine) learn(views []PeerLoad) {
	for _, v := range views[:min(len(views), maxViews)] {
		p := m.peers.byID[v.Peer]
		at := m.now - time.Duration(max(v.AgeMS, 0)+1)*time.Millisecond
		if p == nil || !p.known || at <= p.at {
			continue
		}
		l := p.load
		l.Slots, l.Busy, l.Waiting, l.Utilization = v.Slots, v.Busy, v.Waiting, float64(v.UtilizationPercent)/100
		p.heard(at, l)
	}
}
