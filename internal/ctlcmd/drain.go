package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
)

func drainCommand() *cli.Command {
	return command("drain", "empty a worker, or use it again", "WORKER", runDrain, entryFlag(), outputFlag(),
		&cli.BoolFlag{Name: "off", Usage: "use the worker again"})
}

func runDrain(ctx context.Context, c *cli.Command) error {
	name, err := onlyArg(c, "worker name")
	if err != nil {
		return err
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	path := []string{"workers", name, "drain"}
	if c.Bool("off") {
		path = []string{"workers", name, "restore"}
	}
	var d api.Done
	if err := cl.Post(ctx, struct{}{}, &d, path...); err != nil {
		return err
	}
	return printResult(c, d, func(w io.Writer) { fmt.Fprintf(w, "worker %s: %s\n", name, d.Text) })
}
