package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/jobs"
	"lagoonrack/internal/plans"
)

func submitCommand() *cli.Command {
	return command("submit", "submit a job; submitting the same job again has no effect", "FILE", runSubmit, entryFlag(), outputFlag())
}

func runSubmit(ctx context.Context, c *cli.Command) error {
	name, err := onlyArg(c, "job file")
	if err != nil {
		return err
	}
	f, err := readFile(name)
	if err != nil {
		return err
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	var d api.Done
	if plans.HasSteps([]byte(f.Text)) {
		j, err := plans.Parse(f.Name, []byte(f.Text))
		if err != nil {
			return err
		}
		if err := cl.Post(ctx, j, &d, "steps"); err != nil {
			return fmt.Errorf("%s: %w", f.Name, err)
		}
		return printResult(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s %s\n", j.ID, d.Text) })
	}
	j, err := jobs.Parse(f.Name, []byte(f.Text))
	if err != nil {
		return err
	}
	if err := cl.Post(ctx, j, &d, "jobs"); err != nil {
		return fmt.Errorf("%s: %w", f.Name, err)
	}
	return printResult(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s %s in cell %s\n", j.Name, d.Text, d.Cell) })
}
