// Package guard keeps a panic in the handling of one message from ending the process.
// The call that panicked ends with an error, a log line with the stack and a metric; all
// other work continues.
package guard

import (
	"fmt"
	"runtime/debug"

	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/tally"
)

// Guard records the panics of one process. The zero value records them nowhere.
type Guard struct {
	Log   logs.Log
	Tally *tally.Set
}

// Recover must be deferred. If the function panicked, it sets *err, which may be nil.
func (g Guard) Recover(step string, err *error) {
	if v := recover(); v != nil {
		e := g.Record(step, v)
		if err != nil {
			*err = e
		}
	}
}

// Record logs and counts a recovered panic and returns it as an error.
func (g Guard) Record(step string, v any) error {
	err := fault.At(step, "").Errorf("panic: %v", v)
	if g.Tally != nil {
		g.Tally.Inc("lagoon_panics_total", "step", step)
	}
	g.Log.Error(logs.Panicked, err, logs.Fields{"stack": fmt.Sprintf("%.4000s", debug.Stack())})
	return err
}
