package main

import (
	"context"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/node/process"
	"trefoilweir.example/node/settings"
)

func runBalancer(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadBalancer(c.String("settings"))
	if err != nil {
		return invalidInput(err)
	}
	p, err := process.NewBalancer(s, os.Stderr)
	if err != nil {
		return invalidInput(err)
	}
	return trace.Wrap(p.Run(ctx))
}

func runAgent(ctx context.Context, c *cli.Command) error {
	s, err := settings.LoadAgent(c.String("settings"))
	if err != nil {
		return invalidInput(err)
	}
	p, err := process.NewAgent(s, os.Stderr)
	if err != nil {
		return invalidInput(err)
	}
	return trace.Wrap(p.Run(ctx))
}
