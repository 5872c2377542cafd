package leader

import (
	"context"
	"errors"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// step passes an event to the core and carries its effects out.
func (l *Leader) step(t *term, e sched.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stepLocked(t, e)
}

func (l *Leader) stepLocked(t *term, e sched.Event) {
	if _, stored := e.(sched.Committed); t.ctx.Err() != nil || t.leaving && !stored {
		return
	}
	for _, f := range t.core.Step(l.Clock.Now(), e) {
		l.do(t, f)
	}
}

// do carries an effect out without waiting for anything.
func (l *Leader) do(t *term, f sched.Effect) {
	switch f := f.(type) {
	case sched.Commit:
		t.waiting = l.Clock.Now()
		t.commits <- f
	case sched.Send:
		f.Order.Owner = l.Addr
		go l.order(t, f)
	case sched.Reply:
		if ch := t.tokens[f.Token]; ch != nil {
			delete(t.tokens, f.Token)
			ch <- f.Reply
		}
	case sched.Forget:
		go l.forget(t, f)
	case sched.Ask:
		go l.ask(t, f)
	case sched.Note:
		l.note(f)
	}
}

// events gives the kinds of decisions their numbers in the log.
var events = map[string]logs.Event{
	"suspect": logs.Quarantine,
	"cut":     logs.WorkerGone,
	"lost":    logs.WorkerGone,
	"back":    logs.Restored,
}

// spans gives the decisions whose time is measured their histograms.
var spans = map[string]string{
	"first":    "lagoon_start_seconds",
	"complete": "lagoon_job_seconds",
}

func (l *Leader) note(n sched.Note) {
	l.Tally.Inc("lagoon_decisions_total", "kind", n.Kind, "reason", reason(n))
	if name := spans[n.Kind]; name != "" && n.Took > 0 {
		l.Tally.Seconds(n.Took.Seconds(), name)
	}
	e, ok := events[n.Kind]
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
	l.Log.Info(e, f)
}

// reason bounds the label of the metric: a job's queue is no reason.
func reason(n sched.Note) string {
	if n.Job != "" {
		return ""
	}
	return n.Reason
}

// order passes an order to an agent and its fates to the core.
func (l *Leader) order(t *term, f sched.Send) {
	res, err := l.Send(f.Agent, f.Order)
	if err != nil {
		l.Tally.Inc("lagoon_orders_lost_total")
		l.Log.Debug(logs.PeerLost, logs.Fields{"agent": f.Agent, "error": err.Error()})
		return
	}
	if res.Term > t.number {
		l.Learn(res.Term, "")
	}
	if len(res.Starts)+len(res.Stops) > 0 {
		l.step(t, sched.Results{Results: res})
	}
}

// forget removes rows that nobody needs. What fails is left over: it costs a
// little room, and the next owner removes it.
func (l *Leader) forget(t *term, f sched.Forget) {
	ctx, cancel := l.within(t.ctx)
	defer cancel()
	var writes []plat.Write
	for _, k := range f.Keys {
		writes = append(writes, plat.Write{Key: k})
	}
	if _, err := l.Rows.Commit(ctx, plat.Txn{Checks: f.Checks, Writes: writes}); err != nil && !errors.Is(err, plat.ErrConflict) {
		l.failed("forget", err)
	}
}

func (l *Leader) ask(t *term, f sched.Ask) {
	a, err := l.Ask(f.Step, f.Workers)
	if err != nil {
		l.Tally.Inc("lagoon_advice_errors_total")
		return
	}
	l.step(t, a)
}

// loopTicks tells the core of the time, and calls agents that were not heard.
func (l *Leader) loopTicks(t *term) {
	k := time.NewTicker(tickEvery)
	defer k.Stop()
	n := 0
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-k.C:
			l.step(t, sched.Tick{})
			if n++; n%meetTicks == 0 {
				l.meetAll(t)
			}
		}
	}
}

const (
	// quietAfter is the silence after which an agent is told of the owner, and
	// meetTicks the number of ticks between two looks for such agents.
	quietAfter = 1200 * time.Millisecond
	meetTicks  = 10
)

// meetAll tells agents that were not heard who owns the cell.
func (l *Leader) meetAll(t *term) {
	l.mu.Lock()
	quiet := t.core.Quiet(quietAfter)
	l.mu.Unlock()
	for _, a := range quiet {
		go l.Meet(a, work.Order{Term: t.number, Owner: l.Addr})
	}
}

