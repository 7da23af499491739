package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPeerLoads bounds the views in a message: about 20 bytes each.
	maxPeerLoads = 8
	// maxPeerLoadAge is the age from which a view is not worth passing on.
	maxPeerLoadAge = 500 * time.Millisecond
)

// peerLoads returns the newest figures of peers other than the receiver. Agents
// learn of idle peers from any message that way, and not only from the
// reports, which are a second old.
func (m *Machine) peerLoads(receiver *peer) []PeerLoad {
	var known []*peer
	for _, p := range m.peers.list {
		if p != receiver && p.loadKnown && m.now-p.loadTime < maxPeerLoadAge {
			known = append(known, p)
		}
	}
	slices.SortStableFunc(known, func(a, b *peer) int { return cmp.Compare(b.loadTime, a.loadTime) })
	var out []PeerLoad
	for _, p := range known[:min(len(known), maxPeerLoads)] {
		out = append(out, PeerLoad{
			Peer: p.ID, AgeMS: int((m.now - p.loadTime) / time.Millisecond), Slots: p.load.Slots,
			Busy: p.load.Busy, Waiting: p.load.Waiting, UtilizationPercent: int(p.load.Utilization*100 + 0.5),
		})
	}
	return out
}

// mergePeerLoads takes over views that are newer than what is known.
func (m *Machine) mergePeerLoads(views []PeerLoad) {
	for _, v := range views[:min(len(views), maxPeerLoads)] {
		p := m.peers.byID[v.Peer]
		at := m.now - time.Duration(max(v.AgeMS, 0)+1)*time.Millisecond
		if p == nil || !p.loadKnown || at <= p.loadTime {
			continue
		}
		l := p.load
		l.Slots, l.Busy, l.Waiting, l.Utilization = v.Slots, v.Busy, v.Waiting, float64(v.UtilizationPercent)/100
		p.updateLoad(at, l)
	}
}
