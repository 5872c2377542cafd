package loadcmd

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/trial"
)

// expCommand returns the command that runs a routing experiment.
func expCommand() *cli.Command {
	return &cli.Command{
		Name:      "exp",
		Usage:     "run a routing experiment in virtual time",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "plot", Usage: "draw the share answered in time into `FILE`, whose suffix is svg or png"},
		},
		Action: runRoutingExperiment,
	}
}

// runRoutingExperiment runs the experiment of a file, prints its outcomes and
// draws the plot if one is requested.
func runRoutingExperiment(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("exp: exactly one experiment file is needed")
	}
	cfg, err := trial.Read(c.Args().First())
	if err != nil {
		return err
	}
	all, err := await(ctx, func() []trial.Outcome { return trial.Run(cfg) })
	if err != nil {
		return err
	}
	trial.Print(c.Root().Writer, cfg, all)
	if file := c.String("plot"); file != "" {
		return trial.Plot(file, cfg, all)
	}
	return nil
}
