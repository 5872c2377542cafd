package ctlcmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/api"
)

func statusCommand() *cli.Command {
	return command("status", "print entries, cells, evacuated zones and which settings are in force where", " ", runStatus,
		entryFlag(), outputFlag(),
		&cli.BoolFlag{Name: "wait", Usage: "wait until every process runs the newest settings"},
		&cli.DurationFlag{Name: "timeout", Value: 30 * time.Second, Usage: "longest wait"},
	)
}

// pollInterval is the interval between queries to an entry during a wait.
const pollInterval = 200 * time.Millisecond

func runStatus(ctx context.Context, c *cli.Command) error {
	cl, err := client(c)
	if err != nil {
		return err
	}
	end := time.Now().Add(c.Duration("timeout"))
	for {
		var s api.Status
		if err := cl.Get(ctx, &s, "status"); err != nil {
			return err
		}
		behind := s.Outdated()
		if c.Bool("wait") && len(behind) > 0 {
			if time.Now().After(end) {
				return fmt.Errorf("these processes do not run the newest settings: %s", strings.Join(behind, ", "))
			}
			time.Sleep(pollInterval)
			continue
		}
		return printResult(c, s, func(w io.Writer) { printStatus(w, s, behind) })
	}
}

func printStatus(w io.Writer, s api.Status, behind []string) {
	fmt.Fprintf(w, "settings version %d at %s\n", s.Version, s.Entry)
	for _, m := range s.Members {
		fmt.Fprintf(w, "entry %s\tsite %s\tzone %s\toperators %s\tversion %d\tagents %d\n", m.Name, m.Site, m.Zone, m.Operator, m.Version, m.Agents)
	}
	for _, v := range s.Cells {
		owner := v.Owner
		if owner == "" {
			owner = "nobody"
		}
		fmt.Fprintf(w, "cell %s\towner %s\n", v.Name, owner)
	}
	if z := s.Zones; z != nil {
		fmt.Fprintf(w, "zones evacuated: %s\t%s\n", cmp.Or(strings.Join(z.Evacuated, ", "), "none"), zonesAge(z))
	}
	if len(behind) > 0 {
		fmt.Fprintf(w, "behind: %s\n", strings.Join(behind, ", "))
	}
}

// zonesAge says how old an entry's knowledge of the evacuated zones is.
func zonesAge(z *api.ZoneStatus) string {
	if !z.Known {
		return "not read yet"
	}
	return fmt.Sprintf("as of version %d, confirmed %v ago", z.Version, time.Duration(z.AgeMs)*time.Millisecond)
}
