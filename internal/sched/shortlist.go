package sched

import (
	"slices"

	"lagoonrack/internal/vect"
)

// shortlist holds the candidates for the tasks of one step with everything that is the
// same for all of them, so that placing a wide step evaluates each worker once and not
// once for each task.
type shortlist struct {
	step    *step
	options []option
}

// option is a worker that may run a step's tasks.
type option struct {
	*worker
	// fits says that the worker has the capacity for one more task of the step.
	fits bool
	// idle says that there is idle processor time for a best-effort task, and
	// headroom what the latency-critical tasks there would have left beside it.
	idle     bool
	headroom float64
	// base and spread are the terms of the score that do not depend on the task.
	// scored says that they and headroom were computed.
	base, spread float64
	scored       bool
}

// newShortlist evaluates the candidates for a step. The result is valid until the next
// call.
func (c *Core) newShortlist(s *step, candidates []*worker) *shortlist {
	l := &c.shortlist
	l.step = s
	l.options = l.options[:0]
	for _, w := range candidates {
		l.options = append(l.options, c.evaluate(s, w))
	}
	return l
}

// evaluate returns a worker as an option for a step.
func (c *Core) evaluate(s *step, w *worker) option {
	o := option{worker: w}
	o.fits = s.Reserved().Fits(w.free()) && (s.Apart <= 0 || s.countOn(w) < s.Apart)
	o.idle = o.fits && (!s.Fills || c.hasIdleCores(s, w))
	return o
}

// score computes the terms of the score that do not depend on the task.
func (c *Core) score(s *step, o *option) {
	w := o.worker
	if s.Fills {
		o.headroom = c.latencyHeadroom(s, w)
		o.base = c.bestEffortScore(s, w, o.headroom) - c.slowness(s, w)
	} else {
		// The fullest worker comes first, so that some workers stay free of
		// latency-critical tasks and best-effort tasks there interfere with none.
		o.base = w.guaranteed.Add(s.Size).MaxShare(w.Size)
	}
	if s.Near != "" && w.hasLabel(s.Near) {
		o.base += preferredWeight
	}
	if w.Cold > 0 {
		o.base -= c.coldPenalty(s, w)
	}
	o.spread = spreadWeight * float64(s.countOn(w))
	o.scored = true
}

// choose returns the best option for a task, or nil if no candidate can take it now.
func (c *Core) choose(l *shortlist, t *task) *option {
	var best *option
	var bestScore float64
	forced := t.step.Fills && c.mustStart(t)
	for i := range l.options {
		o := &l.options[i]
		if !o.fits || !o.idle && !forced || !c.allowed(t, o.worker) {
			continue
		}
		if !o.scored {
			c.score(l.step, o)
		}
		if t.step.Fills && !forced && o.headroom < c.requiredMargin(t) {
			continue
		}
		score := o.base
		if c.suspect(o.worker) || slices.Contains(t.failedOn, o.ID) {
			score -= failedWeight
		}
		if score -= o.spread; best == nil || score > bestScore {
			best, bestScore = o, score
		}
	}
	return best
}

// allowed reports whether a task may go to a worker apart from its capacity.
func (c *Core) allowed(t *task, w *worker) bool {
	if t.moveTarget == nil && t.avoidWorker == "" && w.record.Empty() {
		return true
	}
	return c.exclusion(t, w) == ""
}

// exclusion returns why a task may not go to a worker apart from its capacity, or "".
func (c *Core) exclusion(t *task, w *worker) string {
	switch {
	case t.moveTarget != nil && c.now < t.moveTargetUntil && w != t.moveTarget && c.zoneOpen(t.moveTarget):
		return heldMoving
	case t.avoidWorker == w.ID && c.now-t.avoidSince < avoidDuration && c.waitTime(t) < exclusionPatience:
		return heldAvoided
	case c.suspect(w) && !c.mayProbe(t, w):
		return heldSuspect
	}
	return ""
}

// chooseAmong returns the best of the candidates for a task, or nil if none can take it
// now.
func (c *Core) chooseAmong(t *task, candidates []*worker) *worker {
	if o := c.choose(c.newShortlist(t.step, candidates), t); o != nil {
		return o.worker
	}
	return nil
}

// passBounds bounds from above what the workers of a scheduling pass can still take.
type passBounds struct {
	free vect.Size
	// idle is the processor time for best-effort tasks, in thousandths of a core.
	idle int64
}

// boundsOf returns the bounds of some workers.
func (c *Core) boundsOf(workers []*worker) passBounds {
	var b passBounds
	for _, w := range workers {
		b.free = b.free.Max(w.free())
		if w.bestEffortCores == 0 {
			b.idle = noCapacity.Cores
		}
		b.idle = max(b.idle, c.offeredCores(w)-w.bestEffortCores)
	}
	return b
}

// admit reports whether a task with the needs may fit.
func (b *passBounds) admit(n *needs) bool {
	if n.guaranteed.Fits(b.free) {
		return true
	}
	return n.bestEffort.Memory <= b.free.Memory && n.bestEffort.Accel <= b.free.Accel && (n.forced || n.bestEffort.Cores <= b.idle)
}
