// Package plane has the settings of a process of the packet plane and the
// output of its decision machine, a dispatch.Machine at a balancer and an
// ownership.Machine at an agent. An adapter fills in the settings from the
// settings file of its platform.
package plane

import (
	"net/netip"
	"time"
)

// Settings holds the settings of a balancer or an agent.
type Settings struct {
	// Name is the name of the process, DataCentre the data centre in which it
	// runs.
	Name, DataCentre string
	// Regions has the region of each data centre.
	Regions map[string]string
	// IP is the address of the VM.
	IP netip.Addr
	// PacketAddr is where a balancer receives callers' packets. Packets for
	// callers are sent to the same port.
	PacketAddr netip.AddrPort
	// ReadyAddr is where the process answers readiness probes over HTTP.
	ReadyAddr netip.AddrPort
	// ControlAddr is where the process serves its view of the fleet to others.
	// Only some processes have one.
	ControlAddr netip.AddrPort
	// FromTargetAddr is where an agent receives its target's packets.
	FromTargetAddr netip.AddrPort
	// TargetAddr is the address of the agent's target, Service its service.
	TargetAddr netip.AddrPort
	Service    string
	// PeerPort is the port for datagrams and HTTP requests between processes.
	PeerPort uint16
	// MetricsPort is the port for metrics and status, 0 for none.
	MetricsPort uint16
	// Seeds are ControlAddr values of other processes. They may be out of date.
	Seeds []netip.AddrPort
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// BootClock says that the clock that counts suspensions starts with the VM. An
	// agent that starts with it knows that its target has no earlier flows.
	BootClock bool
	// StoreAddr is the network address of the platform's store.
	StoreAddr string
	// StopGrace is the time between a request to stop the process and its
	// forced termination.
	StopGrace time.Duration
	// FlowTTL is the age after which a flow may be discarded.
	FlowTTL time.Duration
}

// Milliseconds converts a number of milliseconds to a time.Duration.
func Milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
