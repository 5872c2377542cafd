// Package loadcmd implements the command line of lagoonload, which generates load
// and runs experiments. Each subcommand has its own file.
package loadcmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/build"
)

// Main runs the command line and returns the exit code. An interrupt or SIGTERM
// cancels the command.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := root().Run(ctx, args); err != nil {
		fmt.Fprintln(os.Stderr, "lagoonload:", err)
		return 1
	}
	return 0
}

// root returns the root command with all subcommands.
func root() *cli.Command {
	return &cli.Command{
		Name:     "lagoonload",
		Usage:    "drive load and run experiments",
		Version:  build.Version(),
		Commands: []*cli.Command{runCommand(), expCommand(), watchCommand(), slopesCommand(), agentsCommand(), capacityCommand(), jobsCommand(), faultCommand(), callCommand(), gapsCommand()},
	}
}
