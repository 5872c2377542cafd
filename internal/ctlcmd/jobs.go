package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/cell"
)

func jobsCommand() *cli.Command {
	return command("jobs", "list jobs", " ", runJobs, entryFlag(), outputFlag(),
		&cli.StringFlag{Name: "wait", Usage: "wait until the job `NAME` has ended"},
		&cli.DurationFlag{Name: "timeout", Value: time.Minute, Usage: "longest wait"},
	)
}

func runJobs(ctx context.Context, c *cli.Command) error {
	cl, err := client(c)
	if err != nil {
		return err
	}
	end := time.Now().Add(c.Duration("timeout"))
	for {
		var out api.Jobs
		if err := cl.Get(ctx, &out, "jobs"); err != nil {
			return err
		}
		ended, err := hasEnded(out.Jobs, c.String("wait"))
		if err != nil {
			return err
		}
		if ended {
			return printResult(c, out, func(w io.Writer) { printJobs(w, out.Jobs) })
		}
		if time.Now().After(end) {
			return fmt.Errorf("job %s has not ended", c.String("wait"))
		}
		time.Sleep(pollInterval)
	}
}

// hasEnded reports whether the named job has ended; it is true for an empty name.
func hasEnded(all []cell.Job, name string) (bool, error) {
	if name == "" {
		return true, nil
	}
	for _, j := range all {
		if j.Name == name {
			return j.Ended != 0, nil
		}
	}
	return false, fmt.Errorf("there is no job %q", name)
}

func printJobs(w io.Writer, all []cell.Job) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tTEAM\tKIND\tSTATE\tTASKS\tWAITING\tRUNNING\tDONE\tFAILED\tLOST\tDUE")
	for _, j := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n",
			j.Name, j.Team, j.Kind, j.State, j.Tasks, j.Waiting, j.Running, j.Done, j.Failed, j.Lost, formatTime(j.Due))
	}
	_ = t.Flush()
}
