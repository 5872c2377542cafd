package front

import (
	"bytes"
	"context"
	"errors"
	"time"

	"lagoonrack/internal/plat"
)

const (
	// rejectAfter is how long a write that the store rejects is retried before the
	// caller is rejected: less than a quarter of the shortest latency objective. While
	// it is in doubt whether the store is slow or unavailable, which one probe shows,
	// the caller waits for longer: nothing is sent in this time, so the rejection is
	// certain.
	rejectAfter = 45 * time.Millisecond
	// firstRetryDelay is the wait after the first failed try. It doubles with each
	// further one up to maxRetryDelay, which is short for a caller who waits for
	// seconds.
	firstRetryDelay = 15 * time.Millisecond
	maxRetryDelay   = 240 * time.Millisecond
)

// write creates a row, or replaces an existing one if mayReplace allows it. It retries
// until the outcome is known or the caller's context ends. The status is Written if the
// row holds the value, and Stored if the row holds another value that must stay.
func (f *Front) write(ctx context.Context, key string, value []byte, mayReplace func(plat.Row) bool) Outcome {
	return f.writeAll(ctx, []plat.Write{{Key: key, Value: value}}, mayReplace)
}

// writeAll is write for a row, the first one, with further rows that belong to it.
func (f *Front) writeAll(ctx context.Context, writes []plat.Write, mayReplace func(plat.Row) bool) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := rowWrite{front: f, Write: writes[0], writes: writes, mayReplace: mayReplace, startedAt: f.Clock.Now(), nextDelay: firstRetryDelay, results: make(chan result)}
	return w.run(ctx)
}

// rowWrite is the write of one row, with those that belong to it. The result of a late try still counts while the
// next try is in progress. At most one try can take effect, since each checks the
// version that it replaces.
type rowWrite struct {
	front *Front
	plat.Write
	// writes holds the write of the row and of those that belong to it.
	writes     []plat.Write
	mayReplace func(plat.Row) bool
	startedAt  time.Duration
	// delay is the wait before the next try, and nextDelay the wait after the next
	// failed one.
	delay, nextDelay time.Duration
	// version is the version of the row to replace, or 0 if there is no row.
	version uint64
	// pendingTries counts the tries without a result. There is more than one only if
	// uncertain is set.
	pendingTries int
	// uncertain says that a try may have taken effect or may still do so.
	uncertain bool
	results   chan result
}

// result is the result of one try.
type result struct {
	stamp plat.Stamp
	// row is the row as it was read after a conflict.
	row plat.Row
	err error
	// conflicted says that the row had another version than expected, so it was read.
	conflicted bool
}

// run makes tries until the outcome is known or the context ends.
func (w *rowWrite) run(ctx context.Context) Outcome {
	for ctx.Err() == nil {
		w.startTry(ctx)
		r, ok := w.nextResult(ctx, w.front.storeTimeout.For(w.front.Clock.Now(), tryTimeout))
		if !ok && ctx.Err() == nil {
			w.uncertain = true
			w.front.recordFailure(context.DeadlineExceeded)
		}
		// Results of earlier tries may arrive during the delay before the next one.
		for ok {
			if out, done := w.handleResult(r); done {
				return out
			}
			r, ok = w.nextResult(ctx, w.delay)
		}
	}
	return w.unresolved()
}

// nextResult returns the next result of a try, or false if none arrives within the
// given duration.
func (w *rowWrite) nextResult(ctx context.Context, d time.Duration) (result, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r := <-w.results:
		w.pendingTries--
		return r, true
	case <-t.C:
	case <-ctx.Done():
	}
	return result{}, false
}

// startTry starts one more try.
func (w *rowWrite) startTry(ctx context.Context) {
	w.pendingTries++
	version := w.version
	go func() {
		r := w.try(ctx, version)
		select {
		case w.results <- r:
		case <-ctx.Done():
		}
	}()
}

// try writes the row once. After a conflict it reads the row instead.
func (w *rowWrite) try(ctx context.Context, version uint64) result {
	var r result
	r.stamp, r.err = w.front.commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: w.Key, Version: version}},
		Writes: w.writes,
	})
	if errors.Is(r.err, plat.ErrConflict) {
		r.conflicted = true
		r.row, r.err = w.front.read(ctx, w.Key)
	}
	return r
}

// handleResult returns the outcome and true if the result of a try settles it, and
// otherwise sets the delay before the next try.
func (w *rowWrite) handleResult(r result) (Outcome, bool) {
	// After a conflict the row may hold the caller's job, so the caller must not get
	// the answer that nothing is stored.
	w.uncertain = w.uncertain || r.conflicted
	switch {
	case r.err == nil && !r.conflicted:
		w.front.recordStoreClock(r.stamp)
		return Outcome{Status: Written}, true
	case r.err == nil && r.row.Version != 0 && bytes.Equal(r.row.Value, w.Value):
		return Outcome{Status: Written}, true
	case r.err == nil && r.row.Version != 0 && !w.mayReplace(r.row):
		return Outcome{Status: Stored}, true
	case r.err == nil:
		w.version, w.delay = r.row.Version, 0
		return Outcome{}, false
	case !errors.Is(r.err, plat.ErrRefused):
		w.uncertain = true
	}
	w.front.storeFailed("write row", r.err)
	if !w.uncertain && !w.front.storeInDoubt.Load() && w.front.Clock.Now()-w.startedAt > rejectAfter {
		return w.unresolved(), true
	}
	w.delay = w.nextDelay
	w.nextDelay = min(2*w.nextDelay, maxRetryDelay)
	return Outcome{}, false
}

// unresolved returns the outcome when the caller's context has ended, or when the store
// has rejected every try for longer than rejectAfter.
func (w *rowWrite) unresolved() Outcome {
	if w.uncertain || w.pendingTries > 0 {
		return Outcome{Status: Unknown}
	}
	return Outcome{Status: Rejected, Reason: "store", After: w.front.outageRetryAfter()}
}
