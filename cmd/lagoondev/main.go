// Lagoondev runs the whole system in one process, on an embedded stand-in platform
// with stand-in minions and workers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/examples"
	"lagoonrack/internal/build"
	"lagoonrack/internal/devel"
	"lagoonrack/internal/logs"
)

func main() { os.Exit(start(os.Args)) }

// start runs the command line and returns the exit code.
func start(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "lagoondev:", err)
		return 1
	}
	return 0
}

func command() *cli.Command {
	return &cli.Command{
		Name:    "lagoondev",
		Usage:   "run the whole system in one process on an embedded stand-in platform",
		Version: build.Version(),
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "generate an example load for this duration, print a report and exit"},
			&cli.FloatFlag{Name: "rate", Value: 400, Usage: "requests per second to each service"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load generator"},
			&cli.StringFlag{Name: "log-format", Value: "text", Usage: "text or json"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "debug, info, warning or error"},
		},
		Action: run,
	}
}

// startTimeout bounds the start of the system.
const startTimeout = 30 * time.Second

func run(ctx context.Context, c *cli.Command) error {
	log, err := logs.New(os.Stderr, c.String("log-format"), c.String("log-level"), "lagoondev")
	if err != nil {
		return err
	}
	s, err := devel.Start(examples.Source(), log)
	if err != nil {
		return err
	}
	defer s.Stop()
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.Ready(wait); err != nil {
		return err
	}
	printAddresses(s)
	if c.Duration("for") == 0 {
		fmt.Println("running; interrupt for a planned stop")
		<-ctx.Done()
		return nil
	}
	d := devel.Drive{System: s, For: c.Duration("for"), Rate: c.Float("rate"), Seed: c.Uint64("seed"), Out: os.Stdout}
	return d.Run(ctx)
}

// printAddresses prints the addresses of each site and a command to try each of
// its services.
func printAddresses(s *devel.System) {
	for _, o := range s.Sites {
		fmt.Printf("site %s\n", o.Settings.Site)
		for _, e := range o.Entries {
			fmt.Printf("  callers http://%s/  operators %s  metrics http://%s/metrics\n", e.Caller(), e.Operator(), e.Operator())
		}
		for _, v := range o.Settings.Services {
			fmt.Printf("  try: curl -i http://%s/%s/hello\n", o.Entries[0].Caller(), v.Name)
		}
	}
}
