package leader

import (
	"context"
	"errors"
	"time"

	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
)

// claimAndRun claims the cell and runs the scheduler for it until the ownership is
// lost or released.
func (l *Leader) claimAndRun(ctx context.Context, reason string) {
	started := l.Clock.Now()
	t, err := l.claim(ctx)
	if err != nil {
		l.storeFailed("claim", err)
		l.mu.Lock()
		l.watch.ReadFailed()
		l.mu.Unlock()
		if errors.Is(err, errLoadFailed) {
			clock.Sleep(ctx, pauseAfterFailure)
		}
		clock.Sleep(ctx, retryDelay)
		return
	}
	if t == nil {
		return
	}
	if l.hasResigned() {
		l.setClaimedTerm(0)
		l.releaseOwnership(ctx, t)
		return
	}
	l.Log.Info(logs.Owned, logs.Fields{"term": t.number, "reason": reason, "ms": (l.Clock.Now() - started).Milliseconds()})
	l.Tally.Inc("lagoon_takeovers_total", "reason", reason)
	l.Tally.Seconds((l.Clock.Now() - started).Seconds(), "lagoon_takeover_seconds")
	l.runTerm(ctx, t)
	if t.panicked.Load() {
		// Another process may do better with the same state.
		clock.Sleep(ctx, pauseAfterFailure)
	}
}

// pauseAfterFailure is how long a process claims nothing after its scheduler panicked or
// could not load the state.
const pauseAfterFailure = 3 * time.Second

// claim makes this process the owner. The term is nil if another process has
// claimed the cell first. Otherwise the claimed term stays recorded until runTerm or
// setClaimedTerm.
func (l *Leader) claim(ctx context.Context) (t *term, err error) {
	c, cancel := context.WithTimeout(ctx, 2*l.StoreTimeout.For(l.Clock.Now(), callTimeout))
	defer cancel()
	previous, row, _, err := readRow[ownership](c, l.Rows, ownershipKey)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	changed := previous.Term != l.watch.Term()
	l.mu.Unlock()
	if changed {
		l.observe(previous)
		return nil, nil
	}
	claimed := ownership{Term: previous.Term + 1, Name: l.Name, Addr: l.Addr, Nonce: ulid.Make().String()}
	// Others may read the new row before this process knows that its claim took effect.
	// It must not tell them then that it is not the owner.
	l.setClaimedTerm(claimed.Term)
	defer func() {
		if t == nil {
			l.setClaimedTerm(0)
		}
	}()
	w, err := encodeRow(ownershipKey, claimed)
	if err != nil {
		return nil, err
	}
	txn := plat.Txn{Checks: []plat.Check{{Key: ownershipKey, Version: row.Version}}, Writes: []plat.Write{w}}
	if _, err := l.Rows.Commit(c, txn); errors.Is(err, plat.ErrRefused) {
		return nil, err
	}
	// The commit may have succeeded, failed with a conflict or gone unanswered.
	// Reading the row back shows whether it took effect.
	return l.confirmClaim(ctx, claimed)
}

// confirmClaim reads the ownership row back to find out whether a claim took
// effect. If so it loads the cell's state and returns the new term, else nil.
func (l *Leader) confirmClaim(ctx context.Context, claimed ownership) (*term, error) {
	c, cancel := context.WithTimeout(ctx, 4*l.StoreTimeout.For(l.Clock.Now(), callTimeout))
	defer cancel()
	sent := l.Clock.Now()
	got, row, _, err := readRow[ownership](c, l.Rows, ownershipKey)
	if err != nil {
		return nil, err
	}
	l.observe(got)
	if got != claimed {
		return nil, nil
	}
	return l.loadClaimed(ctx, claimed, row, sent)
}

// setClaimedTerm records the term that this process claims, or 0 once it has loaded the
// state or given up.
func (l *Leader) setClaimedTerm(term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.claimedTerm, l.loadedAt = term, l.Clock.Now()
}

// hasResigned reports whether a planned stop has begun.
func (l *Leader) hasResigned() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.resigned
}

// errLoadFailed means that the state could not be loaded although the store answered.
var errLoadFailed = errors.New("the state of the cell can't be loaded")

// maxLoads is how often a process loads the state for one claim. The next one may have a
// better link.
const maxLoads = 3

