package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
	"trefoilweir.example/node/packetplane"
	"trefoilweir.example/node/telemetry"
	"trefoilweir.example/platform"
)

// packetCommand returns the command that runs a process of the packet plane on
// the users' platform.
func packetCommand() *cli.Command {
	return &cli.Command{
		Name: "packet", Usage: "run a process of the packet plane, with the settings that " + platform.SettingsVariable + " names",
		Commands: []*cli.Command{
			{Name: "balancer", Usage: "run a balancer of the packet plane", Action: runPacket("balancer", packetplane.RunBalancer)},
			{Name: "agent", Usage: "run an agent of the packet plane", Action: runPacket("agent", packetplane.RunAgent)},
		},
	}
}

func runPacket(role string, run func(context.Context, packetplane.Options) error) cli.ActionFunc {
	return func(ctx context.Context, _ *cli.Command) error {
		s, err := platform.LoadSettings()
		if err != nil {
			return invalid(err)
		}
		log, err := telemetry.NewLogger(telemetry.Options{Out: os.Stdout, Level: "info", Role: role, Name: s.Name})
		if err != nil {
			return invalid(err)
		}
		return run(ctx, packetplane.Options{
			Settings: s, Codec: platform.Codec{}, Source: platform.NewStore(s.Store, log.Named("store")), Log: log, Metrics: telemetry.NewMetrics(),
		})
	}
}
