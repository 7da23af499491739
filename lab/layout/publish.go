package layout

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/load"
)

// ChangeConfig applies a change to the configuration file and increments its
// version.
func (p *Plan) ChangeConfig(change func(*config.Config) error) error {
	var c config.Config
	if err := readJSON(p.Path(ConfigFile), &c); err != nil {
		return trace.Wrap(err)
	}
	c.Version++
	if err := change(&c); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeJSON(p.Path(ConfigFile), c))
}

// DrainTarget marks a target as draining in the configuration and records the
// time in LeavingFile.
func (p *Plan) DrainTarget(name string) error {
	err := p.ChangeConfig(func(c *config.Config) error {
		for i := range c.Services {
			for k := range c.Services[i].Targets {
				if t := &c.Services[i].Targets[k]; t.Name == name {
					t.State = config.TargetDraining
					return nil
				}
			}
		}
		return trace.NotFound("target %s is not in the configuration", name)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(load.AppendLeaving(p.Path(LeavingFile), name))
}

// RemoveTarget removes a target from the configuration.
func (p *Plan) RemoveTarget(name string) error {
	return p.ChangeConfig(func(c *config.Config) error {
		for i := range c.Services {
			s := &c.Services[i]
			s.Targets = slices.DeleteFunc(s.Targets, func(t config.Target) bool { return t.Name == name })
		}
		return nil
	})
}

// AddTarget adds the VM of spare target i of a service to the VM list and the
// target to the configuration.
func (p *Plan) AddTarget(s Service, i int) error {
	if err := p.changeVMs(func(vms []config.VM) []config.VM { return append(vms, p.agentVM(s, i)) }); err != nil {
		return trace.Wrap(err)
	}
	return p.ChangeConfig(func(c *config.Config) error {
		for k := range c.Services {
			if c.Services[k].Name == s.Name {
				c.Services[k].Targets = append(c.Services[k].Targets, p.targetConfig(s, i))
				return nil
			}
		}
		return trace.NotFound("service %s is not in the configuration", s.Name)
	})
}

// SetPreset sets the preset in the configuration.
func (p *Plan) SetPreset(name string) error {
	return p.ChangeConfig(func(c *config.Config) error {
		c.Preset = name
		return nil
	})
}

// AddBalancer adds balancer i to the VM list.
func (p *Plan) AddBalancer(i int) error {
	return p.changeVMs(func(vms []config.VM) []config.VM { return append(vms, p.balancerVM(i)) })
}

// SetVMState sets the state of a VM in the VM list.
func (p *Plan) SetVMState(name string, state config.VMState) error {
	return p.changeVMs(func(vms []config.VM) []config.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].State = state
			}
		}
		return vms
	})
}

// RemoveVM removes a VM from the VM list.
func (p *Plan) RemoveVM(name string) error {
	return p.changeVMs(func(vms []config.VM) []config.VM {
		return slices.DeleteFunc(vms, func(vm config.VM) bool { return vm.Name == name })
	})
}

func (p *Plan) changeVMs(change func([]config.VM) []config.VM) error {
	var vms []config.VM
	if err := readJSON(p.Path(VMFile), &vms); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeJSON(p.Path(VMFile), change(vms)))
}

func readJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(json.Unmarshal(data, value), "%s", path)
}
