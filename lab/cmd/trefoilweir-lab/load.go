package main

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/lab/load"
)

func loadCommand() *cli.Command {
	d := load.Defaults()
	return &cli.Command{
		Name:  "load",
		Usage: "run HTTP/3 callers and print a report as one JSON line",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "`name=address` of a service; repeat"},
			&cli.StringSliceFlag{Name: "weight", Usage: "`name=weight`, the share of a service; default 1"},
			&cli.StringFlag{Name: "ca", Required: true, Usage: "PEM `file` of the certificate authority"},
			&cli.StringSliceFlag{Name: "target-log", Required: true, Usage: "`pattern` of the targets' logs; repeat"},
			&cli.StringFlag{Name: "leaving", Usage: "`file` with the times at which targets were listed as leaving"},
			&cli.Uint64Flag{Name: "seed", Value: d.Seed, Usage: "`seed` of the plan of requests"},
			&cli.IntFlag{Name: "requests", Value: d.Requests, Usage: "`number` of requests without tickers"},
			&cli.FloatFlag{Name: "rate", Value: d.Rate, Usage: "mean `number` of requests per second"},
			&cli.IntFlag{Name: "sessions", Value: d.Sessions, Usage: "`number` of sessions at a time"},
			&cli.IntFlag{Name: "per-session", Value: d.RequestsPerSession, Usage: "`number` of requests of a session"},
			&cli.IntFlag{Name: "tickers", Value: d.Tickers, Usage: "`number` of tickers per service"},
			&cli.FloatFlag{Name: "work-ms", Value: d.WorkMS, Usage: "mean work of a request at speed 1, in `ms`"},
			&cli.StringFlag{Name: "mix", Value: string(d.Mix), Usage: "`kinds` of requests: full or map"},
			&cli.DurationFlag{Name: "timeout", Value: d.Timeout, Usage: "time `limit` of one attempt"},
			&cli.BoolFlag{Name: "no-tickets", Usage: "send no Idempotency-Key"},
			&cli.BoolFlag{Name: "check", Usage: "fail if the report violates a rule"},
			&cli.IntFlag{Name: "max-unknown", Usage: "`number` of unknown outcomes that --check accepts"},
			&cli.IntFlag{Name: "max-refused", Usage: "`number` of refused requests that --check accepts"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	options, err := loadOptions(c)
	if err != nil {
		return err
	}
	results, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	report, err := judgeLoad(c, results)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(os.Stdout).Encode(report); err != nil {
		return err
	}
	if c.Bool("check") {
		return report.Check(c.Int("max-unknown"), c.Int("max-refused"))
	}
	return nil
}

func loadOptions(c *cli.Command) (load.Options, error) {
	logger, err := newLogger("load")
	if err != nil {
		return load.Options{}, err
	}
	services, err := loadServices(c)
	o := load.Defaults()
	o.Services, o.CAFile, o.Seed, o.Log = services, c.String("ca"), c.Uint64("seed"), logger
	o.Requests, o.Rate, o.Sessions, o.RequestsPerSession = c.Int("requests"), c.Float("rate"), c.Int("sessions"), c.Int("per-session")
	o.Tickers, o.WorkMS, o.Mix, o.Timeout = c.Int("tickers"), c.Float("work-ms"), load.Mix(c.String("mix")), c.Duration("timeout")
	o.NoTickets = c.Bool("no-tickets")
	return o, err
}

func loadServices(c *cli.Command) ([]load.Service, error) {
	weights := map[string]int{}
	for _, pair := range c.StringSlice("weight") {
		name, text, _ := strings.Cut(pair, "=")
		weight, err := strconv.Atoi(text)
		if err != nil || weight < 1 {
			return nil, trace.BadParameter("weight %q is not in the form name=weight with a weight of at least 1", pair)
		}
		weights[name] = weight
	}
	var services []load.Service
	for _, pair := range c.StringSlice("service") {
		parsed, err := parseServices([]string{pair})
		if err != nil {
			return nil, err
		}
		for name, address := range parsed {
			services = append(services, load.Service{Name: name, Address: address, Weight: max(1, weights[name])})
		}
	}
	return services, nil
}

func judgeLoad(c *cli.Command, results load.Results) (load.Report, error) {
	evidence, err := load.ReadEvidence(c.StringSlice("target-log")...)
	if err != nil {
		return load.Report{}, err
	}
	leaving, err := load.ReadLeaving(c.String("leaving"))
	if err != nil {
		return load.Report{}, err
	}
	return load.Evaluate(c.Uint64("seed"), results, evidence, leaving), nil
}
