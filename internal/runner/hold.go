package runner

import (
	"context"
	"errors"
	"slices"
	"time"

	"lagoonrack/internal/clock"
	"lagoonrack/internal/fault"
	"lagoonrack/internal/logs"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

const (
	// holdWait is how long a call waits for an end. Figures of the last half
	// second come with each answer.
	holdWait = 500 * time.Millisecond
	// guardWait is the wait where a lasting task has to be guarded.
	guardWait = 300 * time.Millisecond
	// holdSlack is what an answer may take beyond that.
	holdSlack = 600 * time.Millisecond
	// holdPause is the wait after a call that failed.
	holdPause = 100 * time.Millisecond
	// idleWait is the wait while nothing runs.
	idleWait = time.Second
)

// loopHold keeps one waiting call on the worker.
func (r *Runner) loopHold(ctx context.Context) {
	for ctx.Err() == nil {
		h, ok := r.nextHold()
		if !ok {
			select {
			case <-ctx.Done():
			case <-r.woken:
			}
			continue
		}
		c, cancel := context.WithTimeout(ctx, h.Wait+holdSlack)
		sent := r.Clock.Now()
		held, err := r.Runtime.Hold(c, h)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			r.holdFailed(h, err)
			clock.Sleep(ctx, holdPause)
			continue
		}
		if r.took(ctx, h, held, sent) {
			r.await(ctx)
		}
	}
}

// noteWait bounds the wait for the owner to store ends. A worker answers at
// once while it lists ends that may not be forgotten yet.
const noteWait = 150 * time.Millisecond

// await waits until the owner has stored the ends that are listed.
func (r *Runner) await(ctx context.Context) {
	t := time.NewTimer(noteWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.noted:
	case <-t.C:
	}
}

func (r *Runner) nextHold() (plat.LeaseRequest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.worker.ID == "" || r.gone {
		return plat.LeaseRequest{}, false
	}
	now := r.Clock.Now()
	h := plat.LeaseRequest{Life: r.worker.Life, Until: r.lease.until(now), Term: r.term, Seen: r.seen, Wait: holdWait}
	switch {
	case !r.lease.synced || r.lease.silent:
		h.Wait = 0
	case len(r.running) == 0 && len(r.orders) == 0:
		h.Wait = idleWait
	case r.guard.Active():
		h.Wait = guardWait
	}
	return h, true
}

// holdFailed notes that the worker gave no answer.
func (r *Runner) holdFailed(h plat.LeaseRequest, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Life != r.worker.Life {
		return
	}
	r.Tally.Inc("lagoon_worker_errors_total", "step", "hold")
	if errors.Is(err, plat.ErrNotFound) {
		// Another life is at the address; its announcement will follow.
		r.gone = true
		signal(r.news)
		return
	}
	if errors.Is(err, plat.ErrFenced) {
		// Another owner has been here before; this one is not the owner, or was
		// not found yet.
		r.Tally.Inc("lagoon_fenced_total")
		if h.Term > 0 && h.Term == r.term {
			r.Log.Info(logs.Fenced, logs.Fields{"term": h.Term, "owner": r.owner})
			r.owner = ""
		}
		signal(r.news)
		return
	}
	was := r.lease.silent
	r.lease.failed(r.Clock.Now(), false)
	if r.lease.silent && !was {
		r.Log.Error(logs.WorkerGone, fault.At("hold", "worker").Wrap(err), logs.Fields{"worker": h.Life.ID})
		signal(r.news)
	}
}

// took takes the worker's answer in, and reports whether it lists ends that
// the owner has yet to store.
func (r *Runner) took(ctx context.Context, h plat.LeaseRequest, held plat.LeaseReply, sent time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if h.Life != r.worker.Life || held.Born != 0 && held.Born != r.worker.Born {
		return false
	}
	now := r.Clock.Now()
	if r.lease.silent {
		r.Log.Info(logs.Restored, logs.Fields{"worker": h.Life.ID})
		signal(r.news)
	}
	r.lease.answered()
	r.lease.sync(now, held.Clock)
	if !r.listed || !sameRuns(r.running, held.Running) {
		r.changed = true
		signal(r.news)
	}
	r.running, r.listed, r.listedAt = held.Running, true, sent
	r.ends = newer(held.Ends, r.seen)
	if len(r.ends) > 0 && r.ends[len(r.ends)-1].N > r.reported {
		signal(r.news)
	}
	r.tidy()
	for _, p := range r.guard.Step(now, r.running, r.about) {
		go r.pace(ctx, h.Life, p)
	}
	return len(r.ends) > 0
}

// newer drops ends that the owner has stored, and sorts the rest.
func newer(ends []work.End, seen int64) []work.End {
	out := slices.DeleteFunc(slices.Clone(ends), func(e work.End) bool { return e.N <= seen })
	slices.SortFunc(out, func(a, b work.End) int { return int(a.N - b.N) })
	return out
}

func sameRuns(a, b []work.Running) bool {
	return slices.EqualFunc(a, b, func(x, y work.Running) bool { return x.Run == y.Run })
}

// tidy forgets orders and descriptions of runs that are over.
func (r *Runner) tidy() {
	live := map[work.Run]bool{}
	for _, x := range r.running {
		live[x.Run] = true
	}
	for k, o := range r.orders {
		if closed(o.done) && !live[k] {
			delete(r.orders, k)
		}
	}
	for k := range r.about {
		if !live[k] && r.orders[k] == nil {
			delete(r.about, k)
		}
	}
	now := r.Clock.Now()
	for k, at := range r.stopped {
		// An order that is older than the trust is refused by its age.
		if r.orders[k] == nil && now-at > r.Limits.OwnerTimeout {
			delete(r.stopped, k)
		}
	}
}

func closed(ch chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// orderTimeout bounds one call that orders something of the worker.
const orderTimeout = 400 * time.Millisecond

// pace lets a run work at a share of its speed.
func (r *Runner) pace(ctx context.Context, l work.Life, p work.Throttle) {
	r.mu.Lock()
	term := r.term
	r.mu.Unlock()
	c, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.Runtime.Pace(c, plat.ThrottleRun{Life: l, Run: p.Run, Percent: p.Percent, Term: term})
	r.Tally.Inc("lagoon_paces_total")
	r.Log.Info(logs.Paced, logs.Fields{"task": p.Task, "run": p.Num, "percent": p.Percent, "reason": p.Reason})
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.guard.OrderLost(p.Run)
	}
}
