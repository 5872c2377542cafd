package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/plans"
	"lagoonrack/internal/where"
)

func whereCommand() *cli.Command {
	return command("where", "print where a job of steps would go now, and why, without submitting it", "FILE", runWhere, entryFlag(), outputFlag(),
		&cli.IntFlag{Name: "most", Value: 10, Usage: "largest `NUMBER` of candidates for each step"})
}

func runWhere(ctx context.Context, c *cli.Command) error {
	name, err := onlyArg(c, "job file")
	if err != nil {
		return err
	}
	f, err := readFile(name)
	if err != nil {
		return err
	}
	if !plans.HasSteps([]byte(f.Text)) {
		return fmt.Errorf("%s: only jobs of steps can be explained", f.Name)
	}
	in := api.Where{Most: c.Int("most")}
	if in.Most < 1 {
		return usageErrorf("where: --most: %d is less than 1", in.Most)
	}
	if in.Job, err = plans.Parse(f.Name, []byte(f.Text)); err != nil {
		return err
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	var a where.Answer
	if err := cl.Post(ctx, in, &a, "where"); err != nil {
		return fmt.Errorf("%s: %w", f.Name, err)
	}
	return printResult(c, a, func(w io.Writer) { fmt.Fprint(w, a.String()) })
}
