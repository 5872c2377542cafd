package loadcmd

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/gaps"
	"lagoonrack/internal/traces"
)

// gapsCommand returns the command that sorts the time in which tasks were not at work by
// cause.
func gapsCommand() *cli.Command {
	return &cli.Command{
		Name:      "gaps",
		Usage:     "print how long tasks were not at work and why, from the logs of all processes",
		ArgsUsage: "LOG...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "draw the tasks that were not at work, by second and cause, into `FILE`, whose suffix is svg or png"},
			&cli.StringFlag{Name: "queue", Usage: "look at one `QUEUE` only"},
		},
		Action: runGaps,
	}
}

// runGaps reads the logs, prints the table and draws the plot if one is requested.
func runGaps(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("gaps: at least one log file is needed")
	}
	var lines []traces.Line
	for _, file := range c.Args().Slice() {
		l, err := readLog(file)
		if err != nil {
			return err
		}
		lines = append(lines, l...)
	}
	found := gaps.Of(lines)
	if q := c.String("queue"); q != "" {
		found = gaps.InQueue(found, q)
	}
	if err := gaps.Print(c.Root().Writer, gaps.Table(found)); err != nil {
		return err
	}
	file := c.String("plot")
	if file == "" {
		return nil
	}
	if len(found) == 0 {
		return errors.New("gaps: there is nothing to draw: no task was away from work")
	}
	return gaps.Plot(file, fmt.Sprintf("tasks not at work, %s", c.Args().First()), found)
}

// readLog reads the log events of a file, of which there must be some.
func readLog(file string) ([]traces.Line, error) {
	lines, err := traces.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("%s: no line is a log event of lagoonrack", file)
	}
	return lines, nil
}
