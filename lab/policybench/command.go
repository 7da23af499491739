package policybench

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"

	"github.com/urfave/cli/v3"
)

type size struct{ targets, slots int }

var defaultSizes = []size{{7, 7}, {7, 3}, {3, 7}, {3, 3}}

// Command returns the subcommand `policy`, which prints one JSON line per run.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "policy",
		Usage: "simulate admission policies with the same arrivals",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "policy", Value: Policies, Usage: "policies to simulate"},
			&cli.StringSliceFlag{Name: "case", Value: []string{string(CasePlain)}, Usage: "plain, misreport, slow, cold, shed"},
			&cli.StringSliceFlag{Name: "size", Usage: "TARGETSxSLOTS (default: 7x7, 7x3, 3x7, 3x3)"},
			&cli.FloatSliceFlag{Name: "ratio", Value: []float64{1, 2, 4}, Usage: "speed of the fast targets relative to the others"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.5, 0.7, 0.9, 1.2}, Usage: "offered load as a fraction of the capacity"},
			&cli.Uint64SliceFlag{Name: "seed", Value: []uint64{11, 12, 13, 14, 15}, Usage: "seeds"},
			&cli.IntFlag{Name: "requests", Value: 60000, Usage: "minimum number of requests per run"},
			&cli.DurationFlag{Name: "min-time", Usage: "minimum simulated time per run"},
			&cli.IntFlag{Name: "workers", Value: 2, Usage: "number of concurrent runs"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, cmd *cli.Command) error {
	specs, err := parseSpecs(cmd)
	if err != nil {
		return err
	}
	results := runAll(specs, max(1, cmd.Int("workers")))
	encoder := json.NewEncoder(cmd.Root().Writer)
	for _, r := range results {
		if err := encoder.Encode(<-r); err != nil {
			return fmt.Errorf("write policy result: %w", err)
		}
	}
	return nil
}

// runAll returns one channel per run, so that the results are printed in the
// order of specs.
func runAll(specs []Spec, workers int) []chan Result {
	results := make([]chan Result, len(specs))
	for i := range results {
		results[i] = make(chan Result, 1)
	}
	var mu sync.Mutex
	next := 0
	for range workers {
		go func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= len(specs) {
					return
				}
				results[i] <- Run(specs[i])
			}
		}()
	}
	return results
}

func parseSpecs(cmd *cli.Command) ([]Spec, error) {
	sizes, err := parseSizes(cmd.StringSlice("size"))
	if err != nil {
		return nil, err
	}
	if err := checkNames(cmd.StringSlice("policy"), cmd.StringSlice("case")); err != nil {
		return nil, err
	}
	var specs []Spec
	for _, c := range cmd.StringSlice("case") {
		for _, z := range sizes {
			for _, ratio := range cmd.FloatSlice("ratio") {
				for _, load := range cmd.FloatSlice("load") {
					base := Spec{Case: Case(c), Targets: z.targets, Slots: z.slots, SpeedRatio: ratio, Load: load,
						MinRequests: cmd.Int("requests"), MinTime: cmd.Duration("min-time")}
					specs = append(specs, specsPerPolicy(base, cmd.StringSlice("policy"), cmd.Uint64Slice("seed"))...)
				}
			}
		}
	}
	return specs, nil
}

func specsPerPolicy(base Spec, policies []string, seeds []uint64) []Spec {
	var specs []Spec
	for _, p := range policies {
		for _, seed := range seeds {
			base.Policy, base.Seed = p, seed
			specs = append(specs, base)
		}
	}
	return specs
}

func parseSizes(values []string) ([]size, error) {
	if len(values) == 0 {
		return defaultSizes, nil
	}
	var sizes []size
	for _, v := range values {
		var z size
		if _, err := fmt.Sscanf(v, "%dx%d", &z.targets, &z.slots); err != nil || z.targets < 2 || z.slots < 1 {
			return nil, fmt.Errorf("size %q: want TARGETSxSLOTS with at least 2 targets and 1 slot", v)
		}
		sizes = append(sizes, z)
	}
	return sizes, nil
}

func checkNames(policies, cases []string) error {
	for _, p := range policies {
		if !slices.Contains(Policies, p) {
			return fmt.Errorf("policy %q: want one of %v", p, Policies)
		}
	}
	for _, c := range cases {
		if !slices.Contains(Cases, Case(c)) {
			return fmt.Errorf("case %q: want one of %v", c, Cases)
		}
	}
	return nil
}
