package loadcmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/capac"
)

// slopesCommand returns the command that measures the slopes for package capac.
func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:   "slopes",
		Usage:  "measure those slopes behind docs/CAPACITY.md that one process can measure",
		Action: measureSlopes,
	}
}

// measureSlopes prints the measured slopes in the format of slopes.yaml.
func measureSlopes(_ context.Context, c *cli.Command) error {
	for _, s := range capac.Measure() {
		fmt.Fprintf(c.Root().Writer, "  - {name: %s, value: %.4g, unit: %s, range: %q, command: %s}\n", s.Name, s.Value, s.Unit, s.Range, s.Command)
	}
	return nil
}
