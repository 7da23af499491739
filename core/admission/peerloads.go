package admission

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPeerLoads limits the loads of peers in a message, which take about
	// 20 bytes each.
	maxPeerLoads = 8
	// maxPeerLoadAge is the age from which a load is not forwarded to peers.
	maxPeerLoadAge = 500 * time.Millisecond
)

// peerLoads returns the newest loads of the peers other than the receiver. They
// are part of every message, so that agents learn of idle peers sooner than
// from Reports, which can be a second old.
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

// mergePeerLoads stores the loads that are newer than the known ones.
func (m *Machine) mergePeerLoads(loads []PeerLoad) {
	for _, v := range loads[:min(len(loads), maxPeerLoads)] {
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
