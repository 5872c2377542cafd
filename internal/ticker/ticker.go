// Package ticker tells a core of the time: often while the core waits for time to
// pass, and seldom otherwise, so that an idle process costs little.
package ticker

import (
	"context"
	"time"
)

// Ticker steps a core. Use New.
type Ticker struct {
	step func() bool
	wake chan struct{}
}

const (
	// busyEvery is the pace while the core waits for time to pass, and
	// idleEvery that otherwise.
	busyEvery = 5 * time.Millisecond
	idleEvery = 100 * time.Millisecond
)

// New returns a ticker. Step tells the core of the time and reports whether it
// waits for more of it to pass.
func New(step func() bool) *Ticker {
	return &Ticker{step: step, wake: make(chan struct{}, 1)}
}

// Wake starts the fast pace at once.
func (p *Ticker) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Run steps the core until the context ends.
func (p *Ticker) Run(ctx context.Context) {
	idle := time.NewTicker(idleEvery)
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

func (p *Ticker) runBusy(ctx context.Context) {
	t := time.NewTicker(busyEvery)
	defer t.Stop()
	for p.step() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
