// Package layout writes the files of a lab system on loopback: settings, keys,
// the configuration file and the VM list. It also changes the configuration and
// the VM list of a running system, as operators and the platform do.
//
// Every process has an IP address of its own within 127.0.0.0/8. The ports can
// therefore be fixed, and systems that run at the same time do not collide.
package layout

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/keys"
	"trefoilweir.example/node/settings"
)

// Names of the files in the directory of a system.
const (
	ConfigFile  = "config.json"
	VMFile      = "vms.json"
	LeavingFile = "leaving.log"
	ControlFile = "platform.control"
	CutFile     = "fabric.cut"
	KeysDir     = "keys"
	LogDir      = "logs"
)

// Ports of the processes.
const (
	datagramPort = 7100
	peerPort     = 7200
	operatorPort = 7300
	targetPort   = 8080
	platformPort = 8500
	servicePort  = 4430
)

// Last octets of the addresses. The octet of balancer i is balancerHost+i. The
// agents of each service have octetsPerService octets, from agentHost on.
const (
	sharedHost       = 1
	balancerHost     = 10
	agentHost        = 40
	octetsPerService = 40
)

// Service describes a service of a lab system.
type Service struct {
	Name string
	ID   uint32
	// Targets is the number of targets in the initial configuration.
	Targets int
	// SpareTargets is the number of further targets, which have settings but
	// are not in the initial configuration.
	SpareTargets int
	Slots        int
	// Speeds are assigned to the targets in turn, starting over at the end.
	Speeds []float64
}

// Plan describes a lab system.
type Plan struct {
	Dir string
	// NetPrefix holds the first three octets of all addresses, such as "127.7.1".
	NetPrefix string
	// Balancers is the number of balancers in the initial VM list.
	Balancers int
	// SpareBalancers is the number of further balancers, which have settings
	// but are not in the initial VM list.
	SpareBalancers int
	DataCentres    []string
	Services       []Service
	// Bias is the bias of the presets.
	Bias config.Bias
	// LingerMS is the least time that a stopping balancer goes on forwarding,
	// in milliseconds.
	LingerMS int
}

// Lutkica returns the plan of a system like that of the user Lutkica Ulaznice.
// The service booking has 7 targets and gallery has 3, with speeds from 1 to 4.
func Lutkica(dir, net string) Plan {
	return Plan{
		Dir: dir, NetPrefix: net, Balancers: 3, SpareBalancers: 1, Bias: config.BiasBalance, LingerMS: 2000,
		DataCentres: []string{"hr-north-a", "hr-north-b", "hr-north-c"},
		Services: []Service{
			{Name: "booking", ID: 1, Targets: 7, SpareTargets: 1, Slots: 7, Speeds: []float64{1, 4, 2, 1, 4, 2, 1}},
			{Name: "gallery", ID: 2, Targets: 3, Slots: 7, Speeds: []float64{1, 4, 2}},
		},
	}
}

// ServiceAddress returns the address of a service, at which the fabric listens.
func (p *Plan) ServiceAddress(s Service) netip.AddrPort {
	return p.addressAt(sharedHost, servicePort+uint16(s.ID))
}

// PlatformAddress returns the address at which the platform listens.
func (p *Plan) PlatformAddress() netip.AddrPort { return p.addressAt(sharedHost, platformPort) }

// Path returns the path of a file in the system's directory.
func (p *Plan) Path(parts ...string) string {
	return filepath.Join(append([]string{p.Dir}, parts...)...)
}

// BalancerName returns the name of balancer i, counted from 1.
func BalancerName(i int) string { return fmt.Sprintf("balancer-%d", i) }

// TargetName returns the name of target i of a service, counted from 1. Its
// agent has the same name.
func (s *Service) TargetName(i int) string { return fmt.Sprintf("%s-%d", s.Name, i) }

// Speed returns the speed of target i.
func (s *Service) Speed(i int) float64 { return s.Speeds[(i-1)%len(s.Speeds)] }

