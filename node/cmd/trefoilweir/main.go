// Command trefoilweir runs a balancer or an agent. It also checks and compares
// configurations, and shows the status and the logs of processes to operators.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailed = 1
	// exitInvalid reports invalid arguments, settings or files.
	exitInvalid = 2
	// exitDangerous reports that a comparison found a dangerous change.
	exitDangerous = 3
)

func main() {
	if err := rootCommand().Run(context.Background(), os.Args); err != nil {
		os.Exit(printError(err))
	}
}

// printError prints an error to standard error and returns its exit code.
func printError(err error) int {
	var coded *codedError
	if !errors.As(err, &coded) {
		coded = &codedError{exitFailed, err}
	}
	if coded.err != nil {
		fmt.Fprintln(os.Stderr, coded.err)
	}
	return coded.code
}

// codedError is an error with an exit code. If err is nil, nothing is printed.
type codedError struct {
	code int
	err  error
}

// Error implements error.
func (e *codedError) Error() string { return fmt.Sprint(e.err) }

func invalidInput(err error) error { return &codedError{exitInvalid, err} }

func rootCommand() *cli.Command {
	settingsFlag := &cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the process", Required: true}
	return &cli.Command{
		Name:  "trefoilweir",
		Usage: "layer-4 load balancer for QUIC and HTTP/3",
		// main prints errors and sets the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			{Name: "balancer", Usage: "run a balancer", Flags: []cli.Flag{settingsFlag}, Action: runBalancer},
			{Name: "agent", Usage: "run an agent", Flags: []cli.Flag{settingsFlag}, Action: runAgent},
			packetCommand(), explainCommand(), checkCommand(), diffCommand(), statusCommand(), versionCommand(),
		},
	}
}
