// Package settings reads the settings file of a process: its addresses, its
// data centre, and where its keys and certificates are.
package settings

import "net/netip"

// Common holds the settings that both roles have.
type Common struct {
	// Name is the name of the VM in the platform's list.
	Name string `json:"name"`
	// DataCentre is where the VM is.
	DataCentre string `json:"data_centre"`
	// DatagramAddress is the address for keyed datagrams.
	DatagramAddress netip.AddrPort `json:"datagram_address"`
	// PeerAddress is the address of the peer link.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress is the address of the operator port.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// Platform lists the base URLs of the configuration service.
	Platform []string `json:"platform"`
	// TLS names the files for mutual TLS.
	TLS TLS `json:"tls"`
	// KeysFile names the file with the key generations.
	KeysFile string `json:"keys_file"`
	// LogLevel is debug, info, warn or error. Default info.
	LogLevel string `json:"log_level,omitempty"`
}

// TLS names PEM files.
type TLS struct {
	// CA is the cluster's certificate authority.
	CA string `json:"ca"`
	// Certificate and Key identify this process to its peers and operators.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Listen maps a service name to the local address for its datagrams.
	// Default: the address of the service.
	Listen map[string]netip.AddrPort `json:"listen,omitempty"`
	// LingerMS is how long a stopping balancer goes on forwarding at least,
	// in milliseconds. Default 5000.
	LingerMS int `json:"linger_ms,omitempty"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Common
	// Service is the name of the one service that the agent serves.
	Service string `json:"service"`
	// Target is the name of the target in the configuration.
	Target string `json:"target"`
	// TargetAddress is the address of the target's HTTP/1.1 server.
	TargetAddress netip.AddrPort `json:"target_address"`
	// ServiceCertificate and ServiceKey name the PEM files shown to callers.
	ServiceCertificate string `json:"service_certificate"`
	ServiceKey         string `json:"service_key"`
	// DrainLimitMS bounds the wait for the last request of a stopping agent,
	// in milliseconds. Zero means no limit. Default 0.
	DrainLimitMS int `json:"drain_limit_ms,omitempty"`
}
