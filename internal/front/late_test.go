package front

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/stand/rows"
)

const (
	// lateLatency is the latency of a store that is slow, and earlyLimit a limit of calls that
	// is just below it.
	lateLatency = 800 * time.Millisecond
	earlyLimit  = lateLatency - time.Millisecond
)

// slowRows returns the operations of a store that answers late, or not at all.
func slowRows(answers bool) plat.Rows {
	wait := func(ctx context.Context) error {
		select {
		case <-time.After(lateLatency):
		case <-ctx.Done():
			return plat.ErrUnavailable
		}
		if answers {
			return nil
		}
		<-ctx.Done()
		return plat.ErrUnavailable
	}
	return plat.Rows{
		Read: func(ctx context.Context, _ string) (plat.Row, plat.Stamp, error) {
			return plat.Row{}, plat.Stamp{}, wait(ctx)
		},
		Commit: func(ctx context.Context, _ plat.Txn) (plat.Stamp, error) { return plat.Stamp{}, wait(ctx) },
	}
}

// TestLateAnswerShowsSlowStore guards against a store that counts as down since the first call
// after it has turned slow was given up: until a probe was answered, jobs got no certain
// outcome.
func TestLateAnswerShowsSlowStore(t *testing.T) {
	for name, call := range map[string]func(*Front, context.Context) error{
		"read": func(f *Front, ctx context.Context) error {
			_, _, err := f.readDirect(ctx, "table/key")
			return err
		},
		"commit": func(f *Front, ctx context.Context) error {
			_, err := f.commitDirect(ctx, plat.Txn{})
			return err
		},
	} {
		for _, answers := range []bool{true, false} {
			answer := map[bool]string{true: "an answer that comes late", false: "no answer"}[answers]
			t.Run(name+", "+answer, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playLateAnswer(t, call, answers) })
			})
		}
	}
}

// playLateAnswer gives a call up just before the store answers it, if it does.
func playLateAnswer(t *testing.T, call func(*Front, context.Context) error, answers bool) {
	f := newFront(&rows.Store{})
	f.Name, f.Rows = "entry", slowRows(answers)
	var stop context.CancelFunc
	f.ctx, stop = context.WithCancel(t.Context())
	ctx, cancel := context.WithTimeout(t.Context(), earlyLimit)
	defer cancel()
	if err := call(f, ctx); !errors.Is(err, plat.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
	if !f.storeDown() {
		t.Error("the store counts as up without an answer")
	}
	time.Sleep(2 * time.Millisecond)
	if f.storeDown() == answers {
		t.Errorf("down: %v", f.storeDown())
	}
	if limit := f.storeTimeout.For(f.Clock.Now(), lateLatency); answers && limit < 2*lateLatency {
		t.Errorf("the next call may take %v", limit)
	}
	stop()
	f.loops.Wait()
}

// TestCallsOfStoreGoOnInPlannedStop guards against requests that come in the last moments of a
// planned stop, when the entry's loops have been ended, and whose calls of the store then fail.
func TestCallsOfStoreGoOnInPlannedStop(t *testing.T) {
	f := newFront(&rows.Store{})
	f.Rows = plat.Rows{
		Read: func(ctx context.Context, _ string) (plat.Row, plat.Stamp, error) {
			return plat.Row{}, plat.Stamp{}, ctx.Err()
		},
		Commit: func(ctx context.Context, _ plat.Txn) (plat.Stamp, error) { return plat.Stamp{}, ctx.Err() },
	}
	var stop context.CancelFunc
	f.ctx, stop = context.WithCancel(t.Context())
	stop()
	if _, err := f.commitDirect(t.Context(), plat.Txn{}); err != nil {
		t.Errorf("commit: %v", err)
	}
	if _, _, err := f.readDirect(t.Context(), "table/key"); err != nil {
		t.Errorf("read: %v", err)
	}
}
