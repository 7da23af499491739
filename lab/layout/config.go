package layout

import (
	"net/netip"

	"trefoilweir.example/core/config"
)

// Names of the presets.
const (
	PresetOrdinary = "ordinary"
	PresetPeak     = "peak"
)

// Values of the initial configuration. The deadline is long, so that the result
// of a run does not depend on the speed of the machine.
const (
	deadlineMS     = 10_000
	maxConnections = 2000
	coldStartMS    = 500
)

// initialConfig returns the initial configuration.
func (p *Plan) initialConfig() config.Config {
	c := config.Config{
		Version: 1, Preset: PresetOrdinary,
		AgentNetworks: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		Presets: map[string]config.Preset{
			PresetOrdinary: {HandOver: true, HandOverPeers: 3, QueuePerSlot: 4, RetryBudgetPercent: 10, ColdStartMS: coldStartMS, Bias: p.Bias},
			PresetPeak:     {HandOver: true, HandOverPeers: 6, QueuePerSlot: 8, RetryBudgetPercent: 5, ColdStartMS: coldStartMS, Bias: p.Bias},
		},
	}
	for _, s := range p.Services {
		service := config.Service{Name: s.Name, ID: s.ID, Address: p.ServiceAddress(s), Classes: classes()}
		for i := 1; i <= s.Targets; i++ {
			service.Targets = append(service.Targets, p.targetConfig(s, i))
		}
		c.Services = append(c.Services, service)
	}
	return c
}

func classes() []config.Class {
	return []config.Class{
		{Name: "map", PathPrefix: "/map", HoldsSlot: true, DeadlineMS: deadlineMS, Repeatable: true, Tickets: true},
		{Name: "hold", PathPrefix: "/hold", HoldsSlot: true, DeadlineMS: deadlineMS, Tickets: true},
		{Name: "payment", PathPrefix: "/payment", HoldsSlot: true, DeadlineMS: deadlineMS, Tickets: true},
		{Name: "file", PathPrefix: "/file", HoldsSlot: true, DeadlineMS: deadlineMS, Repeatable: true},
		{Name: "upload", PathPrefix: "/upload", HoldsSlot: true, DeadlineMS: deadlineMS},
		{Name: "submit", PathPrefix: "/submit", HoldsSlot: true, DeadlineMS: deadlineMS},
		{Name: "ticker", PathPrefix: "/ticker", Repeatable: true},
	}
}

func (p *Plan) targetConfig(s Service, i int) config.Target {
	agent := p.agentSettings(s, i)
	return config.Target{
		Name: agent.Name, DataCentre: agent.DataCentre, Agent: agent.DatagramAddress, Peer: agent.PeerAddress,
		Slots: s.Slots, Connections: maxConnections, Speed: s.Speed(i), State: config.TargetActive,
	}
}

// initialVMs returns the initial VM list.
func (p *Plan) initialVMs() []config.VM {
	var vms []config.VM
	for i := 1; i <= p.Balancers; i++ {
		vms = append(vms, p.balancerVM(i))
	}
	for _, s := range p.Services {
		for i := 1; i <= s.Targets; i++ {
			vms = append(vms, p.agentVM(s, i))
		}
	}
	return vms
}

func (p *Plan) balancerVM(i int) config.VM {
	c := p.balancerSettings(i).Common
	return config.VM{
		Name: c.Name, Role: config.RoleBalancer, DataCentre: c.DataCentre,
		PeerAddress: c.PeerAddress, DatagramAddress: c.DatagramAddress, State: config.VMLive,
	}
}

func (p *Plan) agentVM(s Service, i int) config.VM {
	c := p.agentSettings(s, i).Common
	return config.VM{
		Name: c.Name, Role: config.RoleAgent, Service: s.Name, DataCentre: c.DataCentre,
		PeerAddress: c.PeerAddress, DatagramAddress: c.DatagramAddress, State: config.VMLive,
	}
}
