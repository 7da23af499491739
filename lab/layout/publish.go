package layout

import (
	"encoding/json"
	"os"
	"slices"

	"github.com/gravitational/trace"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/load"
)

// Publish changes the configuration and raises its version.
func (p *Plan) Publish(change func(*config.Config) error) error {
	var c config.Config
	if err := readJSON(p.File(ConfigFile), &c); err != nil {
		return trace.Wrap(err)
	}
	c.Version++
	if err := change(&c); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeJSON(p.File(ConfigFile), c))
}

// DrainTarget publishes that a target is draining and notes the time.
func (p *Plan) DrainTarget(name string) error {
	err := p.Publish(func(c *config.Config) error {
		for i := range c.Services {
			for k := range c.Services[i].Targets {
				if t := &c.Services[i].Targets[k]; t.Name == name {
					t.State = config.TargetDraining
					return nil
				}
			}
		}
		return trace.NotFound("target %s", name)
	})
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(load.AppendLeaving(p.File(LeavingFile), name))
}

// RemoveTarget publishes a configuration without a target.
func (p *Plan) RemoveTarget(name string) error {
	return p.Publish(func(c *config.Config) error {
		for i := range c.Services {
			s := &c.Services[i]
			s.Targets = slices.DeleteFunc(s.Targets, func(t config.Target) bool { return t.Name == name })
		}
		return nil
	})
}

// AddTarget publishes spare target i of a service, and lists its VM.
func (p *Plan) AddTarget(s Service, i int) error {
	if err := p.changeVMs(func(vms []config.VM) []config.VM { return append(vms, p.agentVM(s, i)) }); err != nil {
		return trace.Wrap(err)
	}
	return p.Publish(func(c *config.Config) error {
		for k := range c.Services {
			if c.Services[k].Name == s.Name {
				c.Services[k].Targets = append(c.Services[k].Targets, p.target(s, i))
				return nil
			}
		}
		return trace.NotFound("service %s", s.Name)
	})
}

// SetPreset publishes a preset.
func (p *Plan) SetPreset(name string) error {
	return p.Publish(func(c *config.Config) error {
		c.Preset = name
		return nil
	})
}

// AddBalancer lists balancer i.
func (p *Plan) AddBalancer(i int) error {
	return p.changeVMs(func(vms []config.VM) []config.VM { return append(vms, p.balancerVM(i)) })
}

// SetVM lists a VM as live or leaving.
func (p *Plan) SetVM(name string, state config.VMState) error {
	return p.changeVMs(func(vms []config.VM) []config.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].State = state
			}
		}
		return vms
	})
}

// RemoveVM takes a VM off the list.
func (p *Plan) RemoveVM(name string) error {
	return p.changeVMs(func(vms []config.VM) []config.VM {
		return slices.DeleteFunc(vms, func(vm config.VM) bool { return vm.Name == name })
	})
}

func (p *Plan) changeVMs(change func([]config.VM) []config.VM) error {
	var vms []config.VM
	if err := readJSON(p.File(VMFile), &vms); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(writeJSON(p.File(VMFile), change(vms)))
}

func readJSON(path string, value any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(json.Unmarshal(data, value), "%s", path)
}
