// Package plane has the settings of a process of the packet plane. An adapter
// fills them in from the settings file of its platform.
package plane

import (
	"net/netip"
	"time"
)

// Settings of a balancer or an agent.
type Settings struct {
	// Name and DataCentre are the process's name and place.
	Name, DataCentre string
	// IP is the address of the VM.
	IP netip.Addr
	// PacketAddr receives callers' packets at a balancer. Its port is also the
	// port to which packets for callers are sent.
	PacketAddr netip.AddrPort
	// ReadyAddr answers readiness probes over HTTP.
	ReadyAddr netip.AddrPort
	// ControlAddr answers processes that look for the view of the fleet. Only
	// some processes have one.
	ControlAddr netip.AddrPort
	// FromTargetAddr receives the target's packets at an agent.
	FromTargetAddr netip.AddrPort
	// TargetAddr is the address of the agent's target, Service its service.
	TargetAddr netip.AddrPort
	Service    string
	// PeerPort is the port for datagrams and HTTP between processes.
	PeerPort uint16
	// MetricsPort is the port for metrics and status, 0 for none.
	MetricsPort uint16
	// Seeds are Control addresses that may be stale.
	Seeds []netip.AddrPort
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// StoreAddr is the address of the platform's store.
	StoreAddr string
	// StopGrace is the time between a request to stop and a kill.
	StopGrace time.Duration
	// FlowTTL is the age after which a flow may be discarded.
	FlowTTL time.Duration
}

// Milliseconds converts a number of milliseconds.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
