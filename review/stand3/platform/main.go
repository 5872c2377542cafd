//go:build review

// Command stand3 plays the script cases of the third review: it starts the entries and
// agents of a small deployment as processes, with stand-ins of the platform, the minions
// and the clients, and checks one rule. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest bounds a run of any case.
const longest = 112 * time.Second

// cases holds the cases by name. Each returns a line for every breach of its rule.
var cases = map[string]func(f *fleet) ([]string, error){
	"memory":  playMemory,
	"order":   playOrder,
	"foreign": playForeign,
	"frozen":  playFrozen,
	"pending": playPending,
}

// withTrouble reports whether the disruption of the case is played.
func withTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *recorder) notef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line)
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r := &recorder{file: file, start: time.Now()}
	r.notef("case %s, TROUBLE=%s", os.Args[1], map[bool]string{true: "1", false: "0"}[withTrouble()])
	f, err := newFleet(r)
	if err != nil {
		finish(r, f, failed, err.Error())
	}
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	type result struct {
		breaches []string
		err      error
	}
	done := make(chan result, 1)
	go func() {
		b, err := cases[os.Args[1]](f)
		done <- result{b, err}
	}()
	select {
	case x := <-done:
		switch {
		case x.err != nil:
			finish(r, f, failed, x.err.Error())
		case len(x.breaches) > 0:
			finish(r, f, broken, strings.Join(x.breaches, "\n          "))
		default:
			finish(r, f, held, "the rule held")
		}
	case s := <-ends:
		finish(r, f, failed, "ended by signal "+s.String())
	case <-time.After(longest):
		finish(r, f, failed, "the case took too long")
	}
}

// finish ends all processes, writes the result and exits.
func finish(r *recorder, f *fleet, status int, text string) {
	if f != nil {
		f.endAll()
	}
	r.notef("result %d: %s", status, text)
	fmt.Printf("result %d: %s\n", status, text)
	_ = r.file.Close()
	os.Exit(status)
}
