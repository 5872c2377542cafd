// Package ctlcmd is the command line of lagoonctl. Each subcommand has a file
// of its own.
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
// failure and 2 for wrong use.
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

// usageError is a command line that can't be carried out.
type usageError struct{ error }

func usagef(format string, args ...any) error { return usageError{fmt.Errorf(format, args...)} }

func onUsage(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} }

func root() *cli.Command {
	return &cli.Command{
		Name:         "lagoonctl",
		Usage:        "look after services, jobs and settings",
		Version:      build.Version(),
		OnUsageError: onUsage,
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() > 0 {
				return usagef("there is no command %q; see --help", c.Args().First())
			}
			return cli.ShowRootCommandHelp(c)
		},
		Commands: []*cli.Command{
			checkCommand(), showCommand(), diffCommand(), applyCommand(), statusCommand(),
			submitCommand(), stateCommand(), jobsCommand(), workersCommand(), cancelCommand(), whyCommand(), drainCommand(),
		},
	}
}

// command builds a subcommand whose wrong use is reported in one line.
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

func client(c *cli.Command) (ctl.Client, error) {
	addr := c.String("entry")
	if addr == "" {
		return ctl.Client{}, usagef("--entry or LAGOON_ENTRY is needed")
	}
	return ctl.Client{Addr: addr}, nil
}

// named returns the only argument and a client of the entry.
func named(c *cli.Command, what string) (string, ctl.Client, error) {
	name, err := one(c, what)
	if err != nil {
		return "", ctl.Client{}, err
	}
	cl, err := client(c)
	return name, cl, err
}

// one returns the only argument.
func one(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usagef("%s: exactly one %s is needed", c.Name, what)
	}
	return c.Args().First(), nil
}

// show prints a value as JSON, or calls text.
func show(c *cli.Command, v any, text func(io.Writer)) error {
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
	return usagef("--output: %q is neither text nor json", c.String("output"))
}

// source reads the files that a command line names.
func source(c *cli.Command) (conf.Source, error) {
	var s conf.Source
	base, err := one(c, "base file")
	if err != nil {
		return s, err
	}
	if s.Base, err = file(base); err != nil {
		return s, err
	}
	for _, o := range c.StringSlice("overlay") {
		f, err := file(o)
		if err != nil {
			return s, err
		}
		s.Overlays = append(s.Overlays, f)
	}
	if len(s.Overlays) == 0 {
		return s, usagef("%s: at least one --overlay is needed", c.Name)
	}
	return s, nil
}

func file(name string) (conf.File, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return conf.File{}, err
	}
	return conf.File{Name: filepath.ToSlash(name), Text: string(data)}, nil
}

// clock prints a wall-clock time in milliseconds for a person.
func clock(ms int64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
