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

// serve claims the cell and runs it until it is lost or given up.
func (l *Leader) serve(ctx context.Context, why string) {
	started := l.Clock.Now()
	t, err := l.claim(ctx)
	if err != nil {
		l.failed("claim", err)
		l.mu.Lock()
		l.watch.Unread()
		l.mu.Unlock()
		clock.Sleep(ctx, retryPause)
		return
	}
	if t == nil {
		return
	}
	l.Log.Info(logs.Owned, logs.Fields{"term": t.number, "reason": why, "ms": (l.Clock.Now() - started).Milliseconds()})
	l.Tally.Inc("lagoon_takeovers_total", "reason", why)
	l.Tally.Seconds((l.Clock.Now() - started).Seconds(), "lagoon_takeover_seconds")
	l.run(ctx, t)
}

// claim makes this process the owner, or returns nil if another was faster.
func (l *Leader) claim(ctx context.Context) (*term, error) {
	c, cancel := context.WithTimeout(ctx, 2*l.Limit.For(l.Clock.Now(), callTimeout))
	defer cancel()
	old, row, _, err := readRow[title](c, l.Rows, titleKey)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	changed := old.Term != l.known.Term
	l.mu.Unlock()
	if changed {
		l.saw(old)
		return nil, nil
	}
	mine := title{Term: old.Term + 1, Name: l.Name, Addr: l.Addr, Nonce: ulid.Make().String()}
	w, err := encode(titleKey, mine)
	if err != nil {
		return nil, err
	}
	txn := plat.Txn{Checks: []plat.Check{{Key: titleKey, Version: row.Version}}, Writes: []plat.Write{w}}
	if _, err := l.Rows.Commit(c, txn); errors.Is(err, plat.ErrRefused) {
		return nil, err
	}
	// A lost answer, a conflict and a success are told apart by what is there.
	return l.begin(ctx, mine)
}

// begin reads back whether a claim took effect, and loads the state.
func (l *Leader) begin(ctx context.Context, mine title) (*term, error) {
	c, cancel := context.WithTimeout(ctx, 4*l.Limit.For(l.Clock.Now(), callTimeout))
	defer cancel()
	got, row, _, err := readRow[title](c, l.Rows, titleKey)
	if err != nil {
		return nil, err
	}
	l.saw(got)
	if got != mine {
		return nil, nil
	}
	l.mu.Lock()
	l.claiming, l.since = mine.Term, l.Clock.Now()
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		l.claiming = 0
		l.mu.Unlock()
	}()
	_, markRow, _, err := readRow[mark](c, l.Rows, markKey)
	if err != nil {
		return nil, err
	}
	found, stamp, err := load(c, l.Rows)
	if err != nil {
		return nil, err
	}
	now := l.Clock.Now()
	t := &term{
		core:    sched.New(l.Limits, mine.Term, now, stamp.Now-now, found, l.Config()),
		number:  mine.Term,
		title:   row,
		mark:    markRow,
		commits: make(chan sched.Commit, 1),
		tokens:  map[uint64]chan work.Reply{},
		from:    stamp.Version,
	}
	t.ctx, t.cancel = context.WithCancel(ctx)
	return t, nil
}

// run serves a term until it ends.
func (l *Leader) run(ctx context.Context, t *term) {
	l.mu.Lock()
	l.term = t
	l.mu.Unlock()
	t.loops.Go(func() { l.loopCommits(t) })
	t.loops.Go(func() { l.loopTicks(t) })
	t.loops.Go(func() { l.loopFeed(t) })
	l.step(t, sched.Tick{})
	l.meetAll(t)
	t.loops.Wait()
	l.mu.Lock()
	l.term = nil
	for _, ch := range t.tokens {
		close(ch)
	}
	t.tokens = nil
	l.watch = elect.Watch{}
	l.mu.Unlock()
	if ctx.Err() == nil {
		l.look(ctx)
	}
}
