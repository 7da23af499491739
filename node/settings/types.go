// Package settings reads and validates the settings file of a balancer or an
// agent: its addresses, its data centre, and the paths of its keys and
// certificates.
package settings

import "net/netip"

// Common holds the settings that balancers and agents share.
type Common struct {
	// Name is the name of the VM in the platform's VM list.
	Name string `json:"name"`
	// DataCentre is the data centre of the VM.
	DataCentre string `json:"data_centre"`
	// DatagramAddress is the UDP address for authenticated datagrams between
	// processes.
	DatagramAddress netip.AddrPort `json:"datagram_address"`
	// PeerAddress is the UDP address of the peer link: HTTP/3 between
	// processes.
	PeerAddress netip.AddrPort `json:"peer_address"`
	// OperatorAddress is the address of the operator endpoint.
	OperatorAddress netip.AddrPort `json:"operator_address"`
	// Platform lists the base URLs of the configuration service.
	Platform []string `json:"platform"`
	// TLS has the paths of the files for mutual TLS.
	TLS TLS `json:"tls"`
	// KeysFile is the path of the file with the key generations.
	KeysFile string `json:"keys_file"`
	// LogLevel is debug, info, warn or error. The default is info.
	LogLevel string `json:"log_level,omitempty"`
}

// TLS has the paths of PEM files.
type TLS struct {
	// CA is the certificate of the cluster's certificate authority.
	CA string `json:"ca"`
	// Certificate and Key identify this process to its peers and operators.
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	Common
	// Listen maps a service name to the local address for its datagrams. The
	// default is the address of the service.
	Listen map[string]netip.AddrPort `json:"listen,omitempty"`
	// LingerMS is the minimum time for which a stopping balancer continues to
	// forward, in milliseconds. The default is 5000.
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
	// ServiceCertificate and ServiceKey are the paths of the PEM files with
	// which the agent identifies the service to callers.
	ServiceCertificate string `json:"service_certificate"`
	ServiceKey         string `json:"service_key"`
	// DrainLimitMS bounds the time for which a stopping agent waits for its
	// last request, in milliseconds. Zero, the default, means no limit.
	DrainLimitMS int `json:"drain_limit_ms,omitempty"`
}
