package leader

import (
	"context"
	"errors"
	"fmt"
	"math"
	"time"

	"lagoonrack/internal/advice"
	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// step queues an event for the core.
func (l *Leader) step(t *term, e sched.Event) { t.add(l.Clock.Now(), e) }

// perform performs an effect. It never blocks: network calls run in goroutines.
func (l *Leader) perform(t *term, f sched.Effect) {
	switch f := f.(type) {
	case sched.Commit:
		t.commitSince.Store(max(1, int64(l.Clock.Now())))
		t.committing.Store(true)
		t.commits <- f
	case sched.Send:
		f.Order.Owner = l.Addr
		go l.sendOrder(t, f)
	case sched.Reply:
		t.reply(f.Token, f.Reply)
	case sched.DeleteRows:
		go l.deleteRows(t, f)
	case sched.AskAdvisor:
		go l.askAdvisor(t, f.Question)
	case sched.Decision:
		l.logDecision(f)
	}
}

// decisionEvents maps kinds of decisions to log events. Other kinds are logged as
// logs.Decided.
var decisionEvents = map[string]logs.Event{
	"suspect": logs.Quarantine,
	"cleared": logs.Restored,
	"cut":     logs.WorkerUnresponsive,
	"lost":    logs.WorkerUnresponsive,
	"back":    logs.Restored,
}

// durationMetrics maps kinds of decisions to the histograms of their durations.
var durationMetrics = map[string]string{
	"first":    "lagoon_start_seconds",
	"complete": "lagoon_job_seconds",
}

// logDecision counts and logs a decision of the core.
func (l *Leader) logDecision(n sched.Decision) {
	l.Tally.Inc("lagoon_decisions_total", "kind", n.Kind, "reason", reasonLabel(n))
	if name := durationMetrics[n.Kind]; name != "" && n.Took > 0 {
		l.Tally.Seconds(n.Took.Seconds(), name)
	}
	e, ok := decisionEvents[n.Kind]
	if !ok {
		e = logs.Decided
	}
	f := logs.Fields{"kind": n.Kind}
	add := func(key, v string) {
		if v != "" {
			f[key] = v
		}
	}
	add("task", n.Task)
	add("job", n.Job)
	add("worker", n.Worker)
	add("reason", n.Reason)
	if n.Run > 0 {
		f["run"] = n.Run
	}
	if n.Took > 0 {
		f["ms"] = n.Took.Milliseconds()
	}
	add("zone", n.Zone)
	if n.Needs > 0 {
		f["needs"] = n.Needs.Milliseconds()
	}
	if n.Speed > 0 {
		f["speed"], f["share"] = math.Round(100*n.Speed)/100, math.Round(100*n.Share)/100
	}
	l.Log.Info(e, f)
}

// reasonLabel returns the reason of a decision as a metric label. Decisions about
// jobs carry the queue's name there, which would make the number of label values
// unbounded, so they get an empty label.
func reasonLabel(n sched.Decision) string {
	if n.Job != "" {
		return ""
	}
	return n.Reason
}

// sendOrder sends an order to an agent and passes the results to the core.
func (l *Leader) sendOrder(t *term, f sched.Send) {
	res, err := l.Send(f.Agent, f.Order)
	if err != nil {
		l.Tally.Inc("lagoon_orders_lost_total")
		l.Log.Debug(logs.PeerLost, logs.Fields{"agent": f.Agent, "error": err.Error()})
		return
	}
	if res.Term > t.number {
		l.LearnOwner(res.Term, "")
	}
	if len(res.Starts)+len(res.Stops) > 0 {
		l.step(t, sched.Results{Results: res})
	}
}

// deleteRows deletes the rows of a job in the job table, and passes the outcome to the core.
func (l *Leader) deleteRows(t *term, f sched.DeleteRows) {
	ctx, cancel := l.withTimeout(t.ctx)
	defer cancel()
	var writes []plat.Write
	for _, k := range f.Keys {
		writes = append(writes, plat.Write{Key: k})
	}
	s, err := l.RowsWithRelay.Commit(ctx, plat.Txn{Checks: f.Checks, Writes: writes})
	var row plat.Row
	if errors.Is(err, plat.ErrConflict) {
		// An earlier try has taken effect, and the job may have been submitted again since.
		row, s, err = l.Rows.Read(ctx, sched.JobKey(f.Job))
	}
	if err != nil {
		l.storeFailed("forget", err)
		l.step(t, sched.DeletionFailed{Job: f.Job})
		return
	}
	if row.Version > 0 {
		s.Version = row.Version - 1
	}
	l.step(t, sched.RowsDeleted{Job: f.Job, Version: s.Version})
	if row.Version > 0 {
		if err := l.handleJobRow(t, row); err != nil {
			l.storeFailed("forget", err)
		}
	}
}

// askAdvisor asks the advisor about a step and passes the answer, or that there is none, to
// the core.
func (l *Leader) askAdvisor(t *term, q advice.Question) {
	began := l.Clock.Now()
	a, err := l.AskAdvisor(q)
	took := l.Clock.Now() - began
	if err != nil {
		l.Tally.Inc("lagoon_advice_errors_total")
		l.Log.Info(logs.AdviceFailed, logs.Fields{"step": q.Step, "workers": len(q.Workers), "ms": took.Milliseconds(), "limitMs": q.Limit.Milliseconds(), "error": err.Error()})
		l.step(t, sched.AdviceFailed{Question: q})
		return
	}
	l.Tally.Seconds(took.Seconds(), "lagoon_advice_seconds")
	l.Log.Debug(logs.Decided, logs.Fields{"kind": "advice", "step": q.Step, "workers": len(q.Workers), "allowed": len(a.Tickets), "ms": took.Milliseconds()})
	l.step(t, a)
}

// loopTicks passes ticks to the core, and announces the owner to agents that do not
// report.
func (l *Leader) loopTicks(t *term) {
	k := time.NewTicker(tickInterval)
	defer k.Stop()
	n := 0
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-k.C:
			l.step(t, sched.Tick{})
			if n++; n%announceTicks == 0 {
				l.announceToUnresponsive(t)
			}
		}
	}
}

