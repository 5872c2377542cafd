// Package ticker calls a core at intervals so that it can act on the passing of time.
// A core is scheduling or routing logic that reads no clock itself. The intervals are
// short while the core waits for a point in time, and long otherwise, so that an idle
// process uses little CPU time.
package ticker

import (
	"context"
	"time"
)

// Ticker calls the step function of a core at intervals. Use New.
type Ticker struct {
	step func() bool
	wake chan struct{}
}

const (
	// busyInterval is the interval while the core waits for a point in time, and
	// idleInterval the interval otherwise.
	busyInterval = 5 * time.Millisecond
	idleInterval = 100 * time.Millisecond
)

// New returns a ticker. The function step passes the current time to the core and
// reports whether the core waits for a later point in time.
func New(step func() bool) *Ticker {
	return &Ticker{step: step, wake: make(chan struct{}, 1)}
}

// Wake makes Run step the core at once.
func (p *Ticker) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run steps the core until the context ends.
func (p *Ticker) Run(ctx context.Context) {
	idle := time.NewTicker(idleInterval)
	defer idle.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
		case <-p.wake:
		}
		p.runBusy(ctx)
	}
}

// runBusy steps the core at short intervals until step reports that the core does
// not wait for a point in time.
func (p *Ticker) runBusy(ctx context.Context) {
	t := time.NewTicker(busyInterval)
	defer t.Stop()
	for p.step() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
