package main

import (
	"context"
	"fmt"
	"os"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/lab/figure"
	"trefoilweir.example/lab/rig"
)

// The second octet of a run's addresses is minSecondOctet plus the process ID
// modulo secondOctets, so that concurrent runs are unlikely to share addresses.
const (
	minSecondOctet = 20
	secondOctets   = 200
)

func rigFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "bin", Usage: "`FILE` with the program trefoilweir", Value: "bin/trefoilweir"},
		&cli.StringFlag{Name: "dir", Usage: "`DIR` for settings and logs", Value: "demo-logs/packet"},
		&cli.Uint64Flag{Name: "seed", Usage: "seed of the run", Value: 1},
	}
}

// packetDemoCommand returns the command packet-demo, which runs the demo of
// package rig.
func packetDemoCommand() *cli.Command {
	return &cli.Command{
		Name: "packet-demo", Usage: "run balancers, agents, targets and callers of the packet plane while some of them stop or are replaced",
		Flags: append(rigFlags(), &cli.StringFlag{Name: "plot", Usage: "draw latency and load over time into `FILE` (.svg or .png)"}),
		Action: func(_ context.Context, c *cli.Command) error {
			dir := c.String("dir")
			if err := os.RemoveAll(dir); err != nil {
				return trace.ConvertSystemError(err)
			}
			report, err := rig.Demo(rig.DemoOptions(dir, c.String("bin"), minSecondOctet+os.Getpid()%secondOctets, c.Uint64("seed")), rig.DemoLoad())
			if err != nil {
				return trace.Wrap(err)
			}
			if file := c.String("plot"); file != "" {
				if err := figure.Draw(file, report.Samples, report.Marks); err != nil {
					return trace.Wrap(err)
				}
			}
			return printReport(report)
		},
	}
}

// drainDemoCommand returns the command packet-drain, which drains the zones of the
// demo's system.
func drainDemoCommand() *cli.Command {
	return &cli.Command{
		Name: "packet-drain", Usage: "run the packet plane while its zones are drained and put back into service", Flags: rigFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			dir := c.String("dir")
			if err := os.RemoveAll(dir); err != nil {
				return trace.ConvertSystemError(err)
			}
			report, err := rig.DrainDemo(rig.DemoOptions(dir, c.String("bin"), minSecondOctet+os.Getpid()%secondOctets, c.Uint64("seed")), rig.DemoLoad())
			if err != nil {
				return trace.Wrap(err)
			}
			return printReport(report)
		},
	}
}

// printReport prints the report. It returns an error if the run failed or
// finished no request.
func printReport(r rig.Report) error {
	fmt.Println(r.String())
	for _, note := range append(r.Notes, r.Failures...) {
		fmt.Fprintln(os.Stderr, note)
	}
	if r.Failed() || r.Finished == 0 {
		return trace.Errorf("the run had violations or failures, or finished no request")
	}
	return nil
}
