// Package ctlcmd implements the command line of lagoonctl. Each subcommand is in a
// file of its own.
package ctlcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/build"
	"lagoonrack/internal/conf"
	"lagoonrack/internal/ctl"
)

// Main runs the command line and returns the exit code: 0 for success, 1 for a
// failure and 2 for a wrong command line.
func Main(args []string) int {
	err := root().Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "lagoonctl:", err)
	var usage usageError
	if errors.As(err, &usage) {
		return 2
	}
	return 1
}

// usageError marks an error in the command line.
type usageError struct{ error }

func usageErrorf(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

// onUsage marks the errors that the flag parser reports as usage errors.
func onUsage(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }

func root() *cli.Command {
	return &cli.Command{
		Name:         "lagoonctl",
		Usage:        "manage services, jobs, workers and settings",
		Version:      build.Version(),
		OnUsageError: onUsage,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return usageErrorf("there is no command %q; see --help", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
		Commands: []*cli.Command{
			checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(),
			submitCommand(), stateCommand(), jobsCommand(), workersCommand(), cancelCommand(), whyCommand(), whereCommand(), drainCommand(),
		},
	}
}

// command returns a subcommand that reports wrong use in one line, without the
// help text.
func command(name, usage, args string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:         name,
		Usage:        usage,
		ArgsUsage:    args,
		Flags:        flags,
		Action:       action,
		OnUsageError: onUsage,
	}
}

func entryFlag() cli.Flag {
	return &cli.StringFlag{
		Name:    "entry",
		Usage:   "operator `ADDRESS` of an entry",
		Sources: cli.EnvVars("LAGOON_ENTRY"),
	}
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "text", Usage: "text or json"}
}

func overlayFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "overlay", Usage: "overlay `FILE` of a site; may be repeated"}
}

// client returns a client of the entry that the command line names.
func client(c *cli.Command) (ctl.Client, error) {
	addr := c.String("entry")
	if addr == "" {
		return ctl.Client{}, usageErrorf("--entry or LAGOON_ENTRY is needed")
	}
	return ctl.Client{Addr: addr}, nil
}

// argAndClient returns the only argument and a client of the entry. The parameter what
// is the name of the argument in error messages.
func argAndClient(c *cli.Command, what string) (string, ctl.Client, error) {
	name, err := onlyArg(c, what)
	if err != nil {
		return "", ctl.Client{}, err
	}
	cl, err := client(c)
	return name, cl, err
}

// onlyArg returns the only argument. The parameter what is the name of the argument in
// error messages.
func onlyArg(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageErrorf("%s: exactly one %s is needed", c.Name, what)
	}
	return c.Args().First(), nil
}

// printResult prints v as JSON or calls text to print it as text, depending on
// --output.
func printResult(c *cli.Command, v any, text func(io.Writer)) error {
	out := c.Root().Writer
	switch c.String("output") {
	case "json":
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v)
	case "text":
		text(out)
		return nil
	}
	return usageErrorf("--output: %q is neither text nor json", c.String("output"))
}

// readSource reads the base file and the overlays that the command line names.
func readSource(c *cli.Command) (conf.Source, error) {
	var s conf.Source
	base, err := onlyArg(c, "base file")
	if err != nil {
		return s, err
	}
	if s.Base, err = readFile(base); err != nil {
		return s, err
	}
	for _, o := range c.StringSlice("overlay") {
		f, err := readFile(o)
		if err != nil {
			return s, err
		}
		s.Overlays = append(s.Overlays, f)
	}
	if len(s.Overlays) == 0 {
		return s, usageErrorf("%s: at least one --overlay is needed", c.Name)
	}
	return s, nil
}

func readFile(name string) (conf.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return conf.File{}, err
	}
	return conf.File{Name: filepath.ToSlash(name), Text: string(data)}, nil
}

// formatTime formats a wall-clock time in milliseconds since 1970; 0 means that
// there is none.
func formatTime(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
