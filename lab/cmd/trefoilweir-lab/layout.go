package main

import (
	"context"
	"fmt"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/layout"
)

// layoutFlags returns the flags of the commands layout and publish. Both need the
// plan.
func layoutFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "dir", Required: true, Usage: "`directory` of the system's files"},
		&cli.StringFlag{Name: "net", Required: true, Usage: "first three `octets` of all addresses, such as 127.7.1"},
	}
}

func planFromFlags(c *cli.Command) layout.Plan {
	return layout.Lutkica(c.String("dir"), c.String("net"))
}

func layoutCommand() *cli.Command {
	return &cli.Command{
		Name:  "layout",
		Usage: "write settings, keys, configuration and VM list of booking and gallery; print the targets",
		Flags: layoutFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			p := planFromFlags(c)
			for _, s := range p.Services {
				for i := 1; i <= s.Targets; i++ {
					fmt.Println(s.TargetName(i), s.Name, p.TargetAddress(s, i), s.Slots, s.Speed(i))
				}
			}
			return p.Write()
		},
	}
}

func publishCommand() *cli.Command {
	return &cli.Command{
		Name:      "publish",
		Usage:     "change the configuration or the VM list of a system",
		ArgsUsage: "drain TARGET | leaving VM | remove VM | add-balancer NUMBER | preset NAME",
		Flags:     layoutFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			p := planFromFlags(c)
			return publish(&p, c.Args().Get(0), c.Args().Get(1))
		},
	}
}

func publish(p *layout.Plan, change, name string) error {
	switch change {
	case "drain":
		return p.DrainTarget(name)
	case "leaving":
		return p.SetVMState(name, config.VMLeaving)
	case "remove":
		return p.RemoveVM(name)
	case "preset":
		return p.SetPreset(name)
	case "add-balancer":
		var i int
		if _, err := fmt.Sscan(name, &i); err != nil {
			return trace.BadParameter("add-balancer requires a number: %v", err)
		}
		return p.AddBalancer(i)
	default:
		return trace.BadParameter("unknown change %q of the configuration or VM list", change)
	}
}
