package loadcmd

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/batch"
)

// jobsCommand returns the command that runs an experiment on jobs.
func jobsCommand() *cli.Command {
	return &cli.Command{
		Name:      "jobs",
		Usage:     "run an experiment on jobs in virtual time",
		ArgsUsage: "FILE",
		Action:    runJobsExperiment,
	}
}

// runJobsExperiment runs the experiment of a file and prints its outcomes.
func runJobsExperiment(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return errors.New("jobs: exactly one experiment file is needed")
	}
	cfg, err := batch.Read(c.Args().First())
	if err != nil {
		return err
	}
	all, err := await(ctx, func() []batch.Outcome { return batch.Run(cfg) })
	if err != nil {
		return err
	}
	batch.Print(c.Root().Writer, all)
	return nil
}
