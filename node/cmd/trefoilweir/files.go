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
		Usage: "check configurations and settings; exit code 2 if a file is not valid",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "config", Usage: "configuration `FILE`"},
			&cli.StringSliceFlag{Name: "balancer", Usage: "settings `FILE` of a balancer"},
			&cli.StringSliceFlag{Name: "agent", Usage: "settings `FILE` of an agent"},
		},
		Action: checkFiles,
	}
}

// checkFiles checks all files and reports the faults of all of them.
func checkFiles(_ context.Context, c *cli.Command) error {
	loaders := map[string]func(string) error{
		"config":   func(f string) error { _, err := readConfig(f); return err },
		"balancer": func(f string) error { _, err := settings.LoadBalancer(f); return err },
		"agent":    func(f string) error { _, err := settings.LoadAgent(f); return err },
	}
	var faults []string
	files := 0
	for _, kind := range []string{"config", "balancer", "agent"} {
		for _, file := range c.StringSlice(kind) {
			files++
			if err := loaders[kind](file); err != nil {
				faults = append(faults, err.Error())
				continue
			}
			fmt.Fprintf(c.Root().Writer, "%s: valid\n", file)
		}
	}
	switch {
	case files == 0:
		return invalidInput(trace.BadParameter("check: no file given; use --config, --balancer or --agent"))
	case len(faults) > 0:
		return invalidInput(errors.New(strings.Join(faults, "\n")))
	default:
		return nil
	}
}

// readConfig reads and checks a configuration file. The error has one line per
// fault, with file, field and reason.
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
		Usage:     "show what changes between two configurations; exit code 3 if a change is dangerous",
		ArgsUsage: "OLD NEW",
		Action:    diffConfigs,
	}
}

func diffConfigs(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 2 {
		return invalidInput(trace.BadParameter("diff: expected two configuration files, the old one first"))
	}
	old, oldErr := readConfig(c.Args().Get(0))
	updated, updatedErr := readConfig(c.Args().Get(1))
	if err := errors.Join(oldErr, updatedErr); err != nil {
		return invalidInput(err)
	}
	dangerous := false
	changes := config.Diff(old, updated)
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
