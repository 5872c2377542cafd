package ctlcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
	"lagoonrack/internal/ctl"
	"lagoonrack/internal/setup"
)

func applyCommand() *cli.Command {
	return command("apply", "bring settings into force at every site", "BASE", runApply,
		overlayFlag(), entryFlag(), outputFlag(),
		&cli.Uint64Flag{Name: "from", Usage: "`VERSION` that the change was made from; 0 for the first settings"},
		&cli.BoolFlag{Name: "dry-run", Usage: "do everything but bring them into force"},
	)
}

func runApply(ctx context.Context, c *cli.Command) error {
	s, err := readSource(c)
	if err != nil {
		return err
	}
	if _, err := s.Load(); err != nil {
		return err
	}
	if !c.IsSet("from") {
		return usageErrorf("apply: --from is needed; lagoonctl status prints the version in force")
	}
	cl, err := client(c)
	if err != nil {
		return err
	}
	var a setup.Accepted
	req := api.Apply{From: c.Uint64("from"), Source: s, Dry: c.Bool("dry-run")}
	if err := cl.Post(ctx, req, &a, "settings"); err != nil {
		return applyError(err, req)
	}
	return printResult(c, a, func(w io.Writer) {
		if req.Dry {
			fmt.Fprintf(w, "would be version %d\n", a.Version)
			return
		}
		fmt.Fprintf(w, "version %d is accepted\n", a.Version)
	})
}

// applyError adds to a conflict the differences between the settings in force and
// those in the request. It returns other errors unchanged.
func applyError(err error, req api.Apply) error {
	var status *ctl.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	var conflict api.Conflict
	if json.Unmarshal(status.Body, &conflict) != nil {
		return err
	}
	out, derr := changes(conflict.Now.Source, req.Source)
	if derr != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s (accepted by %s)\nfrom version %d to these files:\n", conflict.Text, conflict.Now.By, conflict.Now.Version)
	printChanges(&b, out)
	return errors.New(strings.TrimSpace(b.String()))
}
