package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

func checkCommand() *cli.Command {
	return command("check", "check settings files without touching anything", "BASE", runCheck, overlayFlag(), outputFlag())
}

// checkResult is the JSON output of the check command.
type checkResult struct {
	Sites []string `json:"sites"`
}

func runCheck(_ context.Context, c *cli.Command) error {
	s, err := readSource(c)
	if err != nil {
		return err
	}
	sets, err := s.Load()
	if err != nil {
		return err
	}
	var out checkResult
	for _, v := range sets {
		out.Sites = append(out.Sites, v.Site)
	}
	return printResult(c, out, func(w io.Writer) {
		for _, v := range sets {
			fmt.Fprintf(w, "%s: ok, %d services, %d cells, %d teams\n", v.Site, len(v.Services), len(v.Cells), len(v.Teams))
		}
	})
}
