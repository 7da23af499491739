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

// packetCommand returns the commands for processes of the packet plane on the
// users' platform.
func packetCommand() *cli.Command {
	flags := []cli.Flag{
		&cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` for metrics and status on the VM's address, 0 for none"},
		&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
	}
	return &cli.Command{
		Name: "packet", Usage: "run and examine processes of the packet plane; their settings file is the one that " + platform.SettingsVariable + " names",
		Commands: []*cli.Command{
			{Name: "balancer", Usage: "run a balancer of the packet plane", Flags: flags, Action: runPacket("balancer", packetplane.RunBalancer)},
			{Name: "agent", Usage: "run an agent of the packet plane", Flags: flags, Action: runPacket("agent", packetplane.RunAgent)},
			{Name: "status", Usage: "show the status of a process", Action: showPacketStatus,
				Flags: []cli.Flag{&cli.StringFlag{Name: "address", Usage: "`ADDRESS:PORT` of its metrics", Required: true}}},
			{Name: "check", Usage: "check a file with routes as the platform exports them", ArgsUsage: "FILE", Action: checkRoutes},
			{Name: "diff", Usage: "show what changes between two files with routes", ArgsUsage: "OLD NEW", Action: diffRoutes},
		},
	}
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show what the logs of several processes say about one flow, in time order", ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "flow", Usage: "`FLOW` as logs name it, such as 100.64.0.7:1025>198.18.0.1:443, or a part of it", Required: true},
			&cli.BoolFlag{Name: "context", Usage: "add changes of the processes named in the story, such as starts, stops and new views"},
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
		s.MetricsPort = c.Uint16("metrics-port")
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
		return trace.ConnectionProblem(err, "process does not answer: %v", err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return trace.Wrap(err)
	}
	var s packetplane.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return trace.BadParameter("answer is no status: %v", err)
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
		return invalidInput(trace.BadParameter("check: want one file"))
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
		return invalidInput(trace.BadParameter("diff: want two files"))
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
		return &codedError{exitDangerous, trace.BadParameter("routes with open flows are removed or sent elsewhere, or the version does not go up")}
	}
	return nil
}
