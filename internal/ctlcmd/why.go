package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/traces"
)

func whyCommand() *cli.Command {
	return command("why", "print what happened and why, in order", "job/NAME | task/NAME/INDEX | worker/NAME | request/ID", runWhy,
		entryFlag(), outputFlag(),
		&cli.StringSliceFlag{Name: "logs", Usage: "read the logs in `FILE` instead of asking an entry; - is standard input; may be repeated"})
}

func runWhy(ctx context.Context, c *cli.Command) error {
	arg, err := onlyArg(c, "subject")
	if err != nil {
		return err
	}
	kind, name, ok := strings.Cut(arg, "/")
	if !ok || name == "" {
		return usageErrorf("why: %q is not job/NAME, task/NAME/INDEX, worker/NAME or request/ID", arg)
	}
	if files := c.StringSlice("logs"); len(files) > 0 {
		return whyLogs(c, kind, name, files)
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
		out.Records = recordsOfTask(out.Records, index)
	default:
		return usageErrorf("why: there is no kind %q; known are job, task, worker and request", kind)
	}
	if err != nil {
		return err
	}
	return printResult(c, out, func(w io.Writer) { printWhy(w, out) })
}

// whyLogs explains the outcome of a job from logs. The job may be given as
// request/ID, since its caller knows its ID as that of the request.
func whyLogs(c *cli.Command, kind, name string, files []string) error {
	if kind != "job" && kind != "request" {
		return usageErrorf("why --logs: %s/%s is not job/ID or request/ID", kind, name)
	}
	var all []traces.Line
	for _, f := range files {
		lines, err := traces.ReadFile(f)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	t, ok := traces.Of(all, name)
	if !ok {
		return fmt.Errorf("why: no line of these logs names %q", name)
	}
	return printResult(c, t, func(w io.Writer) { t.Print(w) })
}

// recordsOfTask returns the records that concern one task of a job: those of the
// task and those of the whole job.
func recordsOfTask(all []ledger.Record, index int) []ledger.Record {
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
		fmt.Fprintf(w, "%s  %s", formatTime(r.At), r.Op)
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
