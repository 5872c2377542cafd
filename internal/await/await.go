// Package await decides how long an answer of the store is waited for.
//
// The load that this answers: a store that takes many times as long as usual, for
// some seconds. Calls that are given up before their answer are done all the same,
// leave their caller in doubt and are made again, which fills the queue of the
// store with work that nobody waits for. A store that gives no answer at all must
// still be noticed soon, so the wait grows only with what is seen.
//
// Model. The slowest answer of the last seconds says how long the store takes at
// present; a call may take a few times as long. A call that was given up says only
// that the store may be slow, and doubles the wait.
package await

import (
	"context"
	"sync"
	"time"
)

const (
	// memory is how long a slow answer counts: slow spells of the store take 3 to
	// 6 s on the users' platform, and each answer in one renews it.
	memory = 3 * time.Second
	// factor leaves room for answers that wait behind others: a part of the store
	// takes one transaction after the other.
	factor = 3
	// most bounds the wait below the 2.5 to 3 s that callers wait for an answer.
	most = 2400 * time.Millisecond
)

// Limit learns from answers how long a call may take. The zero value is ready, and
// a nil Limit never waits longer than the least. Times are those of one steady
// clock.
type Limit struct {
	mu sync.Mutex
	// slow is the slowest answer since at, and at when it came.
	slow, at time.Duration
	// missed is when a call was given up last, or 0.
	missed time.Duration
}

// Answered takes in that a call was answered, and how long that took.
func (l *Limit) Answered(now, took time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if took >= l.slow || now-l.at > memory {
		l.slow, l.at = took, now
	}
}

// Missed takes in that a call was given up without an answer.
func (l *Limit) Missed(now time.Duration) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.missed = max(1, now)
}

// For returns how long a call may take that usually is given the least.
func (l *Limit) For(now, least time.Duration) time.Duration {
	if l == nil {
		return least
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := least
	if l.missed > 0 && now-l.missed <= memory {
		wait = 2 * least
	}
	if now-l.at <= memory {
		wait = max(wait, factor*l.slow)
	}
	return max(least, min(most, wait))
}

// Extra returns by how much a call may take longer than the least.
func (l *Limit) Extra(now, least time.Duration) time.Duration { return l.For(now, least) - least }

// Within bounds a call that usually is given the least.
func (l *Limit) Within(ctx context.Context, now, least time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, l.For(now, least))
}
