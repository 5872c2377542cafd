package loadcmd

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/check"
	"lagoonrack/internal/load"
)

// runCommand returns the command that generates a load of requests.
func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "send requests to entries in an open loop and check every answer",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "callers' `ADDRESS` of an entry; may be repeated"},
			&cli.StringFlag{Name: "service", Usage: "service to call"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long requests arrive"},
			&cli.DurationFlag{Name: "median", Value: 10 * time.Millisecond, Usage: "median run time"},
			&cli.FloatFlag{Name: "sigma", Value: 0.5, Usage: "spread of run times"},
			&cli.FloatFlag{Name: "long", Value: 0.02, Usage: "share of stragglers"},
			&cli.FloatFlag{Name: "factor", Value: 30, Usage: "how many times longer stragglers take"},
			&cli.FloatFlag{Name: "once", Value: 0.3, Usage: "share of requests that are not idempotent"},
			&cli.DurationFlag{Name: "timeout", Usage: "callers' budget"},
			&cli.IntFlag{Name: "tries", Value: 1, Usage: "how often a caller tries"},
			&cli.BoolFlag{Name: "direct", Usage: "the addresses are those of minions, without the system between"},
			&cli.IntFlag{Name: "size", Value: 200, Usage: "bytes in a body"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and run times"},
		},
		Action: run,
	}
}

// run generates the load, prints a report, and returns an error if an answer
// violates an invariant.
func run(ctx context.Context, c *cli.Command) error {
	if len(c.StringSlice("entry")) == 0 || c.String("service") == "" {
		return errors.New("run: --entry and --service are needed")
	}
	if c.Float("rate") <= 0 {
		return fmt.Errorf("run: --rate: %g is not above 0", c.Float("rate"))
	}
	var chk check.Check
	l := load.Load{
		Entries: c.StringSlice("entry"),
		Service: c.String("service"),
		Rate:    c.Float("rate"),
		For:     c.Duration("for"),
		Median:  c.Duration("median"),
		Sigma:   c.Float("sigma"),
		Long:    c.Float("long"),
		Factor:  c.Float("factor"),
		Once:    c.Float("once"),
		Timeout: c.Duration("timeout"),
		Tries:   c.Int("tries"),
		Direct:  c.Bool("direct"),
		Size:    c.Int("size"),
		Seed:    c.Uint64("seed"),
		Check:   &chk,
	}
	r, err := l.Run(ctx)
	if err != nil {
		return err
	}
	r.Print(c.Root().Writer)
	if bad := chk.Failures(); len(bad) > 0 {
		return fmt.Errorf("%d answers violated an invariant, first: %s", len(bad), bad[0])
	}
	return nil
}
