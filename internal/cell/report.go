package cell

import (
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// heartbeat handles a worker's report. The answer is sent at once to a worker that
// has not confirmed this owner's term; otherwise it waits for a change of the
// worker's orders, or for Limits.HeartbeatWait.
func (c *Core) heartbeat(e Beat) {
	w := c.workerFor(e.Worker, e.Incarnation)
	if w.unanswered != nil {
		c.answer(w)
	}
	if !w.reported {
		c.needsScheduling = true
		c.noteFreed(w)
	}
	w.reported = true
	w.lastContact = c.now
	w.zone, w.rack = e.Zone, e.Rack
	if w.size != e.Size {
		c.resize(w, e.Size)
	}
	w.leaving = e.Leaving
	if !w.confirmed && e.Term == c.term {
		w.confirmed = true
		c.needsScheduling = true
	}
	c.reconcile(w, e.Tasks)
	w.drained = c.ledger.Drained[w.name]
	if w.leaving || w.drained {
		c.evictAll(w, "drain")
	}
	w.unanswered = &e
	if !w.confirmed {
		c.answer(w)
	} else if w.changed {
		c.markChanged(w)
	}
}

// resize sets the worker's size. If its tasks no longer fit, some are evicted until
// the rest does.
func (c *Core) resize(w *worker, size vect.Size) {
	w.size = size
	c.needsScheduling = true
	rest := w.committed
	for _, p := range w.sorted() {
		if rest.Fits(size) {
			return
		}
		if !p.ended && p.stopReason == "" {
			c.evict(p, "resize")
			rest = rest.Sub(p.size)
		}
	}
}

// reconcile compares the attempts that a worker reports with its placements.
func (c *Core) reconcile(w *worker, states []plat.State) {
	for _, s := range states {
		if p := w.placements[s.Ref]; p != nil {
			c.applyState(p, s)
		} else {
			c.handleUnknown(w, s)
		}
	}
}

// handleUnknown handles a reported attempt without a placement: its end is already
// committed, or an earlier owner has requeued or ended it. The worker forgets it
// if it has ended, and otherwise stops it.
func (c *Core) handleUnknown(w *worker, s plat.State) {
	w.changed = true
	if s.Done {
		w.acks = append(w.acks, s.Ref)
		return
	}
	w.orphans = append(w.orphans, plat.Stop{Ref: s.Ref})
}

// applyState updates a placement by what its worker reports.
func (c *Core) applyState(p *placement, s plat.State) {
	if p.ended {
		return
	}
	if !p.reported {
		p.reported = true
		p.sent = true
		p.reportedAt = c.now
	}
	if s.Saved != "" {
		p.checkpoint = s.Saved
	}
	p.used = s.Used
	switch {
	case !s.Done:
	case s.Failed:
		c.runFailed(p)
	case s.Stopped:
		c.runStopped(p)
	default:
		c.runSucceeded(p)
	}
}

// runSucceeded ends a task whose attempt succeeded. Only the run time of an
// uninterrupted first attempt is learned.
func (c *Core) runSucceeded(p *placement) {
	j := c.ledger.Jobs[p.job]
	if p.checkpoint == "" && p.Attempt == 1 {
		c.recordRuntime(j.Spec.Kind, c.now-p.reportedAt, p.used)
	}
	if p.worker.recordSuccess() {
		c.emit(Note{Kind: "return", Worker: p.worker.name, Reason: "worked"})
	}
	c.finish(p, ledger.End, "")
}

// runFailed requeues a task whose attempt failed, or ends it if it is not
// idempotent or has no attempts left. It may quarantine the worker.
func (c *Core) runFailed(p *placement) {
	j := c.ledger.Jobs[p.job]
	w := p.worker
	if w.recordFailure(c.now, j.Spec.Kind) {
		c.emit(Note{Kind: "quarantine", Worker: w.name, Reason: "failures"})
	}
	limit := c.limits.Attempts
	if j.Spec.Limit > 0 {
		limit = j.Spec.Limit
	}
	t := j.Open[p.index]
	switch {
	case !j.Spec.Idempotent:
		c.finish(p, ledger.Fail, "failed")
	case len(t.Failures)+1 >= limit:
		c.finish(p, ledger.Fail, "attempts")
	default:
		c.requeue(p, "failed", true)
	}
}

// runStopped handles an attempt that was stopped, by an order or an expired lease,
// before it ended. It may resume elsewhere from the checkpoint that was requested
// with the stop; without one, only an idempotent task may start again.
func (c *Core) runStopped(p *placement) {
	j := c.ledger.Jobs[p.job]
	reason := p.stopReason
	if reason == "" {
		reason = "lease"
	}
	if j.Spec.Idempotent || p.checkpoint != "" && p.saveOnStop {
		c.requeue(p, reason, false)
		return
	}
	c.finish(p, ledger.Lose, reason)
}

// requeue returns a task to the queue.
func (c *Core) requeue(p *placement, reason string, failed bool) {
	c.endRun(p, ledger.Record{Op: ledger.Requeue, Saved: p.checkpoint, Reason: reason, Failed: failed})
	if j := c.ledger.Jobs[p.job]; j != nil {
		c.enqueue(j)
	}
}

// finish ends a task without another attempt.
func (c *Core) finish(p *placement, op ledger.Op, reason string) {
	c.endRun(p, ledger.Record{Op: op, Reason: reason})
}

// endRun records the end of an attempt and frees its capacity.
func (c *Core) endRun(p *placement, r ledger.Record) {
	r.Name, r.Task, r.Attempt = p.job, p.index, p.Attempt
	r.Worker, r.Incarnation = p.worker.name, p.worker.incarnation
	if !c.record(r) {
		return
	}
	p.worker.release(p)
	c.noteFreed(p.worker)
	c.addUsage(c.ledger.Jobs[p.job], p.size, -1)
	c.needsScheduling = true
	c.emit(Note{Kind: string(r.Op), Reason: r.Reason, Task: p.Task, Worker: p.worker.name})
}

// evict stops an attempt, so that its task is placed again.
func (c *Core) evict(p *placement, reason string) {
	if p.stopReason != "" || p.ended {
		return
	}
	p.stopReason = reason
	p.saveOnStop = c.ledger.Jobs[p.job].Spec.Checkpoint
	c.emit(Note{Kind: "evict", Reason: reason, Task: p.Task, Worker: p.worker.name})
	c.propagate(p)
}

// evictable reports whether a task may be evicted: it may start again because it is
// idempotent, or resume from a checkpoint.
func (c *Core) evictable(p *placement) bool {
	s := c.ledger.Jobs[p.job].Spec
	return s.Idempotent || s.Checkpoint
}

// evictAll evicts the evictable tasks of a worker; the others run to their end.
func (c *Core) evictAll(w *worker, reason string) {
	for _, p := range w.sorted() {
		if c.evictable(p) {
			c.evict(p, reason)
		}
	}
}
