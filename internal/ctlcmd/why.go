package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/ledger"
)

func whyCommand() *cli.Command {
	return command("why", "print what happened and why, in order", "job/NAME | task/NAME/INDEX | worker/NAME | request/ID", runWhy,
		entryFlag(), outputFlag())
}

func runWhy(ctx context.Context, c *cli.Command) error {
	arg, err := one(c, "subject")
	if err != nil {
		return err
	}
	kind, name, ok := strings.Cut(arg, "/")
	if !ok || name == "" {
		return usagef("why: %q is not job/NAME, task/NAME/INDEX, worker/NAME or request/ID", arg)
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	var out api.Why
	switch kind {
	case "job", "worker", "request":
		err = cl.Get(ctx, &out, "why", kind, name)
	case "task":
		job, index, perr := ledger.ParseTask(name)
		if perr != nil {
			return usageError{perr}
		}
		err = cl.Get(ctx, &out, "why", "job", job)
		out.Records = ofTask(out.Records, index)
	default:
		return usagef("why: there is no kind %q; known are job, task, worker and request", kind)
	}
	if err != nil {
		return err
	}
	return show(c, out, func(w io.Writer) { printWhy(w, out) })
}

// ofTask keeps the records that concern one task of a job.
func ofTask(all []ledger.Record, index int) []ledger.Record {
	var out []ledger.Record
	for _, r := range all {
		if r.Op == ledger.Submit || r.Op == ledger.Cancel || r.Task == index {
			out = append(out, r)
		}
	}
	return out
}

func printWhy(w io.Writer, v api.Why) {
	for _, r := range v.Records {
		fmt.Fprintf(w, "%s  %s", clock(r.At), r.Op)
		if r.Attempt > 0 {
			fmt.Fprintf(w, "  task %s attempt %d on %s", ledger.TaskID(r.Name, r.Task), r.Attempt, r.Worker)
		}
		if r.Saved != "" {
			fmt.Fprintf(w, "  checkpoint %s", r.Saved)
		}
		if r.Reason != "" {
			fmt.Fprintf(w, "  because: %s", r.Reason)
		}
		fmt.Fprintln(w)
	}
	for _, s := range v.Steps {
		fmt.Fprintf(w, "%12s  %s", s.At, s.What)
		if s.Agent != "" {
			fmt.Fprintf(w, "  agent %s", s.Agent)
		}
		if s.Reason != "" {
			fmt.Fprintf(w, "  because: %s", s.Reason)
		}
		fmt.Fprintln(w)
	}
}
