// Package await adapts the timeout of store calls to the store's recent latency.
//
// At times the store is many times slower than usual for some seconds. If calls time
// out then, the store still executes them, their outcome is unknown to the caller, and
// the caller retries them. So the store's queue fills with work whose result nobody
// waits for. A store that does not answer at all must still be noticed soon, so the
// timeout grows only after slow answers or timeouts were seen.
//
// The slowest answer of the last seconds is taken as the store's latency, and a call
// may take a small multiple of it. A timeout shows only that the store may be slow, and
// doubles the timeout of the next calls.
package await

import (
	"context"
	"sync"
	"time"
)

const (
	// window is for how long a timeout or the slowest answer affects later calls. It may
	// be as short as 3 s, although the store is slow for 3 to 6 s at a time, since each
	// answer at least as slow as the slowest one starts the window again.
	window = 3 * time.Second
	// slowFactor is the ratio of the timeout to the slowest answer. Each part of the
	// store executes its transactions one by one, so a call may wait for others.
	slowFactor = 3
	// maxTimeout is below the 2.5 to 3 s that callers wait for an answer. A longer base
	// timeout is kept.
	maxTimeout = 2400 * time.Millisecond
)

// Timeout determines the timeout of calls from the latency of earlier ones. The zero
// value is ready for use, and a nil Timeout always returns the base timeout. All times
// must come from the same monotonic clock.
type Timeout struct {
	mu sync.Mutex
	// slowest is the latency of the slowest answer in the window, and slowestAt is when
	// it arrived.
	slowest, slowestAt time.Duration
	// timedOutAt is when a call last timed out, or 0.
	timedOutAt time.Duration
}

// RecordAnswer records that a call was answered, and how long that took.
func (l *Timeout) RecordAnswer(now, took time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if took >= l.slowest || now-l.slowestAt > window {
		l.slowest, l.slowestAt = took, now
	}
}

// RecordTimeout records that a call timed out without an answer.
func (l *Timeout) RecordTimeout(now time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timedOutAt = max(1, now)
}

// For returns the current timeout of a call whose usual timeout is base.
func (l *Timeout) For(now, base time.Duration) time.Duration {
	if l == nil {
		return base
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	timeout := base
	if l.timedOutAt > 0 && now-l.timedOutAt <= window {
		timeout = 2 * base
	}
	if now-l.slowestAt <= window {
		timeout = max(timeout, slowFactor*l.slowest)
	}
	return max(base, min(maxTimeout, timeout))
}

// Extra returns by how much the current timeout exceeds the base timeout.
func (l *Timeout) Extra(now, base time.Duration) time.Duration { return l.For(now, base) - base }

// Context returns a context that bounds a call by its current timeout.
func (l *Timeout) Context(ctx context.Context, now, base time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, l.For(now, base))
}