// loadClaimed loads the state of a cell that this process has claimed. A load that fails
// is made again while the ownership row stands: a new claim would begin with the same
// load. The term is nil if another process has claimed the cell in the meantime. The call
// that confirmed the claim was sent at confirmedAt.
func (l *Leader) loadClaimed(ctx context.Context, claimed ownership, row plat.Row, confirmedAt time.Duration) (*term, error) {
	for failed := 0; ; {
		t, err := l.load(ctx, claimed, row, confirmedAt)
		if err == nil || ctx.Err() != nil || l.hasResigned() {
			return t, err
		}
		l.storeFailed("load state", err)
		clock.Sleep(ctx, retryDelay)
		c, cancel := l.withTimeout(ctx)
		sent := l.Clock.Now()
		got, _, _, err := readRow[ownership](c, l.Rows, ownershipKey)
		cancel()
		if err != nil {
			l.storeFailed("read title", err)
			continue
		}
		if got != claimed {
			l.observe(got)
			return nil, nil
		}
		confirmedAt = sent
		if failed++; failed == maxLoads {
			return nil, errLoadFailed
		}
	}
}

// load reads the state of the cell and returns the claimed term.
func (l *Leader) load(ctx context.Context, claimed ownership, row plat.Row, confirmedAt time.Duration) (*term, error) {
	if err := l.readZones(ctx); err != nil {
		return nil, err
	}
	loading := l.rowsForLoading()
	_, markRow, _, err := readRow[commitMark](ctx, loading, commitMarkKey)
	if err != nil {
		return nil, err
	}
	found, stamp, err := loadState(ctx, loading, l.skipRow)
	if err != nil {
		return nil, err
	}
	found.ConfirmedAt = confirmedAt
	now := l.Clock.Now()
	t := newTerm(ctx, claimed.Term, sched.New(l.Limits, claimed.Term, now, stamp.Now-now, found, l.Config()))
	t.ownershipRow, t.commitMarkRow, t.feedVersion = row, markRow, stamp.Version
	return t, nil
}

// readZones reads the evacuated zones from the store. What this process has learned of them
// before may be older than the claim.
func (l *Leader) readZones(ctx context.Context) error {
	if l.ReadZones == nil {
		return nil
	}
	c, cancel := context.WithTimeout(ctx, listCalls*l.StoreTimeout.For(l.Clock.Now(), callTimeout))
	defer cancel()
	_, err := l.ReadZones(c)
	return err
}

// skipRow logs and counts a row that can't be used.
func (l *Leader) skipRow(key string, err error) {
	l.Tally.Inc("lagoon_rows_skipped_total", "step", "load")
	l.Log.Error(logs.EntrySkipped, fault.At("decode row", key).Wrap(err), nil)
}

// rowsForLoading returns the store's reads with a timeout for each call. The load as a
// whole has none: on a weak machine it takes as long as decoding the state does, and the
// other processes claim the cell if it takes too long because of the store.
func (l *Leader) rowsForLoading() plat.Rows {
	answered := func(err error) {
		if err != nil {
			return
		}
		l.mu.Lock()
		l.loadedAt = l.Clock.Now()
		l.mu.Unlock()
	}
	return plat.Rows{
		Read: func(ctx context.Context, key string) (plat.Row, plat.Stamp, error) {
			c, cancel := l.withTimeout(ctx)
			defer cancel()
			r, s, err := l.Rows.Read(c, key)
			answered(err)
			return r, s, err
		},
		List: func(ctx context.Context, table string) ([]plat.Row, plat.Stamp, error) {
			c, cancel := context.WithTimeout(ctx, listCalls*l.StoreTimeout.For(l.Clock.Now(), callTimeout))
			defer cancel()
			r, s, err := l.Rows.List(c, table)
			answered(err)
			return r, s, err
		},
	}
}

// listCalls is the number of calls for whose time a list of a table may take: one for
// each page, or several at a time for each partition.
const listCalls = 4

// runTerm runs the loops of a term until it ends.
func (l *Leader) runTerm(ctx context.Context, t *term) {
	l.mu.Lock()
	l.term, l.claimedTerm = t, 0
	l.mu.Unlock()
	// A configuration that came into force since the load was passed to no term.
	l.Configure(l.Config())
	t.loops.Go(func() { l.loopEvents(t) })
	t.loops.Go(func() { l.loopCommits(t) })
	t.loops.Go(func() { l.loopTicks(t) })
	t.loops.Go(func() { l.loopFeed(t) })
	t.loops.Go(func() { l.loopConfirm(t) })
	l.step(t, sched.Tick{})
	l.announceToUnresponsive(t)
	t.loops.Wait()
	t.end()
	l.mu.Lock()
	l.term = nil
	l.watch = l.watch.AfterTerm()
	l.mu.Unlock()
	if ctx.Err() == nil {
		l.readOwnership(ctx)
	}
}
