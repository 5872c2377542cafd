package cell

import (
	"lagoonrack/internal/ledger"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// beat takes a worker's report.
func (c *Core) beat(e Beat) {
	w := c.worker(e.Worker, e.Incarnation)
	if w.beat != nil {
		c.answer(w)
	}
	if !w.beaten {
		c.dirty = true
		c.hasRoom(w)
	}
	w.beaten = true
	w.heard = c.now
	w.zone, w.rack = e.Zone, e.Rack
	if w.size != e.Size {
		c.resize(w, e.Size)
	}
	w.leaving = e.Leaving
	if !w.confirmed && e.Term == c.term {
		w.confirmed = true
		c.dirty = true
	}
	c.reconcile(w, e.Tasks)
	w.drained = c.led.Drained[w.name]
	if w.leaving || w.drained {
		c.empty(w, "drain")
	}
	w.beat = &e
	if !w.confirmed {
		c.answer(w)
	} else if w.news {
		c.tell(w)
	}
}

// resize takes a new size. Where less is offered than is committed, tasks are
// evicted until the rest fits.
func (c *Core) resize(w *worker, size vect.Size) {
	w.size = size
	c.dirty = true
	rest := w.committed
	for _, p := range w.sorted() {
		if rest.Fits(size) {
			return
		}
		if !p.ended && p.stop == "" {
			c.evict(p, "resize")
			rest = rest.Sub(p.size)
		}
	}
}

// reconcile compares what a worker reports with what it is to run.
func (c *Core) reconcile(w *worker, states []plat.State) {
	for _, s := range states {
		if p := w.places[s.Ref]; p != nil {
			c.state(p, s)
		} else {
			c.unknown(w, s)
		}
	}
}

// unknown handles an attempt that has no place: its end is committed, or it is
// from before an earlier owner gave it up.
func (c *Core) unknown(w *worker, s plat.State) {
	w.news = true
	if s.Done {
		w.acks = append(w.acks, s.Ref)
		return
	}
	w.stray = append(w.stray, plat.Stop{Ref: s.Ref})
}

func (c *Core) state(p *place, s plat.State) {
	if p.ended {
		return
	}
	if !p.seen {
		p.seen = true
		p.sent = true
		p.since = c.now
	}
	if s.Saved != "" {
		p.saved = s.Saved
	}
	p.used = s.Used
	switch {
	case !s.Done:
	case s.Failed:
		c.failed(p)
	case s.Stopped:
		c.stopped(p)
	default:
		c.done(p)
	}
}

func (c *Core) done(p *place) {
	j := c.led.Jobs[p.job]
	if p.saved == "" && p.Attempt == 1 {
		c.learn(j.Spec.Kind, c.now-p.since, p.used)
	}
	if p.worker.worked() {
		c.emit(Note{Kind: "return", Worker: p.worker.name, Reason: "worked"})
	}
	c.finish(p, ledger.End, "")
}

// failed decides whether a task that failed by itself is tried elsewhere.
func (c *Core) failed(p *place) {
	j := c.led.Jobs[p.job]
	w := p.worker
	if w.failed(c.now, j.Spec.Kind) {
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
		c.back(p, "failed", true)
	}
}

// stopped takes a worker's word that an attempt was ended from outside. It had
// no end of its own, so it may go on elsewhere from its checkpoint; without
// one, only an idempotent task may start again.
func (c *Core) stopped(p *place) {
	j := c.led.Jobs[p.job]
	reason := p.stop
	if reason == "" {
		reason = "lease"
	}
	if j.Spec.Idempotent || p.saved != "" && p.save {
		c.back(p, reason, false)
		return
	}
	c.finish(p, ledger.Lose, reason)
}

// back returns a task to the queue.
func (c *Core) back(p *place, reason string, failed bool) {
	c.close(p, ledger.Record{Op: ledger.Requeue, Saved: p.saved, Reason: reason, Failed: failed})
	if j := c.led.Jobs[p.job]; j != nil {
		c.queue(j)
	}
}

// finish ends a task for good.
func (c *Core) finish(p *place, op ledger.Op, reason string) {
	c.close(p, ledger.Record{Op: op, Reason: reason})
}

func (c *Core) close(p *place, r ledger.Record) {
	r.Name, r.Task, r.Attempt = p.job, p.index, p.Attempt
	r.Worker, r.Incarnation = p.worker.name, p.worker.incarnation
	if !c.record(r) {
		return
	}
	p.worker.free(p)
	c.hasRoom(p.worker)
	c.charge(c.led.Jobs[p.job], p.size, -1)
	c.dirty = true
	c.emit(Note{Kind: string(r.Op), Reason: r.Reason, Task: p.Task, Worker: p.worker.name})
}

// evict asks a worker to end an attempt so that it goes on elsewhere.
func (c *Core) evict(p *place, reason string) {
	if p.stop != "" || p.ended {
		return
	}
	p.stop = reason
	p.save = c.led.Jobs[p.job].Spec.Checkpoint
	c.emit(Note{Kind: "evict", Reason: reason, Task: p.Task, Worker: p.worker.name})
	c.press(p)
}

// movable reports whether a task may be evicted without harm to its promise.
func (c *Core) movable(p *place) bool {
	s := c.led.Jobs[p.job].Spec
	return s.Idempotent || s.Checkpoint
}

// empty evicts the tasks of a worker that may go on elsewhere; the rest runs
// to its end.
func (c *Core) empty(w *worker, reason string) {
	for _, p := range w.sorted() {
		if c.movable(p) {
			c.evict(p, reason)
		}
	}
}