// TargetAddress returns the address of target i of a service.
func (p *Plan) TargetAddress(s Service, i int) netip.AddrPort {
	return p.addressAt(agentOctet(s, i), targetPort)
}

// OperatorAddress returns the operator address of the agent of target i of a
// service.
func (p *Plan) OperatorAddress(s Service, i int) netip.AddrPort {
	return p.addressAt(agentOctet(s, i), operatorPort)
}

func agentOctet(s Service, i int) int { return agentHost + octetsPerService*int(s.ID-1) + i }

func (p *Plan) addressAt(host int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr(fmt.Sprintf("%s.%d", p.NetPrefix, host)), port)
}

func (p *Plan) dataCentre(i int) string { return p.DataCentres[(i-1)%len(p.DataCentres)] }

// Write writes all files of the system, with the initial configuration and VM
// list.
func (p *Plan) Write() error {
	if err := os.MkdirAll(p.Path(LogDir), 0o755); err != nil {
		return trace.ConvertSystemError(err)
	}
	var names []string
	for _, s := range p.Services {
		names = append(names, s.Name)
	}
	if err := keys.Write(p.Path(KeysDir), names); err != nil {
		return trace.Wrap(err)
	}
	if err := p.writeSettings(); err != nil {
		return trace.Wrap(err)
	}
	if err := writeJSON(p.Path(VMFile), p.initialVMs()); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeJSON(p.Path(ConfigFile), p.initialConfig()))
}

func (p *Plan) writeSettings() error {
	for i := 1; i <= p.Balancers+p.SpareBalancers; i++ {
		if err := writeJSON(p.SettingsPath(BalancerName(i)), p.balancerSettings(i)); err != nil {
			return trace.Wrap(err)
		}
	}
	for _, s := range p.Services {
		for i := 1; i <= s.Targets+s.SpareTargets; i++ {
			if err := writeJSON(p.SettingsPath(s.TargetName(i)), p.agentSettings(s, i)); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// SettingsPath returns the path of the settings file of a process.
func (p *Plan) SettingsPath(name string) string { return p.Path(name + ".json") }

func (p *Plan) commonSettings(name string, host, i int) settings.Common {
	return settings.Common{
		Name: name, DataCentre: p.dataCentre(i),
		DatagramAddress: p.addressAt(host, datagramPort), PeerAddress: p.addressAt(host, peerPort), OperatorAddress: p.addressAt(host, operatorPort),
		Platform: []string{"http://" + p.PlatformAddress().String()},
		TLS: settings.TLS{
			CA: p.Path(KeysDir, "ca.pem"), Certificate: p.Path(KeysDir, "peer.pem"), Key: p.Path(KeysDir, "peer-key.pem"),
		},
		KeysFile: p.Path(KeysDir, keys.KeysFile), LogLevel: "info",
	}
}

func (p *Plan) balancerSettings(i int) settings.Balancer {
	listen := map[string]netip.AddrPort{}
	for _, s := range p.Services {
		listen[s.Name] = p.addressAt(balancerHost+i, p.ServiceAddress(s).Port())
	}
	return settings.Balancer{Common: p.commonSettings(BalancerName(i), balancerHost+i, i), Listen: listen, LingerMS: p.LingerMS}
}

func (p *Plan) agentSettings(s Service, i int) settings.Agent {
	return settings.Agent{
		Common:  p.commonSettings(s.TargetName(i), agentOctet(s, i), i),
		Service: s.Name, Target: s.TargetName(i), TargetAddress: p.TargetAddress(s, i),
		ServiceCertificate: p.Path(KeysDir, "service-"+s.Name+".pem"),
		ServiceKey:         p.Path(KeysDir, "service-"+s.Name+"-key.pem"),
	}
}

// writeJSON replaces a file atomically, so that a reader never sees an
// incomplete one.
func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(path+".new", data, 0o644); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(os.Rename(path+".new", path))
}

// BalancerOperatorAddress returns the operator address of balancer i.
func (p *Plan) BalancerOperatorAddress(i int) netip.AddrPort {
	return p.addressAt(balancerHost+i, operatorPort)
}