const (
	// announceAfter is the time without a report after which the owner announces
	// itself to an agent, and announceTicks is the number of ticks between two
	// checks for such agents.
	announceAfter = 1200 * time.Millisecond
	announceTicks = 10
)

// announceToUnresponsive announces the owner to the agents that have not reported
// for announceAfter.
func (l *Leader) announceToUnresponsive(t *term) {
	t.mu.Lock()
	unresponsive := t.core.UnresponsiveAgents(announceAfter)
	t.mu.Unlock()
	for _, a := range unresponsive {
		go l.AnnounceOwner(a, work.Order{Term: t.number, Owner: l.Addr})
	}
}

// errOwnershipLost says that another process has taken the cell over.
var errOwnershipLost = errors.New("another process owns the cell")

// loopCommits stores the core's commits one after the other.
func (l *Leader) loopCommits(t *term) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case c := <-t.commits:
			err := l.storeCommit(t, c)
			if errors.Is(err, errOwnershipLost) {
				l.Log.Info(logs.CellLost, logs.Fields{"term": t.number})
				t.cancel()
				return
			}
			if err != nil {
				return
			}
			t.commitSince.Store(0)
			l.step(t, sched.Committed{Seq: c.Seq})
		}
	}
}

// storeCommit retries a transaction until it is known to have taken effect, the
// cell is lost or the term ends.
func (l *Leader) storeCommit(t *term, c sched.Commit) error {
	m, err := encodeRow(commitMarkKey, commitMark{Term: t.number, Seq: c.Seq})
	if err != nil {
		return err
	}
	writes := append([]plat.Write{m}, c.Writes...)
	began := l.Clock.Now()
	for t.ctx.Err() == nil {
		done, err := l.tryCommit(t, c.Seq, writes)
		if errors.Is(err, errOwnershipLost) {
			return err
		}
		if done {
			l.Tally.Seconds((l.Clock.Now() - began).Seconds(), "lagoon_commit_seconds")
			return nil
		}
		if err != nil {
			l.storeFailed("commit", err)
			clock.Sleep(t.ctx, retryDelay)
		}
	}
	return t.ctx.Err()
}

