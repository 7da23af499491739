package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/node/explain"
	"trefoilweir.example/node/packetplane"
	"trefoilweir.example/node/telemetry"
	"trefoilweir.example/platform"
)

// packetCommand returns the commands for packet plane processes, which run on
// the users' platform.
func packetCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` on the VM's address that serves metrics and status, 0 for none"},
		&cli.BoolFlag{Name: "boot-clock", Usage: "CLOCK_BOOTTIME starts with the VM, so that an agent knows whether its target started with it"},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
	}
	return &cli.Command{
		Name: "packet", Usage: "run and inspect processes of the packet plane; the environment variable " + platform.SettingsVariable + " names their settings file",
		Commands: []*cli.Command{
			{Name: "balancer", Usage: "run a balancer of the packet plane", Flags: flags, Action: runPacket("balancer", packetplane.RunBalancer)},
			{Name: "agent", Usage: "run an agent of the packet plane", Flags: flags, Action: runPacket("agent", packetplane.RunAgent)},
			{Name: "status", Usage: "show the status of a packet plane process", Action: showPacketStatus,
				Flags: []cli.Flag{&cli.StringFlag{Name: "address", Usage: "`ADDRESS:PORT` of its metrics and status", Required: true}}},
			{Name: "check", Usage: "check a routes file as the platform exports it", ArgsUsage: "FILE", Action: checkRoutes},
			{Name: "diff", Usage: "show what changes between two routes files; exit code 3 if a change is dangerous", ArgsUsage: "OLD NEW", Action: diffRoutes},
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show the log lines of several processes about one flow, ordered by time", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "flow", Usage: "`FLOW` as it appears in logs, such as 100.64.0.7:1025>198.18.0.1:443, or a part of it", Required: true},
			&cli.BoolFlag{Name: "context", Usage: "also show state changes of the processes that logged the flow, such as starts, stops and new views"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return invalidInput(trace.BadParameter("explain: no log file given"))
			}
			return trace.Wrap(explain.WriteTimeline(os.Stdout, c.String("flow"), c.Bool("context"), c.Args().Slice()))
		},
	}
}

func runPacket(role string, run func(context.Context, packetplane.Options) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		s, err := platform.LoadSettings()
		if err != nil {
			return invalidInput(err)
		}
		s.MetricsPort, s.BootClock = c.Uint16("metrics-port"), c.Bool("boot-clock")
		metrics := telemetry.NewMetrics()
		out := telemetry.NewAsyncWriter(os.Stdout, metrics)
		log, err := telemetry.NewLogger(telemetry.Options{Out: out, Level: c.String("log-level"), Role: role, Name: s.Name})
		if err != nil {
			return invalidInput(err)
		}
		err = run(ctx, packetplane.Options{
			Settings: s, Codec: platform.Codec{}, Source: platform.NewStore(s.StoreAddr, log.Named("store")), Log: log, Metrics: metrics, Reload: platform.LoadSettings,
		})
		return trace.NewAggregate(err, out.Sync())
	}
}

func showPacketStatus(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.String("address")+packetplane.PathStatus, nil)
	if err != nil {
		return invalidInput(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return trace.ConnectionProblem(err, "status request failed: %v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	var s packetplane.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return trace.BadParameter("status response cannot be decoded: %v", err)
	}
	pretty, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	fmt.Println(string(pretty))
	return nil
}

func checkRoutes(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return invalidInput(trace.BadParameter("check: expected one routes file"))
	}
	config, err := platform.LoadRoutes(c.Args().First())
	if err != nil {
		return invalidInput(err)
	}
	fmt.Printf("version %d: %d routes, all valid\n", config.Version, len(config.Routes))
	return nil
}

func diffRoutes(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return invalidInput(trace.BadParameter("diff: expected two routes files, the old one first"))
	}
	before, err := platform.LoadRoutes(c.Args().Get(0))
	if err != nil {
		return invalidInput(err)
	}
	after, err := platform.LoadRoutes(c.Args().Get(1))
	if err != nil {
		return invalidInput(err)
	}
	dangerous := explain.DiffRoutes(os.Stdout, before, after)
	if dangerous {
		return &codedError{exitDangerous, trace.BadParameter("dangerous change: a route is removed or moves to another service, or the version does not increase")}
	}
	return nil
}
