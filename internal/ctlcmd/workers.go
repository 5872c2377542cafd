package ctlcmd

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
)

func workersCommand() *cli.Command {
	return command("workers", "list workers with what is committed on them", " ", runWorkers, entryFlag(), outputFlag())
}

func runWorkers(ctx context.Context, c *cli.Command) error {
	cl, err := client(c)
	if err != nil {
		return err
	}
	var out api.Workers
	if err := cl.Get(ctx, &out, "workers"); err != nil {
		return err
	}
	return printResult(c, out, func(w io.Writer) {
		t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		fmt.Fprintln(t, "NAME\tCOMMITTED\tSIZE\tTASKS\tSTATE")
		for _, l := range out.Workers {
			state := "ok"
			switch {
			case l.Quarantined:
				state = "quarantined"
			case l.Draining:
				state = "draining"
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\n", l.Worker, l.Committed, l.Size, strings.Join(l.Tasks, " "), state)
		}
		_ = t.Flush()
	})
}
