package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"trefoilweir.example/lab/target"
)

func targetCommand() *cli.Command {
	return &cli.Command{
		Name:  "target",
		Usage: "serve requests with a limited number of slots at a set speed",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`address` of the HTTP/1.1 server"},
			&cli.StringFlag{Name: "name", Required: true, Usage: "`name` of the target"},
			&cli.StringFlag{Name: "service", Required: true, Usage: "`name` of the service"},
			&cli.StringFlag{Name: "log", Required: true, Usage: "`file` for the log of what ran"},
			&cli.IntFlag{Name: "slots", Value: 7, Usage: "`number` of requests that run at the same time"},
			&cli.FloatFlag{Name: "speed", Value: 1, Usage: "`factor` that divides the work of a request"},
			&cli.DurationFlag{Name: "cold-start", Usage: "`time` until the speed rises from a quarter to its full value"},
			&cli.IntFlag{Name: "shed-at", Usage: "`number` of waiting requests at which new ones are refused"},
			&cli.FloatFlag{Name: "misreport", Value: 1, Usage: "`factor` that multiplies the figures of the load report"},
			&cli.DurationFlag{Name: "report-age", Usage: "`age` of the figures of the load report"},
		},
		Action: runTarget,
	}
}

func runTarget(ctx context.Context, c *cli.Command) error {
	journal, err := openLog(c.String("log"))
	if err != nil {
		return err
	}
	defer journal.Close()
	return serve(ctx, c.String("listen"), target.New(target.Options{
		Name: c.String("name"), Service: c.String("service"), Slots: c.Int("slots"), Speed: c.Float("speed"),
		ColdStart: c.Duration("cold-start"), ShedAt: c.Int("shed-at"), ReportFactor: c.Float("misreport"),
		ReportAge: c.Duration("report-age"), Log: journal,
	}))
}
