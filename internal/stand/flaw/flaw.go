// Package flaw holds the switchable faults of the stand-ins.
package flaw

import (
	"context"
	"sync"
	"time"

	"lagoonrack/internal/plat"
)

// Switch makes one stand-in misbehave. Its zero value behaves well. All its
// methods may be called at any time from any goroutine.
type Switch struct {
	mu  sync.Mutex
	set Faults
}

// Faults is what goes wrong.
type Faults struct {
	// Slow delays each operation.
	Slow time.Duration
	// Down lets each operation end without effect or answer.
	Down bool
	// Lose lets each write take effect and then fails its answer.
	Lose bool
	// Lag delays reports by a worker.
	Lag time.Duration
	// Fail lets a worker fail everything it starts.
	Fail bool
	// Factor makes a minion this many times slower, if above 1.
	Factor float64
	// Refuse lets a minion refuse every request.
	Refuse bool
}

// Set replaces the faults.
func (s *Switch) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set = f
}

// Get returns the present faults.
func (s *Switch) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.set
}

// Before delays or fails an operation before it has any effect.
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

// After fails the answer of a write that has taken effect.
func (s *Switch) After() error {
	if s.Get().Lose {
		return plat.ErrUnavailable
	}
	return nil
}
