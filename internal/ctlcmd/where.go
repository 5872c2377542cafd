package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/plans"
	"lagoonrack/internal/where"
	"lagoonrack/internal/work"
)

func whereCommand() *cli.Command {
	return command("where", "print where a job of steps, or a request, would go now, and why, without submitting it", "FILE | service/NAME", runWhere, entryFlag(), outputFlag(),
		&cli.IntFlag{Name: "most", Value: 10, Usage: "largest `NUMBER` of candidates for each step"})
}

func runWhere(ctx context.Context, c *cli.Command) error {
	arg, err := onlyArg(c, "job file or service")
	if err != nil {
		return err
	}
	in := api.Where{Most: c.Int("most")}
	if in.Most < 1 {
		return usageErrorf("where: --most: %d is less than 1", in.Most)
	}
	if service, ok := strings.CutPrefix(arg, "service/"); ok {
		in.Service = service
	} else if in.Job, err = readSteps(arg); err != nil {
		return err
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	var a where.Answer
	if err := cl.Post(ctx, in, &a, "where"); err != nil {
		return fmt.Errorf("%s: %w", arg, err)
	}
	return printResult(c, a, func(w io.Writer) { fmt.Fprint(w, a.String()) })
}

// readSteps reads a file that defines a job of steps.
func readSteps(name string) (work.Job, error) {
	f, err := readFile(name)
	if err != nil {
		return work.Job{}, err
	}
	if !plans.HasSteps([]byte(f.Text)) {
		return work.Job{}, fmt.Errorf("%s: only jobs of steps can be explained", f.Name)
	}
	return plans.Parse(f.Name, []byte(f.Text))
}
