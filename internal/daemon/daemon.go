// Package daemon implements what the long-running programs have in common: flags,
// settings files, logs, signals and exit codes.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"syscall"

	"github.com/urfave/cli/v3"

	"lagoonrack/internal/build"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/proc"
	"lagoonrack/internal/sink"
)

// Daemon describes a long-running program.
type Daemon struct {
	Name, Usage string
	Role        proc.Role
	// Start starts the program and returns a function for its planned stop.
	Start func(proc.Settings, logs.Log) (stop func(), err error)
}

// Main runs the program until SIGINT or SIGTERM and returns its exit code: 0 after
// a planned stop, 1 after a failure and 2 for a wrong command line or settings
// file.
func (d Daemon) Main(args []string) int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	err := d.command().Run(ctx, args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %v\n", d.Name, err)
	var usage usageError
	if errors.As(err, &usage) {
		return 2
	}
	return 1
}

// usageError marks an error in the command line or the settings file.
type usageError struct{ error }

func (d Daemon) command() *cli.Command {
	return &cli.Command{
		Name:    d.Name,
		Usage:   d.Usage,
		Version: build.Version(),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "read the process's settings from `FILE`"},
			&cli.StringSliceFlag{Name: "set", Usage: "override a setting, as `KEY=VALUE`; an empty value changes nothing"},
			&cli.StringFlag{Name: "pid", Usage: "write the process ID to `FILE`"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action:       d.action,
		OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError{err} },
	}
}

func (d Daemon) action(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() > 0 {
		return usageError{fmt.Errorf("unexpected argument %q", c.Args().First())}
	}
	if c.String("settings") == "" {
		return usageError{errors.New("--settings is needed; see --help")}
	}
	s, err := proc.Read(c.String("settings"), d.Role, c.StringSlice("set")...)
	if err != nil {
		return usageError{err}
	}
	if c.Bool("check") {
		fmt.Println("ok")
		return nil
	}
	if err := writePid(c.String("pid")); err != nil {
		return err
	}
	return d.run(ctx, c, s, os.Stdout)
}

func writePid(file string) error {
	if file == "" {
		return nil
	}
	return os.WriteFile(file, []byte(strconv.Itoa(os.Getpid())+"\n"), 0o600)
}

func (d Daemon) run(ctx context.Context, c *cli.Command, s proc.Settings, out io.Writer) error {
	// Until the process ends: by default, the signal would end it.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	lines := sink.New(out)
	defer lines.Close()
	log, err := logs.New(lines, s.Log.Format, s.Log.Level, s.Name)
	if err != nil {
		return err
	}
	stop, err := d.Start(s, log)
	if err != nil {
		log.Error(logs.Failed, err, nil)
		return err
	}
	d.waitForStop(ctx, hup, c, s, log)
	stop()
	return nil
}

// waitForStop returns when the context ends. On SIGHUP it reads and validates the
// settings file again and logs the result; changed settings take effect at the next
// start.
func (d Daemon) waitForStop(ctx context.Context, hup <-chan os.Signal, c *cli.Command, s proc.Settings, log logs.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			next, err := proc.Read(c.String("settings"), d.Role, c.StringSlice("set")...)
			if err != nil {
				log.Error(logs.SettingsFileRejected, err, nil)
				continue
			}
			log.Info(logs.SettingsFileReread, logs.Fields{"changed": !reflect.DeepEqual(next, s)})
		}
	}
}