// tryCommit tries a transaction once and reports whether it took effect, now or by
// an earlier try. If the outcome of a try is unknown, the next try finds it out: if
// the transaction has taken effect, the next try conflicts and finds the sequence
// number of the transaction in the commit mark.
func (l *Leader) tryCommit(t *term, seq uint64, writes []plat.Write) (bool, error) {
	ctx, cancel := l.withTimeout(t.ctx)
	defer cancel()
	s, err := l.RowsWithRelay.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: ownershipKey, Version: t.ownershipRow.Version}, {Key: commitMarkKey, Version: t.commitMarkRow.Version}},
		Writes: writes,
	})
	if err == nil {
		t.commitMarkRow.Version = s.Version
		return true, nil
	}
	if !errors.Is(err, plat.ErrConflict) {
		return false, err
	}
	return l.resolveConflict(ctx, t, seq)
}

// resolveConflict finds out after a conflict whether the cell is lost or an earlier
// try took effect. If neither is the case, the transaction has to be retried with
// the version of the commit mark that was read here.
func (l *Leader) resolveConflict(ctx context.Context, t *term, seq uint64) (bool, error) {
	owner, row, _, err := readRow[ownership](ctx, l.RowsWithRelay, ownershipKey)
	if err != nil {
		return false, err
	}
	if row.Version != t.ownershipRow.Version {
		l.observe(owner)
		return false, errOwnershipLost
	}
	m, row, _, err := readRow[commitMark](ctx, l.RowsWithRelay, commitMarkKey)
	if err != nil {
		return false, err
	}
	t.commitMarkRow.Version = row.Version
	return m == commitMark{Term: t.number, Seq: seq}, nil
}

// confirmInterval is how often the owner has its ownership confirmed by the store, unless
// a commit does so.
const confirmInterval = time.Second

// loopConfirm reads the ownership row while no commits confirm the ownership. An owner that
// the store does not confirm stops to allow renewals of leases.
func (l *Leader) loopConfirm(t *term) {
	for {
		if l.Clock.Now()-time.Duration(t.confirmedAt.Load()) > confirmInterval {
			l.verifyTerm(t)
		}
		clock.Sleep(t.ctx, confirmInterval)
		if t.ctx.Err() != nil {
			return
		}
	}
}

// loopFeed reads new rows of accepted, cancelled and rejected jobs, so that none is
// lost if an entry ends before it has notified the owner.
func (l *Leader) loopFeed(t *term) {
	for {
		clock.Sleep(t.ctx, feedInterval)
		if t.ctx.Err() != nil {
			return
		}
		l.readFeed(t)
	}
}

// readFeed passes the job rows that changed since the last read to the core. If the
// store no longer has the history, it passes all job rows.
func (l *Leader) readFeed(t *term) {
	ctx, cancel := l.withTimeout(t.ctx)
	defer cancel()
	rows, s, err := l.Rows.Feed(ctx, sched.JobTable, t.feedVersion, 0)
	if errors.Is(err, plat.ErrHistoryGone) {
		rows, s, err = l.Rows.List(ctx, sched.JobTable)
	}
	if err != nil {
		l.storeFailed("follow jobs", err)
		return
	}
	for _, r := range rows {
		if err := l.handleJobRow(t, r); err != nil {
			l.storeFailed("follow jobs", err)
			return
		}
	}
	t.feedVersion = s.Version
}

// errPartUnread means that a part of a job could not be read.
var errPartUnread = errors.New("a part of the job can't be read")

// handleJobRow passes a row of the job table to the core: a job, its rejection or
// its cancellation. It waits until the core has room for it, since the row is not read again,
// and returns an error if it has to be.
func (l *Leader) handleJobRow(t *term, r plat.Row) error {
	if r.Value == nil {
		return nil
	}
	if id, ok := sched.CancelledJob(r.Key); ok {
		t.addWhenRoom(l.Clock.Now, sched.Cancel{ID: id})
		return nil
	}
	j, err := sched.DecodeJob(r, func(key string) ([]byte, error) {
		ctx, cancel := l.withTimeout(t.ctx)
		defer cancel()
		part, _, err := l.Rows.Read(ctx, key)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errPartUnread, err)
		}
		return part.Value, nil
	})
	switch {
	case errors.Is(err, errPartUnread):
		return err
	case err != nil:
		l.skipRow(r.Key, err)
	case j.Refused:
		t.addWhenRoom(l.Clock.Now, sched.NewRejectedJob(j, r.Version))
	default:
		t.addWhenRoom(l.Clock.Now, sched.Submit{Job: j, Version: r.Version})
	}
	return nil
}