// errDeposed says that another process took the cell.
var errDeposed = errors.New("another process owns the cell")

// loopCommits stores one transaction after the other.
func (l *Leader) loopCommits(t *term) {
	for {
		select {
		case <-t.ctx.Done():
			return
		case c := <-t.commits:
			err := l.store(t, c)
			if errors.Is(err, errDeposed) {
				l.Log.Info(logs.Deposed, logs.Fields{"term": t.number})
				t.cancel()
				return
			}
			if err != nil {
				return
			}
			l.mu.Lock()
			t.waiting = 0
			l.stepLocked(t, sched.Committed{Seq: c.Seq})
			l.mu.Unlock()
		}
	}
}

// store repeats a transaction until it certainly took effect.
func (l *Leader) store(t *term, c sched.Commit) error {
	m, err := encode(markKey, mark{Term: t.number, Seq: c.Seq})
	if err != nil {
		return err
	}
	writes := append([]plat.Write{m}, c.Writes...)
	began := l.Clock.Now()
	for t.ctx.Err() == nil {
		done, err := l.attempt(t, c.Seq, writes)
		if errors.Is(err, errDeposed) {
			return err
		}
		if done {
			l.Tally.Seconds((l.Clock.Now() - began).Seconds(), "lagoon_commit_seconds")
			return nil
		}
		if err != nil {
			l.failed("commit", err)
			clock.Sleep(t.ctx, retryPause)
		}
	}
	return t.ctx.Err()
}

// attempt tries a transaction once. After an error that leaves its fate open,
// the next attempt or the mark shows it.
func (l *Leader) attempt(t *term, seq uint64, writes []plat.Write) (bool, error) {
	ctx, cancel := l.within(t.ctx)
	defer cancel()
	s, err := l.Via.Commit(ctx, plat.Txn{
		Checks: []plat.Check{{Key: titleKey, Version: t.title.Version}, {Key: markKey, Version: t.mark.Version}},
		Writes: writes,
	})
	if err == nil {
		t.mark.Version = s.Version
		return true, nil
	}
	if !errors.Is(err, plat.ErrConflict) {
		return false, err
	}
	return l.compare(ctx, t, seq)
}

// compare finds out after a conflict whether the cell is lost or an earlier
// attempt took effect.
func (l *Leader) compare(ctx context.Context, t *term, seq uint64) (bool, error) {
	now, row, _, err := readRow[title](ctx, l.Via, titleKey)
	if err != nil {
		return false, err
	}
	if row.Version != t.title.Version {
		l.saw(now)
		return false, errDeposed
	}
	m, row, _, err := readRow[mark](ctx, l.Via, markKey)
	if err != nil {
		return false, err
	}
	t.mark.Version = row.Version
	return m == mark{Term: t.number, Seq: seq}, nil
}

// loopFeed follows the rows of accepted and withdrawn jobs, so that nothing is
// lost if an entry ends before it told the owner.
func (l *Leader) loopFeed(t *term) {
	for {
		clock.Sleep(t.ctx, feedEvery)
		if t.ctx.Err() != nil {
			return
		}
		l.follow(t)
	}
}

func (l *Leader) follow(t *term) {
	ctx, cancel := l.within(t.ctx)
	defer cancel()
	rows, s, err := l.Rows.Feed(ctx, sched.JobTable, t.from, 0)
	if errors.Is(err, plat.ErrHistoryGone) {
		rows, s, err = l.Rows.List(ctx, sched.JobTable)
	}
	if err != nil {
		l.failed("follow jobs", err)
		return
	}
	for _, r := range rows {
		l.intake(t, r)
	}
	t.from = s.Version
}

func (l *Leader) intake(t *term, r plat.Row) {
	if r.Value == nil {
		return
	}
	if id, ok := sched.CancelOf(r.Key); ok {
		l.step(t, sched.Cancel{ID: id})
		return
	}
	var j work.Job
	if err := work.Decode(r.Value, &j); err != nil {
		l.failed("decode job", err)
		return
	}
	if j.Refused {
		l.step(t, sched.Refuse{ID: j.ID, Version: r.Version, At: j.At})
		return
	}
	l.step(t, sched.Submit{Job: j})
}
