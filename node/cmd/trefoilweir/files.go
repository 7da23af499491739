package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"trefoilweir.example/core/config"
	"trefoilweir.example/node/settings"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check configurations and settings; exit code 2 if one is not valid",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "config", Usage: "configuration `FILE`"},
			&cli.StringSliceFlag{Name: "balancer", Usage: "settings `FILE` of a balancer"},
			&cli.StringSliceFlag{Name: "agent", Usage: "settings `FILE` of an agent"},
		},
		Action: check,
	}
}

// check reports the faults of all files at once.
func check(_ context.Context, c *cli.Command) error {
	kinds := map[string]func(string) error{
		"config":   func(f string) error { _, err := readConfig(f); return err },
		"balancer": func(f string) error { _, err := settings.LoadBalancer(f); return err },
		"agent":    func(f string) error { _, err := settings.LoadAgent(f); return err },
	}
	var faults []string
	files := 0
	for _, kind := range []string{"config", "balancer", "agent"} {
		for _, file := range c.StringSlice(kind) {
			files++
			if err := kinds[kind](file); err != nil {
				faults = append(faults, err.Error())
				continue
			}
			fmt.Fprintf(c.Root().Writer, "%s: valid\n", file)
		}
	}
	switch {
	case files == 0:
		return invalid(trace.BadParameter("no file given, want --config, --balancer or --agent"))
	case len(faults) > 0:
		return invalid(errors.New(strings.Join(faults, "\n")))
	default:
		return nil
	}
}

// readConfig reads a configuration. The error has a line for each fault, with
// file, field and reason.
func readConfig(file string) (*config.Config, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	c, err := config.Parse(data)
	var faults config.Errors
	if errors.As(err, &faults) {
		return nil, &settings.FileError{File: file, Faults: faults}
	}
	return c, trace.Wrap(err)
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "say what changes between two configurations; exit code 3 if a change is dangerous",
		ArgsUsage: "OLD NEW",
		Action:    diff,
	}
}

func diff(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return invalid(trace.BadParameter("want two configuration files, the old one first"))
	}
	old, oldErr := readConfig(c.Args().Get(0))
	next, nextErr := readConfig(c.Args().Get(1))
	if err := errors.Join(oldErr, nextErr); err != nil {
		return invalid(err)
	}
	dangerous := false
	changes := config.Diff(old, next)
	for _, change := range changes {
		dangerous = dangerous || change.Dangerous
		fmt.Fprintln(c.Root().Writer, change)
	}
	if len(changes) == 0 {
		fmt.Fprintln(c.Root().Writer, "no change")
	}
	if dangerous {
		return &codedError{code: exitDangerous}
	}
	return nil
}
