package main

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/lab/soak"
)

func soakCommand() *cli.Command {
	flags := append(rigFlags(),
		&cli.IntFlag{Name: "seeds", Usage: "number of seeds to run, one after the other", Value: 1},
		&cli.DurationFlag{Name: "length", Usage: "how long faults are injected", Value: 10 * time.Second},
		&cli.IntFlag{Name: "size", Usage: "factor for the number of targets", Value: 1},
		&cli.IntFlag{Name: "load", Usage: "factor for the number of callers (default: the value of size)"},
		&cli.BoolFlag{Name: "plan", Usage: "print the faults of each seed"},
	)
	return &cli.Command{
		Name: "soak", Usage: "run the packet plane under load and random faults, and check its guarantees", Flags: flags,
		Action: func(_ context.Context, c *cli.Command) error {
			failed := 0
			for n := range uint64(c.Int("seeds")) {
				o := soak.Options{Dir: c.String("dir"), Program: c.String("bin"), SecondOctet: minSecondOctet + os.Getpid()%secondOctets,
					Seed: c.Uint64("seed") + n, FaultDuration: c.Duration("length"), TargetFactor: c.Int("size"), CallerFactor: cmp.Or(c.Int("load"), c.Int("size"))}
				result, err := soak.Run(o)
				if err != nil {
					return trace.Wrap(err, "seed %d", o.Seed)
				}
				printSoak(o, result, c.Bool("plan"))
				if result.Failed() {
					failed++
				}
			}
			if failed > 0 {
				return trace.Errorf("%d seeds failed", failed)
			}
			return nil
		},
	}
}

func printSoak(o soak.Options, r *soak.Result, plan bool) {
	fmt.Printf("seed=%d faults=%d late_finished=%d/%d %s\n", o.Seed, len(r.Faults), r.AfterFaults.Finished, r.AfterFaults.Requests, r.String())
	if !plan && !r.Failed() {
		return
	}
	for _, line := range append(append(r.Faults, r.Notes...), r.Failures...) {
		fmt.Println("  " + line)
	}
}
