package main

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"trefoilweir.example/core/config"
	"trefoilweir.example/lab/platform"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a configuration file and a VM list",
		Description: "SIGUSR1 sets the platform to down, SIGUSR2 sets it to up. The control file contains one word: " +
			"up, down or stale.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true, Usage: "`address` of the HTTP/1.1 server"},
			&cli.StringFlag{Name: "config", Required: true, Usage: "configuration `file`"},
			&cli.StringFlag{Name: "vms", Required: true, Usage: "`file` with the VM list"},
			&cli.StringFlag{Name: "control", Usage: "control `file`"},
			&cli.DurationFlag{Name: "lag", Usage: "`delay` before a change of the VM list is visible"},
			&cli.BoolFlag{Name: "stale", Usage: "answer with the value before the newest one"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	logger, err := newLogger("platform")
	if err != nil {
		return err
	}
	mode := platform.Up
	if c.Bool("stale") {
		mode = platform.Stale
	}
	p, err := platform.New(platform.Options{
		ConfigFile: c.String("config"), VMFile: c.String("vms"), ControlFile: c.String("control"),
		VMListDelay: c.Duration("lag"), Mode: mode, Split: config.SplitFile, Log: logger,
	})
	if err != nil {
		return err
	}
	go setModeOnSignal(ctx, p)
	go p.Run(ctx)
	return serve(ctx, c.String("listen"), p.Handler())
}

func setModeOnSignal(ctx context.Context, p *platform.Platform) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s == syscall.SIGUSR1 {
				p.SetMode(platform.Down)
			} else {
				p.SetMode(platform.Up)
			}
		}
	}
}

// serve runs an HTTP/1.1 server until ctx ends.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Addr: address, Handler: handler}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	err := server.ListenAndServe()
	if ctx.Err() != nil {
		return nil
	}
	return err
}
