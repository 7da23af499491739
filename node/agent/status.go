package agent

import "net/netip"

// Status is the state of an agent that its operator port reports.
type Status struct {
	Service     string         `json:"service"`
	Target      string         `json:"target"`
	Address     netip.AddrPort `json:"datagram_address"`
	Incarnation uint64         `json:"incarnation"`
	// Version is the version of the configuration in force.
	Version  uint64 `json:"version"`
	Draining bool   `json:"draining"`
	// TargetDown reports whether the target accepts no connections.
	TargetDown bool `json:"target_down"`
	// Connections is the number of open connections of callers.
	Connections int64 `json:"connections"`
	// Requests is the number of requests that have no answer yet.
	Requests int64 `json:"requests"`
	Slots    int   `json:"slots"`
	Busy     int   `json:"busy"`
	Waiting  int   `json:"waiting"`
	// Balancers is the number of balancers from which the agent has received
	// datagrams.
	Balancers int `json:"balancers"`
}

// Status returns the agent's current state.
func (a *Agent) Status() Status {
	load := a.load.current()
	return Status{
		Service:     a.settings.Service,
		Target:      a.settings.Target,
		Address:     a.self.address,
		Incarnation: a.self.incarnation,
		Version:     a.view().version,
		Draining:    a.load.draining.Load(),
		TargetDown:  a.target.down.Load(),
		Connections: a.load.connections.Load(),
		Requests:    a.openRequests.Load(),
		Slots:       load.Slots,
		Busy:        load.Busy,
		Waiting:     load.Waiting,
		Balancers:   a.balancers.count(),
	}
}
