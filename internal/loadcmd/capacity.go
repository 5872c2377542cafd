package loadcmd

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/capac"
)

// capacityCommand returns the command that generates the capacity tables.
func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "work out the tables of docs/CAPACITY.md from the measured slopes",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "write", Usage: "write them into the page"},
			&cli.StringFlag{Name: "page", Value: "docs/CAPACITY.md", Usage: "`FILE` of the page"},
		},
		Action: capacity,
	}
}

// capacity prints the tables, or replaces them in the page with --write.
func capacity(_ context.Context, c *cli.Command) error {
	if !c.Bool("write") {
		t, err := capac.Tables()
		if err != nil {
			return err
		}
		_, err = fmt.Fprint(c.Root().Writer, t)
		return err
	}
	file := c.String("page")
	old, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	page, err := capac.Replace(string(old))
	if err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return os.WriteFile(file, []byte(page), 0o600)
}
