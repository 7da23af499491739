// Command trefoilweir-lab runs the simulated environment of trefoilweir
// (platform, fabric, targets, callers and keys) and measurements of whole
// systems.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"trefoilweir.example/lab/policybench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:     "trefoilweir-lab",
		Usage:    "simulated environment and measurements for trefoilweir",
		Commands: []*cli.Command{keysCommand(), platformCommand(), fabricCommand(), targetCommand(), loadCommand(), policybench.Command(), layoutCommand(), publishCommand(), measureCommand(), packetDemoCommand(), drainDemoCommand(), soakCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// newLogger returns a logger that writes JSON lines to standard error.
func newLogger(name string) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	c.Sampling = nil
	c.DisableStacktrace = true
	logger, err := c.Build()
	if err != nil {
		return nil, err
	}
	return logger.Named(name), nil
}
