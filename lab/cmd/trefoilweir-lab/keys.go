package main

import (
	"context"

	"github.com/urfave/cli/v3"
	"trefoilweir.example/lab/keys"
)

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "write the CA, the certificates and the keys file, or rotate the keys file",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "dir", Required: true, Usage: "`directory` to write to"},
			&cli.StringSliceFlag{Name: "service", Usage: "`name` of a service; repeat"},
			&cli.IntFlag{Name: "last", Usage: "add key `generations` up to this one to an existing keys file"},
			&cli.IntFlag{Name: "active", Value: 1, Usage: "active `generation`, with --last"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if last := c.Int("last"); last > 0 {
				return keys.WriteGenerations(c.String("dir"), last, c.Int("active"))
			}
			return keys.Write(c.String("dir"), c.StringSlice("service"))
		},
	}
}
