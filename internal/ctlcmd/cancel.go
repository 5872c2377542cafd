package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
)

func cancelCommand() *cli.Command {
	return command("cancel", "withdraw a job", "NAME", runCancel, entryFlag(), outputFlag(), stepsFlag())
}

func runCancel(ctx context.Context, c *cli.Command) error {
	name, cl, err := named(c, "job name")
	if err != nil {
		return err
	}
	var d api.Done
	if err := cl.Delete(ctx, &d, table(c), name); err != nil {
		return err
	}
	return show(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s: %s\n", name, d.Text) })
}
