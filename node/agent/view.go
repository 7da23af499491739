package agent

import (
	"net/netip"
	"strings"
	"time"

	"trefoilweir.example/core/admission"
	"trefoilweir.example/core/config"
	"trefoilweir.example/core/placement"
	"trefoilweir.example/node/settings"
)

// defaultClass applies to requests that match no configured class. Its deadline
// keeps a request from waiting forever.
var defaultClass = config.Class{Name: "other", HoldsSlot: true, DeadlineMS: 30_000}

// view holds what the agent derives from one configuration and one VM list. It
// is immutable.
type view struct {
	version uint64
	service config.Service
	// target is the agent's own target. If the configuration does not have it,
	// the target was removed and the agent drains.
	target   config.Target
	draining bool
	limits   admission.Limits
	peers    []peerAgent
	// candidates are the other targets that may receive new flows.
	candidates []placement.Target
	// balancers are the datagram addresses of the live balancers in the VM
	// list.
	balancers []netip.AddrPort
}

// peerAgent is another agent of the service.
type peerAgent struct {
	id           admission.PeerID
	datagramAddr netip.AddrPort
	linkAddr     netip.AddrPort
	slots        int
	speed        float64
	draining     bool
}

// newView derives a view. It returns false if the configuration does not have
// the service.
func newView(own settings.Agent, c *config.Config, vms []config.VM) (*view, bool) {
	if c == nil {
		return nil, false
	}
	v := &view{version: c.Version, draining: true}
	if !v.findService(own.Service, c) {
		return nil, false
	}
	leaving := leavingAgents(vms)
	for _, t := range v.service.Targets {
		if t.Name == own.Target {
			v.target = t
			v.draining = t.State == config.TargetDraining || leaving[t.Agent]
			continue
		}
		v.addPeer(t, leaving[t.Agent])
	}
	for _, vm := range vms {
		if vm.Name == own.Name && vm.Role == config.RoleAgent && vm.State == config.VMLeaving {
			v.draining = true
		}
		if vm.Role == config.RoleBalancer && vm.State == config.VMLive {
			v.balancers = append(v.balancers, vm.DatagramAddress)
		}
	}
	v.limits = newLimits(c.Presets[c.Preset], &v.service, &v.target)
	return v, true
}

func (v *view) findService(name string, c *config.Config) bool {
	for _, s := range c.Services {
		if s.Name == name {
			v.service = s
			return true
		}
	}
	return false
}

func (v *view) addPeer(t config.Target, leaving bool) {
	p := peerAgent{
		id:           admission.PeerID(t.Name),
		datagramAddr: t.Agent,
		linkAddr:     t.Peer,
		slots:        t.Slots,
		speed:        t.Speed,
		draining:     leaving || t.State == config.TargetDraining,
	}
	v.peers = append(v.peers, p)
	if !p.draining {
		weight := float64(t.Slots) * t.Speed
		v.candidates = append(v.candidates, placement.Target{Agent: t.Agent, Weight: weight})
	}
}

func leavingAgents(vms []config.VM) map[netip.AddrPort]bool {
	leaving := make(map[netip.AddrPort]bool)
	for _, vm := range vms {
		if vm.Role == config.RoleAgent && vm.State == config.VMLeaving {
			leaving[vm.DatagramAddress] = true
		}
	}
	return leaving
}

func newLimits(p config.Preset, s *config.Service, t *config.Target) admission.Limits {
	l := admission.Limits{
		Slots:              t.Slots,
		Speed:              t.Speed,
		Connections:        t.Connections,
		QueuePerSlot:       p.QueuePerSlot,
		HandOver:           p.HandOver,
		HandOverPeers:      p.HandOverPeers,
		RetryBudgetPercent: p.RetryBudgetPercent,
		ColdStart:          time.Duration(p.ColdStartMS) * time.Millisecond,
		Bias:               p.Bias,
	}
	for _, c := range append([]config.Class{defaultClass}, s.Classes...) {
		l.Classes = append(l.Classes, admission.Class{
			Name:      c.Name,
			HoldsSlot: c.HoldsSlot,
			Deadline:  time.Duration(c.DeadlineMS) * time.Millisecond,
		})
	}
	return l
}

func (v *view) admissionPeers() []admission.Peer {
	peers := make([]admission.Peer, 0, len(v.peers))
	for _, p := range v.peers {
		peers = append(peers, admission.Peer{ID: p.id, Slots: p.slots, Speed: p.speed, Draining: p.draining})
	}
	return peers
}

// classForPath returns the class with the longest path prefix that matches.
func (v *view) classForPath(path string) config.Class {
	best := defaultClass
	for _, c := range v.service.Classes {
		longer := best.Name == defaultClass.Name || len(c.PathPrefix) > len(best.PathPrefix)
		if longer && strings.HasPrefix(path, c.PathPrefix) {
			best = c
		}
	}
	return best
}

// classByName returns the class with the given name, for requests that a peer
// has classified.
func (v *view) classByName(name string) config.Class {
	for _, c := range v.service.Classes {
		if c.Name == name {
			return c
		}
	}
	return defaultClass
}

func (v *view) peer(id admission.PeerID) (peerAgent, bool) {
	for _, p := range v.peers {
		if p.id == id {
			return p, true
		}
	}
	return peerAgent{}, false
}

func (v *view) peerAt(datagramAddr netip.AddrPort) (peerAgent, bool) {
	for _, p := range v.peers {
		if p.datagramAddr == datagramAddr {
			return p, true
		}
	}
	return peerAgent{}, false
}
