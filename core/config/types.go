// Package config defines the configuration that operators publish. It lists
// the services, their targets and the presets. The package parses, validates,
// hashes, splits and compares configurations and does no I/O.
//
// Terms:
//   - A service is a set of targets behind one address.
//   - A target is a server. An agent runs next to each target, and balancers
//     forward the traffic of callers, the clients of a service, to agents.
//   - A slot is the capacity of a target for one request at a time.
//   - A preset is a named set of parameters, and one preset is active.
//   - A part is a piece of an encoded configuration, stored under its hash. A
//     manifest lists the parts of one configuration.
package config

import "net/netip"

// Config is one published configuration. It must not be modified after it has
// been parsed.
type Config struct {
	// Version orders configurations. A process never switches to a lower
	// version.
	Version uint64 `json:"version"`
	// Preset is the name of the active preset.
	Preset string `json:"preset"`
	// AgentNetworks are the networks that balancers may forward to.
	AgentNetworks []netip.Prefix `json:"agent_networks"`
	// Presets holds the available presets by name.
	Presets map[string]Preset `json:"presets"`
	// Services are the services with their targets.
	Services []Service `json:"services"`
}

// Bias is the goal that the placement of requests prefers where balance and
// latency conflict.
type Bias string

// The biases.
const (
	// BiasBalance prefers equal utilization of targets.
	BiasBalance Bias = "balance"
	// BiasLatency prefers the fastest free target.
	BiasLatency Bias = "latency"
)

// Preset is a set of parameters that apply to all services while the preset is
// active.
type Preset struct {
	// HandOver allows an agent to hand over requests that have not started to
	// a peer, which is another agent of the service. Default true.
	HandOver bool `json:"hand_over"`
	// HandOverPeers is the number of peers that an agent asks for a free slot.
	// Default 3.
	HandOverPeers int `json:"hand_over_peers"`
	// QueuePerSlot bounds the queue of an agent, in requests per slot.
	// Default 4.
	QueuePerSlot int `json:"queue_per_slot"`
	// RetryBudgetPercent bounds retries, in percent of the requests of the
	// last 10 s. Default 10.
	RetryBudgetPercent int `json:"retry_budget_percent"`
	// ColdStartMS is the time in which the usable slots of a new target rise
	// to their full number, in milliseconds. Default 5000.
	ColdStartMS int `json:"cold_start_ms"`
	// Bias is the goal to prefer where balance and latency conflict. Default
	// balance.
	Bias Bias `json:"bias"`
}

// Service is a set of targets behind one address.
type Service struct {
	// Name is unique among services.
	Name string `json:"name"`
	// ID is unique among services and never reused for another service.
	ID uint32 `json:"id"`
	// Address is the address that callers connect to.
	Address netip.AddrPort `json:"address"`
	// Classes are the classes of requests. A request belongs to the class with
	// the longest matching path prefix.
	Classes []Class `json:"classes"`
	// Targets serve the requests.
	Targets []Target `json:"targets"`
}

// Class is a class of requests of a service.
type Class struct {
	// Name is unique within the service and labels metrics.
	Name string `json:"name"`
	// PathPrefix selects the requests of the class.
	PathPrefix string `json:"path_prefix"`
	// HoldsSlot reports whether a request occupies a slot of the target while
	// it runs. Streams that are mostly idle, such as a ticker, do not.
	HoldsSlot bool `json:"holds_slot"`
	// DeadlineMS is the default deadline of a request, in milliseconds. Zero
	// means none.
	DeadlineMS int `json:"deadline_ms"`
	// Repeatable reports whether requests with methods other than GET and HEAD
	// may run twice.
	Repeatable bool `json:"repeatable"`
	// Tickets adds a Next-Ticket header to every response of the class.
	Tickets bool `json:"tickets"`
}

// TargetState is the state that the operator requests for a target.
type TargetState string

// The target states.
const (
	// TargetActive receives new work.
	TargetActive TargetState = "active"
	// TargetDraining receives no new work and keeps its open flows.
	TargetDraining TargetState = "draining"
)

// Target is one server of a service, with the agent next to it.
type Target struct {
	// Name is unique within the service.
	Name string `json:"name"`
	// DataCentre is the data centre of the target's VM.
	DataCentre string `json:"data_centre"`
	// Agent is the IPv4 address at which the agent receives datagrams from
	// balancers and other agents.
	Agent netip.AddrPort `json:"agent"`
	// Peer is the address of the agent's peer link, over which it answers
	// other processes.
	Peer netip.AddrPort `json:"peer"`
	// Slots is the number of requests that the target runs at once.
	Slots int `json:"slots"`
	// Connections is the number of caller connections that the target's agent
	// accepts.
	Connections int `json:"connections"`
	// Speed is the rated speed relative to a target of speed 1.0. Default 1.0.
	Speed float64 `json:"speed"`
	// State is active or draining. Default active.
	State TargetState `json:"state"`
}

// Role is the role of a VM.
type Role string

// The roles.
const (
	// RoleBalancer is the role of a VM that runs a balancer.
	RoleBalancer Role = "balancer"
	// RoleAgent is the role of a VM that runs a target and its agent.
	RoleAgent Role = "agent"
)

// VMState is the state of a VM in the platform's list.
type VMState string

// The VM states.
const (
	// VMLive is the state of a VM in service.
	VMLive VMState = "live"
	// VMLeaving is the state of a VM before its planned shutdown.
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's list of VMs. The list is updated with a
// delay, so it may be out of date.
type VM struct {
	Name            string         `json:"name"`
	Role            Role           `json:"role"`
	Service         string         `json:"service,omitempty"`
	DataCentre      string         `json:"data_centre"`
	PeerAddress     netip.AddrPort `json:"peer_address"`
	DatagramAddress netip.AddrPort `json:"datagram_address"`
	State           VMState        `json:"state"`
}
