package ctlcmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/conf"
	"lagoonrack/internal/setup"
	"lagoonrack/internal/tree"
)

func showCommand() *cli.Command {
	return command("show", "print the merged settings, from files or as in force", "[BASE]", runShow,
		overlayFlag(), entryFlag(), outputFlag(),
		&cli.StringFlag{Name: "site", Usage: "only the `SITE` with this name"},
		&cli.BoolFlag{Name: "origin", Usage: "print file, line and column of each value"},
	)
}

// siteSettings holds the merged settings of one site.
type siteSettings struct {
	Site   string      `json:"site"`
	Values []tree.Leaf `json:"values"`
}

func runShow(ctx context.Context, c *cli.Command) error {
	s, err := sourceOrInForce(ctx, c)
	if err != nil {
		return err
	}
	sets, err := s.Load()
	if err != nil {
		return err
	}
	var out []siteSettings
	var texts []string
	for i, v := range sets {
		if site := c.String("site"); site != "" && site != v.Site {
			continue
		}
		t, err := s.Tree(s.Overlays[i])
		if err != nil {
			return err
		}
		text, err := t.Text()
		if err != nil {
			return err
		}
		out = append(out, siteSettings{Site: v.Site, Values: t.Leaves()})
		texts = append(texts, text)
	}
	if len(out) == 0 {
		return fmt.Errorf("there is no site %q", c.String("site"))
	}
	return printResult(c, out, func(w io.Writer) {
		for i, v := range out {
			printSite(w, v, texts[i], c.Bool("origin"))
		}
	})
}

func printSite(w io.Writer, v siteSettings, text string, origin bool) {
	if !origin {
		fmt.Fprintf(w, "# site %s\n%s", v.Site, text)
		return
	}
	for _, l := range v.Values {
		fmt.Fprintf(w, "%s %s = %s\t(%s)\n", v.Site, l.Path, l.Value, l.Origin)
	}
}

// sourceOrInForce returns the settings in the files that the command line names,
// or those in force if it names none.
func sourceOrInForce(ctx context.Context, c *cli.Command) (conf.Source, error) {
	if c.Args().Len() > 0 {
		return readSource(c)
	}
	a, err := fetchInForce(ctx, c)
	return a.Source, err
}

// fetchInForce returns the settings in force at an entry, or an error if there are
// none.
func fetchInForce(ctx context.Context, c *cli.Command) (setup.Accepted, error) {
	var a setup.Accepted
	cl, err := client(c)
	if err != nil {
		return a, err
	}
	if err := cl.Get(ctx, &a, "settings"); err != nil {
		return a, err
	}
	if a.Version == 0 {
		return a, fmt.Errorf("no settings are in force at %s", cl.Addr)
	}
	return a, nil
}
