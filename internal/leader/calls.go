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

// current returns the term, or nil if this process does not own the cell.
func (l *Leader) current() *term {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil || l.term.ctx.Err() != nil || l.term.leaving {
		return nil
	}
	return l.term
}

// Submit tells the owner of a job whose row is stored.
func (l *Leader) Submit(j work.Job) error {
	t := l.current()
	if t == nil {
		return ErrNotOwner
	}
	l.step(t, sched.Submit{Job: j})
	return nil
}

// Admit reports whether a job that is not stored yet should be accepted.
func (l *Leader) Admit(j work.Job) (work.Admission, error) {
	t := l.current()
	if t == nil {
		return work.Admission{}, ErrNotOwner
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.core.Admit(l.Clock.Now(), j), nil
}

// Cancel tells the owner of a withdrawal that is stored.
func (l *Leader) Cancel(id string) error {
	t := l.current()
	if t == nil {
		return ErrNotOwner
	}
	l.step(t, sched.Cancel{ID: id})
	return nil
}

// Configure passes a configuration to the owner.
func (l *Leader) Configure(c *work.Config) {
	if t := l.current(); t != nil {
		l.step(t, sched.Configure{Config: c})
	}
}

// State returns the state of a job, or an empty one if the owner does not know
// the job.
func (l *Leader) State(id string) (string, error) {
	t := l.current()
	if t == nil {
		return "", ErrNotOwner
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.core.State(id), nil
}

// Pending counts the jobs of each queue of which no task was started.
func (l *Leader) Pending() (map[string]int, error) {
	t := l.current()
	if t == nil {
		return nil, ErrNotOwner
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.core.Pending(), nil
}

// reportWait bounds the wait for the commit that an answer to a report needs.
const reportWait = 700 * time.Millisecond

// Report passes an agent's report to the core and waits for the answer.
func (l *Leader) Report(r work.Report) (work.Reply, error) {
	t := l.current()
	if t == nil {
		return work.Reply{}, ErrNotOwner
	}
	ch := make(chan work.Reply, 1)
	l.mu.Lock()
	if t.tokens == nil {
		l.mu.Unlock()
		return work.Reply{}, ErrNotOwner
	}
	t.next++
	token := t.next
	t.tokens[token] = ch
	l.stepLocked(t, sched.Report{Token: token, Report: r})
	l.mu.Unlock()
	wait := time.NewTimer(reportWait)
	defer wait.Stop()
	select {
	case rep, ok := <-ch:
		if !ok {
			return work.Reply{}, ErrNotOwner
		}
		return rep, nil
	case <-wait.C:
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.tokens == nil {
		return work.Reply{}, ErrNotOwner
	}
	delete(t.tokens, token)
	// The report was taken in, only its ends are not stored yet.
	return work.Reply{Term: t.number, Renew: !r.Cut}, nil
}

// Leave gives the cell up in a planned stop. Successor is told by the caller.
func (l *Leader) Leave(ctx context.Context) bool {
	l.mu.Lock()
	l.stop = true
	t := l.term
	if t != nil {
		t.leaving = true
	}
	l.mu.Unlock()
	if t == nil {
		return false
	}
	l.drain(ctx, t)
	t.cancel()
	t.loops.Wait()
	return l.vacate(ctx, t)
}

// drainWait bounds the wait for the last commit of a term.
const drainWait = 300 * time.Millisecond

// drain waits until the transaction under way is answered.
func (l *Leader) drain(ctx context.Context, t *term) {
	end := l.Clock.Now() + drainWait
	for ctx.Err() == nil && l.Clock.Now() < end {
		l.mu.Lock()
		idle := t.waiting == 0
		l.mu.Unlock()
		if idle {
			return
		}
		clock.Sleep(ctx, time.Millisecond)
	}
}

// vacate writes that nobody owns the cell, and reports whether that is stored.
func (l *Leader) vacate(ctx context.Context, t *term) bool {
	w, err := encode(titleKey, title{Term: t.number})
	if err != nil {
		return false
	}
	c, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err = l.Rows.Commit(c, plat.Txn{
		Checks: []plat.Check{{Key: titleKey, Version: t.title.Version}},
		Writes: []plat.Write{w},
	})
	if err != nil && !errors.Is(err, plat.ErrConflict) {
		l.failed("vacate", err)
	}
	l.Log.Info(logs.Released, logs.Fields{"term": t.number})
	return err == nil
}

// Census counts what the owner believes, or nothing if this process is not it.
func (l *Leader) Census() sched.Census {
	t := l.current()
	if t == nil {
		return sched.Census{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return t.core.Census()
}
