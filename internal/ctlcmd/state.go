package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
)

func stateCommand() *cli.Command {
	return command("state", "print the state of a job of steps", "NAME", runState, entryFlag(), outputFlag())
}

func runState(ctx context.Context, c *cli.Command) error {
	name, cl, err := argAndClient(c, "job name")
	if err != nil {
		return err
	}
	var d api.Done
	if err := cl.Get(ctx, &d, "steps", name); err != nil {
		return err
	}
	return printResult(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s is %s\n", name, d.Text) })
}

// stepsFlag returns the flag that marks a job as one with steps.
func stepsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "steps", Usage: "the job has steps"}
}

// jobPath returns the first part of a job's path at an entry, which depends on
// whether the job has steps.
func jobPath(c *cli.Command) string {
	if c.Bool("steps") {
		return "steps"
	}
	return "jobs"
}
