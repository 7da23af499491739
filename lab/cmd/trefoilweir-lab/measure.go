package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/layout"
	"trefoilweir.example/lab/load"
	"trefoilweir.example/lab/system"
)

const (
	// meanWorkMS is the mean work of a request in milliseconds. It equals that of
	// policybench, so that the results can be compared.
	meanWorkMS         = 100
	requestsPerSession = 40
	concurrentSessions = 60
	reportAge          = time.Second
	callerDelay        = 3 * time.Millisecond
)

// measurement is one JSON line of the output.
type measurement struct {
	Service string  `json:"service"`
	Load    float64 `json:"load"`
	Bias    string  `json:"bias"`
	load.Report
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "measure imbalance and latency with real processes: booking 7x7 and rondeportaal 7x3",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Value: "bin", Usage: "`directory` of the programs"},
			&cli.FloatSliceFlag{Name: "load", Value: []float64{0.7, 0.9}, Usage: "offered load as a share of the capacity"},
			&cli.StringSliceFlag{Name: "bias", Value: []string{string(config.BiasBalance), string(config.BiasLatency)}, Usage: "balance or latency"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "`time` under load per run"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`seed` of the plan of requests"},
		},
		Action: runMeasure,
	}
}

func runMeasure(ctx context.Context, c *cli.Command) error {
	services := []layout.Service{
		{Name: "booking", ID: 1, Targets: 7, Slots: 7, Speeds: []float64{1, 4}},
		{Name: "rondeportaal", ID: 1, Targets: 7, Slots: 3, Speeds: []float64{1, 4}},
	}
	for _, bias := range c.StringSlice("bias") {
		for _, service := range services {
			for _, offered := range c.FloatSlice("load") {
				if err := measureOne(ctx, c, service, offered, config.Bias(bias)); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

func measureOne(ctx context.Context, c *cli.Command, service layout.Service, offered float64, bias config.Bias) error {
	dir, err := os.MkdirTemp("", "trefoilweir-measure-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin, err := filepath.Abs(c.String("bin"))
	if err != nil {
		return err
	}
	s := system.New(layout.Plan{
		Dir: dir, NetPrefix: system.RandomNet(), Balancers: 3, Bias: bias, LingerMS: 1000,
		DataCentres: []string{"a", "b", "c"}, Services: []layout.Service{service},
	}, bin)
	s.Delay, s.ReportAge = callerDelay, reportAge
	defer s.Stop()
	if err := s.Start(); err != nil {
		return err
	}
	outcome := <-s.StartLoad(ctx, loadOptionsFor(service, offered, c.Duration("length"), c.Uint64("seed")))
	if outcome.Err != nil {
		return outcome.Err
	}
	return json.NewEncoder(os.Stdout).Encode(measurement{service.Name, offered, string(bias), outcome.Report})
}

// loadOptionsFor returns the load options for an offered load, which is given as
// a share of the service's capacity.
func loadOptionsFor(service layout.Service, offered float64, length time.Duration, seed uint64) load.Options {
	speed := 0.0
	for i := 1; i <= service.Targets; i++ {
		speed += service.Speed(i)
	}
	o := load.Defaults()
	o.Rate = offered * speed * float64(service.Slots) * 1000 / meanWorkMS
	o.Requests = int(o.Rate * length.Seconds())
	o.Seed, o.WorkMS, o.Mix, o.Tickers = seed, meanWorkMS, load.MixMap, 0
	o.Sessions, o.RequestsPerSession = concurrentSessions, requestsPerSession
	return o
}
