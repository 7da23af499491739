package main

import (
	"context"
	"net/netip"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"trefoilweir.example/lab/fabric"
)

func fabricCommand() *cli.Command {
	return &cli.Command{
		Name:  "fabric",
		Usage: "distribute callers' datagrams over the balancers",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "platform", Required: true, Usage: "base `URL` of the platform"},
			&cli.StringSliceFlag{Name: "service", Required: true, Usage: "`name=address` that callers use; repeat"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`seed` of the choice of balancers"},
			&cli.DurationFlag{Name: "delay", Usage: "one-way `latency` between callers and balancers"},
			&cli.StringFlag{Name: "cut", Usage: "`file` with a JSON array of balancers that receive nothing"},
		},
		Action: runFabric,
	}
}

func runFabric(ctx context.Context, c *cli.Command) error {
	logger, err := newLogger("fabric")
	if err != nil {
		return err
	}
	services, err := parseServices(c.StringSlice("service"))
	if err != nil {
		return err
	}
	f, err := fabric.New(fabric.Options{
		PlatformURL: c.String("platform"), Services: services, Seed: c.Uint64("seed"),
		Delay: c.Duration("delay"), CutFile: c.String("cut"), Log: logger,
	})
	if err != nil {
		return err
	}
	f.Run(ctx)
	logger.Info("fabric stopped", zap.Any("counters", f.Counters()))
	return nil
}

// parseServices parses name=address pairs.
func parseServices(pairs []string) (map[string]netip.AddrPort, error) {
	services := map[string]netip.AddrPort{}
	for _, pair := range pairs {
		name, address, _ := strings.Cut(pair, "=")
		parsed, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, trace.BadParameter("service %q is not in the form name=address: %v", pair, err)
		}
		services[name] = parsed
	}
	return services, nil
}

// openLog opens a file for appending, so that a restarted target keeps the log of
// its previous process.
func openLog(path string) (*os.File, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	return file, trace.ConvertSystemError(err)
}
