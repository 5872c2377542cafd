package leader

import (
	"context"
	"errors"

	"github.com/oklog/ulid/v2"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/elect"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
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
		clock.Sleep(ctx, retryDelay)
		return
	}
	if t == nil {
		return
	}
	l.Log.Info(logs.Owned, logs.Fields{"term": t.number, "reason": reason, "ms": (l.Clock.Now() - started).Milliseconds()})
	l.Tally.Inc("lagoon_takeovers_total", "reason", reason)
	l.Tally.Seconds((l.Clock.Now() - started).Seconds(), "lagoon_takeover_seconds")
	l.runTerm(ctx, t)
}

// claim makes this process the owner. The term is nil if another process has
// claimed the cell first.
func (l *Leader) claim(ctx context.Context) (*term, error) {
	c, cancel := context.WithTimeout(ctx, 2*l.StoreTimeout.For(l.Clock.Now(), callTimeout))
	defer cancel()
	previous, row, _, err := readRow[ownership](c, l.Rows, ownershipKey)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	changed := previous.Term != l.known.Term
	l.mu.Unlock()
	if changed {
		l.observe(previous)
		return nil, nil
	}
	claimed := ownership{Term: previous.Term + 1, Name: l.Name, Addr: l.Addr, Nonce: ulid.Make().String()}
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
	got, row, _, err := readRow[ownership](c, l.Rows, ownershipKey)
	if err != nil {
		return nil, err
	}
	l.observe(got)
	if got != claimed {
		return nil, nil
	}
	l.mu.Lock()
	l.claimedTerm, l.claimedAt = claimed.Term, l.Clock.Now()
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.claimedTerm = 0
		l.mu.Unlock()
	}()
	_, markRow, _, err := readRow[commitMark](c, l.Rows, commitMarkKey)
	if err != nil {
		return nil, err
	}
	found, stamp, err := loadState(c, l.Rows)
	if err != nil {
		return nil, err
	}
	now := l.Clock.Now()
	t := &term{
		core:          sched.New(l.Limits, claimed.Term, now, stamp.Now-now, found, l.Config()),
		number:        claimed.Term,
		ownershipRow:  row,
		commitMarkRow: markRow,
		commits:       make(chan sched.Commit, 1),
		replies:       map[uint64]chan work.Reply{},
		feedVersion:   stamp.Version,
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t, nil
}

// runTerm runs the loops of a term until it ends.
func (l *Leader) runTerm(ctx context.Context, t *term) {
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	t.loops.Go(func() { l.loopCommits(t) })
	t.loops.Go(func() { l.loopTicks(t) })
	t.loops.Go(func() { l.loopFeed(t) })
	l.step(t, sched.Tick{})
	l.announceToUnresponsive(t)
	t.loops.Wait()
	l.mu.Lock()
	l.term = nil
	for _, ch := range t.replies {
		close(ch)
	}
	t.replies = nil
	l.watch = elect.Watch{}
	l.mu.Unlock()
	if ctx.Err() == nil {
		l.readOwnership(ctx)
	}
}
