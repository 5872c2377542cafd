package front

import (
	"bytes"
	"context"
	"errors"
	"time"

	"lagoonrack/internal/plat"
)

const (
	// refuseAfter is how long a store that turns calls away is tried before the
	// caller is sent away: less than a quarter of the shortest objective.
	refuseAfter = 45 * time.Millisecond
	// tryPause is the wait after the first try. It doubles up to longestPause,
	// which a caller who waits for seconds does not notice.
	tryPause     = 15 * time.Millisecond
	longestPause = 240 * time.Millisecond
)

// write creates a row, or replaces one that may be, and repeats that until its
// fate is certain or the caller's time is over. The fate is Written if the row
// holds the value, and Stored if another one is there that stays.
func (f *Front) write(ctx context.Context, key string, value []byte, may func(plat.Row) bool) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := writing{front: f, key: key, value: value, may: may, began: f.Clock.Now(), pause: tryPause, results: make(chan result)}
	return w.run(ctx)
}

// writing is the write of one row. A try that is late is still listened to while
// the next one is under way: at most one can take effect, since each names the
// version that it replaces.
type writing struct {
	front *Front
	key   string
	value []byte
	may   func(plat.Row) bool
	began time.Duration
	// rest is the wait before the next try, and pause the one after its failure.
	rest, pause time.Duration
	// version is that of the row to replace, or 0.
	version uint64
	// open counts the tries without a result. Only with a doubt there are several.
	open int
	// doubt says that a try may have taken effect, or still may.
	doubt   bool
	results chan result
}

// result is the end of one try.
type result struct {
	stamp plat.Stamp
	// row is what was there after a conflict.
	row plat.Row
	err error
	// taken says that the version had changed, so that row was read.
	taken bool
}

func (w *writing) run(ctx context.Context) Outcome {
	for ctx.Err() == nil {
		w.start(ctx)
		r, ok := w.next(ctx, w.front.limit.For(w.front.Clock.Now(), tryTimeout))
		if !ok && ctx.Err() == nil {
			w.doubt = true
			w.front.failed(context.DeadlineExceeded)
		}
		// An earlier try may be answered in the pause after a later one.
		for ok {
			if out, done := w.take(r); done {
				return out
			}
			r, ok = w.next(ctx, w.rest)
		}
	}
	return w.unsettled()
}

// next returns the next result of a try, or false if none comes within a span.
func (w *writing) next(ctx context.Context, d time.Duration) (result, bool) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case r := <-w.results:
		w.open--
		return r, true
	case <-t.C:
	case <-ctx.Done():
	}
	return result{}, false
}

// start makes one more try.
func (w *writing) start(ctx context.Context) {
	w.open++
	version := w.version
	go func() {
		r := w.try(ctx, version)
		select {
		case w.results <- r:
		case <-ctx.Done():
		}
	}()
}

func (w *writing) try(ctx context.Context, version uint64) result {
	var r result
	r.stamp, r.err = w.front.commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: w.key, Version: version}},
		Writes: []plat.Write{{Key: w.key, Value: w.value}},
	})
	if errors.Is(r.err, plat.ErrConflict) {
		r.taken = true
		r.row, r.err = w.front.read(ctx, w.key)
	}
	return r
}

// take decides on the result of a try.
func (w *writing) take(r result) (Outcome, bool) {
	// A row that is there means that the caller can't be told that nothing is.
	w.doubt = w.doubt || r.taken
	switch {
	case r.err == nil && !r.taken:
		w.front.stamped(r.stamp)
		return Outcome{Fate: Written}, true
	case r.err == nil && r.row.Version != 0 && bytes.Equal(r.row.Value, w.value):
		return Outcome{Fate: Written}, true
	case r.err == nil && r.row.Version != 0 && !w.may(r.row):
		return Outcome{Fate: Stored}, true
	case r.err == nil:
		w.version, w.rest = r.row.Version, 0
		return Outcome{}, false
	case !errors.Is(r.err, plat.ErrRefused):
		w.doubt = true
	}
	w.front.storeFailed("write row", r.err)
	if !w.doubt && w.front.Clock.Now()-w.began > refuseAfter {
		return w.unsettled(), true
	}
	w.rest = w.pause
	w.pause = min(2*w.pause, longestPause)
	return Outcome{}, false
}

// unsettled is the fate once the caller's time, or patience with a store that
// turns calls away, is over.
func (w *writing) unsettled() Outcome {
	if w.doubt || w.open > 0 {
		return Outcome{Fate: Doubtful}
	}
	return Outcome{Fate: Refused, Reason: "store", After: w.front.outageAfter()}
}
