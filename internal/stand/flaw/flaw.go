// Package flaw injects faults into the stand-ins for the platform's parts.
package flaw

import (
	"context"
	"sync"
	"time"

	"lagoonrack/internal/plat"
)

// Switch holds the faults of one stand-in, which can be changed at any time. The zero
// value has none. All methods are safe for concurrent use.
type Switch struct {
	mu     sync.Mutex
	faults Faults
}

// Faults describes the faults to inject. Each stand-in implements only those that
// apply to it.
type Faults struct {
	// Slow delays each operation.
	Slow time.Duration
	// Down makes each operation fail with plat.ErrUnavailable before it has any
	// effect.
	Down bool
	// Lose makes each write fail with plat.ErrUnavailable after it has taken
	// effect, as if the answer had been lost.
	Lose bool
	// Lag is the delay of the resource usage in a worker's reports.
	Lag time.Duration
	// Fail makes every task that a worker starts fail.
	Fail bool
	// Factor multiplies the run time of requests on a minion, if above 1.
	Factor float64
	// Refuse makes a minion reject every request.
	Refuse bool
}

// Set replaces all faults.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Get returns the current faults.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Before must be called before an operation takes effect. It applies the delay, and
// returns an error if the operation is to fail without effect.
func (s *Switch) Before(ctx context.Context) error {
	f := s.Get()
	if f.Slow > 0 {
		t := time.NewTimer(f.Slow)
		defer t.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	if f.Down {
		return plat.ErrUnavailable
	}
	return nil
}

// After must be called after a write has taken effect. It returns an error if the
// answer is to be lost.
func (s *Switch) After() error {
	if s.Get().Lose {
		return plat.ErrUnavailable
	}
	return nil
}
