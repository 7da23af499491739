package balancer

import (
	"cmp"
	"net"
	"net/netip"
	"slices"

	"trefoilweir.example/core/placement"
)

// Status is the state of a balancer that the operator port reports.
type Status struct {
	Name          string `json:"name"`
	DataCentre    string `json:"data_centre"`
	ConfigVersion uint64 `json:"config_version"`
	Preset        string `json:"preset"`
	// Ready reports whether a configuration is active and all its service
	// addresses are open.
	Ready           bool                    `json:"ready"`
	Leaving         bool                    `json:"leaving"`
	DatagramAddress netip.AddrPort          `json:"datagram_address"`
	Services        []ServiceStatus         `json:"services"`
	Agents          []placement.AgentStatus `json:"agents"`
	// Dropped counts dropped datagrams by reason. It omits reasons without
	// drops.
	Dropped       map[string]uint64 `json:"dropped"`
	Panics        uint64            `json:"panics"`
	PingsSent     uint64            `json:"pings_sent"`
	PingsAnswered uint64            `json:"pings_answered"`
	PongsReceived uint64            `json:"pongs"`
}

// ServiceStatus is the state of one service address.
type ServiceStatus struct {
	Name string `json:"name"`
	ID   uint32 `json:"id"`
	// Listen is the local address, with the port that the system assigned.
	Listen netip.AddrPort `json:"listen"`
	// Configured is false if the address is no longer in the configuration
	// and is open only for established flows.
	Configured bool `json:"configured"`
	// Targets is the number of targets that may receive new flows.
	Targets      int    `json:"targets"`
	Forwarded    uint64 `json:"forwarded"`
	FirstPackets uint64 `json:"first"`
	Returned     uint64 `json:"returned"`
}

// Status returns the state of the balancer.
func (b *Balancer) Status() Status {
	s := Status{
		Name:          b.settings.Name,
		DataCentre:    b.settings.DataCentre,
		Leaving:       b.leaving.Load(),
		Dropped:       make(map[string]uint64),
		Panics:        b.counters.panics.Get(),
		PingsSent:     b.counters.pingsSent.Get(),
		PingsAnswered: b.counters.pingsAnswered.Get(),
		PongsReceived: b.counters.pongsReceived.Get(),
	}
	for r := reasonNone + 1; r < reasonCount; r++ {
		if n := b.counters.dropped[r].Get(); n > 0 {
			s.Dropped[reasonNames[r]] = n
		}
	}
	s.Agents = b.agentStatus()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.conn != nil {
		s.DatagramAddress = localAddr(b.conn)
	}
	if b.config != nil {
		s.ConfigVersion, s.Preset = b.config.Version, b.config.Preset
		s.Ready = b.unopened == 0
	}
	for _, e := range b.entries {
		s.Services = append(s.Services, e.status())
	}
	slices.SortFunc(s.Services, func(a, b ServiceStatus) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), a.Listen.Compare(b.Listen))
	})
	return s
}

func (b *Balancer) agentStatus() []placement.AgentStatus {
	b.healthMu.Lock()
	defer b.healthMu.Unlock()
	return b.health.Status(b.now())
}

func (e *entry) status() ServiceStatus {
	return ServiceStatus{
		Name:         e.name,
		ID:           e.key.service,
		Listen:       localAddr(e.conn),
		Configured:   e.configured.Load(),
		Targets:      len(*e.targets.Load()),
		Forwarded:    e.counters.forwarded.Get(),
		FirstPackets: e.counters.firstPackets.Get(),
		Returned:     e.counters.returned.Get(),
	}
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return unmap(conn.LocalAddr().(*net.UDPAddr).AddrPort())
}
