// Package config holds the configuration that operators publish: services,
// their targets, and the presets that say how services behave. It parses,
// validates, hashes, splits and compares configurations, without I/O.
package config

import "net/netip"

// Config is one published configuration. Treat it as immutable once parsed.
type Config struct {
	// Version orders configurations; a process never adopts a lower one.
	Version uint64 `json:"version"`
	// Preset names the one preset that is in force.
	Preset string `json:"preset"`
	// AgentNetworks are the networks that balancers may forward to.
	AgentNetworks []netip.Prefix `json:"agent_networks"`
	// Presets are the behaviours to choose from, by name.
	Presets map[string]Preset `json:"presets"`
	// Services are the addresses and their targets.
	Services []Service `json:"services"`
}

// Bias says which of two conflicting aims the placement of requests prefers.
type Bias string

// The biases.
const (
	// BiasBalance prefers equal utilization of targets.
	BiasBalance Bias = "balance"
	// BiasLatency prefers the fastest free target.
	BiasLatency Bias = "latency"
)

// Preset says how services behave while it is in force.
type Preset struct {
	// HandOver allows agents to pass requests that have not started to peers.
	HandOver bool `json:"hand_over"`
	// HandOverPeers is how many peers are asked for a slot. Default 3.
	HandOverPeers int `json:"hand_over_peers"`
	// QueuePerSlot bounds the queue of an agent, in requests per slot.
	// Default 4.
	QueuePerSlot int `json:"queue_per_slot"`
	// RetryBudgetPercent bounds retries, in percent of the requests of the
	// last 10 s. Default 10.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// ColdStartMS is the length of the slot ramp of a new target, in
	// milliseconds. Default 5000.
	ColdStartMS int `json:"cold_start_ms"`
	// Bias is the aim to prefer where balance and latency conflict. Default
	// balance.
	Bias Bias `json:"bias"`
}

// Service is a set of targets behind one address.
type Service struct {
	// Name is unique among services.
	Name string `json:"name"`
	// ID is unique among services and never reused for another service.
	ID uint32 `json:"id"`
	// Address is what callers connect to.
	Address netip.AddrPort `json:"address"`
	// Classes are matched by the longest path prefix.
	Classes []Class `json:"classes"`
	// Targets serve the requests.
	Targets []Target `json:"targets"`
}

// Class is a kind of request of a service.
type Class struct {
	// Name is unique within the service and labels metrics.
	Name string `json:"name"`
	// PathPrefix selects the requests of the class.
	PathPrefix string `json:"path_prefix"`
	// HoldsSlot says that a request occupies a slot of the target while it
	// runs. Streams that mostly wait, such as a ticker, do not.
	HoldsSlot bool `json:"holds_slot"`
	// DeadlineMS is the default deadline of a request, in milliseconds. Zero
	// means none.
	DeadlineMS int `json:"deadline_ms"`
	// Repeatable says that requests other than GET and HEAD may run twice.
	Repeatable bool `json:"repeatable"`
	// Tickets adds a Next-Ticket header to every answer of the class.
	Tickets bool `json:"tickets"`
}

// TargetState is what the operator wants of a target.
type TargetState string

// The target states.
const (
	// TargetActive receives new work.
	TargetActive TargetState = "active"
	// TargetDraining receives no new work and keeps its open flows.
	TargetDraining TargetState = "draining"
)

// Target is one server of a service, with the agent beside it.
type Target struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// DataCentre is where the VM is.
	DataCentre string `json:"data_centre"`
	// Agent is the IPv4 address for datagrams of balancers and agents.
	Agent netip.AddrPort `json:"agent"`
	// Peer is the address of the agent's peer link.
	Peer netip.AddrPort `json:"peer"`
	// Slots is how many requests the target runs at once.
	Slots int `json:"slots"`
	// Connections is how many caller connections the target's agent accepts.
	Connections int `json:"connections"`
	// Speed is the rated speed relative to 1.0.
	Speed float64 `json:"speed"`
	// State is active or draining. Default active.
	State TargetState `json:"state"`
}

// Role is the role of a VM.
type Role string

// The roles.
const (
	// RoleBalancer is an entry VM.
	RoleBalancer Role = "balancer"
	// RoleAgent is a target VM.
	RoleAgent Role = "agent"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The VM states.
const (
	// VMLive is a VM that serves.
	VMLive VMState = "live"
	// VMLeaving is a VM that will be stopped as planned.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list lags.
type VM struct {
	Name            string         `json:"name"`
	Role            Role           `json:"role"`
	Service         string         `json:"service,omitempty"`
	DataCentre      string         `json:"data_centre"`
	PeerAddress     netip.AddrPort `json:"peer_address"`
	DatagramAddress netip.AddrPort `json:"datagram_address"`
	State           VMState        `json:"state"`
}
