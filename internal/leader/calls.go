package leader

import (
	"context"
	"errors"
	"strconv"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/sched"
	"lagoonrack/internal/work"
)

// currentTerm returns the term in progress, or nil if this process does not own
// the cell or is resigning.
func (l *Leader) currentTerm() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil || l.term.ctx.Err() != nil || l.term.resigning.Load() {
		return nil
	}
	return l.term
}

// Submit passes a job whose row is already stored to the scheduler's core.
func (l *Leader) Submit(j work.Job) error {
	t := l.currentTerm()
	if t == nil {
		return ErrNotOwner
	}
	l.step(t, sched.Submit{Job: j})
	return nil
}

// Admit decides whether a job whose row is not stored yet should be accepted.
func (l *Leader) Admit(j work.Job) (work.Admission, error) {
	t := l.currentTerm()
	if t == nil {
		return work.Admission{}, ErrNotOwner
	}
	t.mu.Lock()
	a := t.core.Admit(l.Clock.Now(), j)
	t.mu.Unlock()
	l.countOverload(a)
	return a, nil
}

// countOverload counts a decision of overload control.
func (l *Leader) countOverload(a work.Admission) {
	if !a.Overload.Decided {
		return
	}
	decision := "accept"
	if a.Refused {
		decision = "reject"
	}
	priority := strconv.Itoa(a.Overload.Priority)
	l.Tally.Inc("lagoon_overload_decisions_total", "decision", decision, "priority", priority)
	end := time.Duration(a.Overload.Wait+a.Overload.Chain) * time.Millisecond
	l.Tally.Seconds(end.Seconds(), "lagoon_overload_end_seconds", "priority", priority)
}

// Cancel passes the cancellation of a job to the core. The row that records the
// cancellation is already stored.
func (l *Leader) Cancel(id string) error {
	t := l.currentTerm()
	if t == nil {
		return ErrNotOwner
	}
	l.step(t, sched.Cancel{ID: id})
	return nil
}

// Configure passes a configuration to the core, if this process owns the cell.
func (l *Leader) Configure(c *work.Config) {
	if t := l.currentTerm(); t != nil {
		l.step(t, sched.Configure{Config: c})
	}
}

// ZonesChanged tells the core which zones are evacuated, if this process owns the cell. Until
// the core handles the next event, it goes by what it knew.
func (l *Leader) ZonesChanged() {
	if t := l.currentTerm(); t != nil {
		l.step(t, sched.Evacuated{Zones: l.Zones()})
	}
}

// Find returns what the owner knows of a job.
func (l *Leader) Find(id string) (work.Found, error) {
	t := l.currentTerm()
	if t == nil {
		return work.Found{}, ErrNotOwner
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Find(id), nil
}

// Pending returns for each queue the number of jobs of which no task was started, as of
// the last tick, with those that wait for the core.
func (l *Leader) Pending() (map[string]int, error) {
	t := l.currentTerm()
	if t == nil {
		return nil, ErrNotOwner
	}
	out := t.submitted()
	counted := t.pending.Load()
	if counted == nil {
		t.mu.Lock()
		n := t.core.Pending()
		t.mu.Unlock()
		counted = &n
	}
	for q, n := range *counted {
		out[q] += n
	}
	return out, nil
}

// reportTimeout bounds how long a report waits for its reply. The reply is sent
// only when the task ends in the report are stored.
const reportTimeout = 700 * time.Millisecond

// Report passes an agent's report to the core and waits for the reply.
func (l *Leader) Report(r work.Report) (work.Reply, error) {
	t := l.currentTerm()
	if t == nil {
		return work.Reply{}, ErrNotOwner
	}
	token, ch, ok := t.awaitReply()
	if !ok {
		return work.Reply{}, ErrNotOwner
	}
	l.step(t, sched.Report{Token: token, Report: r})
	wait := time.NewTimer(reportTimeout)
	defer wait.Stop()
	select {
	case rep, ok := <-ch:
		if !ok {
			return work.Reply{}, ErrNotOwner
		}
		return rep, nil
	case <-wait.C:
	}
	handled, ok := t.giveUp(token)
	switch {
	case !ok:
		return work.Reply{}, ErrNotOwner
	case !handled:
		// The core has not seen the report, so the reply must not prolong the agent's
		// trust in the owner.
		return work.Reply{Busy: true}, nil
	}
	// The core has processed the report, but the task ends in it are not stored
	// yet: the reply acknowledges none, so the agent reports them again.
	renew := !r.Cut && l.Limits.WithDefaults().MayRenew(l.Clock.Now(), time.Duration(t.confirmedAt.Load()))
	return work.Reply{Term: t.number, Renew: renew}, nil
}

// Resign ends this process's ownership in a planned stop, and reports whether the
// store now names no owner. Afterwards this process claims the cell no more. The
// caller notifies the successor.
func (l *Leader) Resign(ctx context.Context) bool {
	l.mu.Lock()
	l.resigned = true
	t := l.term
	if t != nil {
		t.resigning.Store(true)
	}
	l.mu.Unlock()
	if t == nil {
		return false
	}
	l.awaitLastCommit(ctx, t)
	t.cancel()
	t.loops.Wait()
	return l.releaseOwnership(ctx, t)
}

// lastCommitTimeout bounds how long a planned stop waits for the last commit of
// its term.
const lastCommitTimeout = 300 * time.Millisecond

// awaitLastCommit waits until no commit is in progress, at most lastCommitTimeout.
func (l *Leader) awaitLastCommit(ctx context.Context, t *term) {
	end := l.Clock.Now() + lastCommitTimeout
	for ctx.Err() == nil && l.Clock.Now() < end {
		if !t.committing.Load() {
			return
		}
		clock.Sleep(ctx, time.Millisecond)
	}
}

// releaseOwnership writes that nobody owns the cell, and reports whether that is
// stored.
func (l *Leader) releaseOwnership(ctx context.Context, t *term) bool {
	w, err := encodeRow(ownershipKey, ownership{Term: t.number})
	if err != nil {
		return false
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = l.Rows.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: ownershipKey, Version: t.ownershipRow.Version}},
		Writes: []plat.Write{w},
	})
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		l.storeFailed("vacate", err)
	}
	l.Log.Info(logs.Released, logs.Fields{"term": t.number})
	return err == nil
}

// Census returns the owner's counts of workers, tasks and jobs, all zero if this
// process does not own the cell.
func (l *Leader) Census() sched.Census {
	t := l.currentTerm()
	if t == nil {
		return sched.Census{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.core.Census()
}
