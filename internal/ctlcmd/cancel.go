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
	name, cl, err := argAndClient(c, "job name")
	if err != nil {
		return err
	}
	var d api.Done
	if err := cl.Delete(ctx, &d, jobPath(c), name); err != nil {
		return err
	}
	return printResult(c, d, func(w io.Writer) { fmt.Fprintf(w, "job %s: %s\n", name, d.Text) })
}
