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
	name, cl, err := named(c, "job name")
	if err != nil {
		return err
	}
	var d api.Done
	if err := cl.Get(ctx, &d, "steps", name); err != nil {
		return err
	}
	return show(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s is %s\n", name, d.Text) })
}

// stepsFlag says that a job is one of steps.
func stepsFlag() cli.Flag {
	return &cli.BoolFlag{Name: "steps", Usage: "the job is one of steps"}
}

// table is the path under which an entry keeps a kind of job.
func table(c *cli.Command) string {
	if c.Bool("steps") {
		return "steps"
	}
	return "jobs"
}
