package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/vect"
)

// This file consolidates long-running tasks on fewer workers. Their jobs come and
// go one at a time, so that after a while single tasks are left on workers that are
// nearly empty otherwise. Each of them limits the best-effort tasks on a whole
// worker. Moving such a task to a worker that has long-running tasks anyway costs
// one restart.

const (
	// consolidateInterval is the minimum time between clearing two workers of their
	// long-running tasks. A moved task is at work again well within it.
	consolidateInterval = 700 * time.Millisecond
	// consolidateMaxTasks is the maximum number of long-running tasks that are
	// moved off one worker, and consolidateMaxShare the maximum share of its
	// processors that they may reserve. Beyond that, too little is gained for the
	// restarts.
	consolidateMaxTasks = 3
	consolidateMaxShare = 0.4
	// minRunBeforeMove is how long a long-running task must have run before it may
	// be moved.
	minRunBeforeMove = 3 * time.Second
	// moveTargetTimeout is how long a moved task waits for the worker that it is to
	// move to.
	moveTargetTimeout = 2 * time.Second
)

// consolidate moves all long-running tasks off one worker if best-effort tasks wait
// and other workers with long-running tasks have capacity for them.
func (c *Core) consolidate() {
	if c.now-c.lastConsolidation < consolidateInterval || !c.bestEffortWaiting() {
		return
	}
	schedulable := c.schedulableWorkers()
	var best *relocationPlan
	for _, w := range schedulable {
		v := c.planRelocation(w, schedulable)
		if v != nil && (best == nil || v.gainPerMove() > best.gainPerMove()) {
			best = v
		}
	}
	if best == nil {
		return
	}
	c.lastConsolidation = c.now
	for _, m := range best.moves {
		m.placement.task.moveTarget, m.placement.task.moveTargetUntil = m.to, c.now+moveTargetTimeout
		c.stopToMove(m.placement, "vacate")
	}
}

// bestEffortWaiting reports whether a best-effort task needs a placement.
func (c *Core) bestEffortWaiting() bool {
	for _, j := range c.active {
		if j.finished() || !j.Steps[0].Fills || len(j.openOccurrences) == 0 {
			continue
		}
		for o, s := range j.readySteps() {
			if o == j.openOccurrences[0] && s.waiting > 0 {
				return true
			}
		}
	}
	return false
}

// move is the planned move of a long-running task to another worker.
type move struct {
	placement *placement
	to        *worker
}

// relocationPlan is a plan to move all long-running tasks off a worker.
type relocationPlan struct {
	worker      *worker
	schedulable []*worker
	moves       []move
	// freeAfter is the free capacity of the workers once the moves are made, and
	// stepCountChanges the change in the number of a step's tasks there.
	freeAfter        map[*worker]vect.Size
	stepCountChanges map[*worker]map[*step]int
}

// gainPerMove returns the processor capacity, in thousandths of a core, that is
// cleared of long-running tasks per move.
func (v *relocationPlan) gainPerMove() int64 { return v.worker.Size.Cores / int64(len(v.moves)) }

// planRelocation returns a plan to clear a worker of long-running tasks, or nil if
// that is impossible or not worth the restarts.
func (c *Core) planRelocation(w *worker, schedulable []*worker) *relocationPlan {
	v := &relocationPlan{worker: w, schedulable: schedulable, freeAfter: map[*worker]vect.Size{}, stepCountChanges: map[*worker]map[*step]int{}}
	var longRunning []*placement
	var cores int64
	for _, p := range w.placements.sorted() {
		if !p.task.step.Lasts {
			continue
		}
		if !c.movable(p) {
			return nil
		}
		longRunning = append(longRunning, p)
		cores += p.task.step.Size.Cores
	}
	if len(longRunning) == 0 || len(longRunning) > consolidateMaxTasks || float64(cores) > consolidateMaxShare*float64(w.Size.Cores) {
		return nil
	}
	for _, p := range longRunning {
		if !c.relocate(v, p) {
			return nil
		}
	}
	var moved []*placement
	for _, m := range v.moves {
		moved = append(moved, m.placement)
	}
	if !withinMissingLimit(moved) {
		return nil
	}
	return v
}

// relocate adds the move of a task to the plan. If no worker can take the task
// directly, one other task may be moved off the target worker to a third worker. It
// reports whether a worker was found.
func (c *Core) relocate(v *relocationPlan, p *placement) bool {
	if to := c.relocationTarget(v, p, nil); to != nil {
		v.addMove(p, to)
		return true
	}
	for _, x := range c.candidates(p.task.step, v.schedulable) {
		if x == v.worker || c.suspect(x) || !x.hasLongRunning() || !v.allowsSpread(p, x) {
			continue
		}
		for _, q := range x.placements.sorted() {
			if !q.task.step.Lasts || q.task.step == p.task.step || v.isMoved(q) || !c.movable(q) || !p.task.step.Size.Fits(v.free(x).Add(q.task.step.Size)) {
				continue
			}
			if to := c.relocationTarget(v, q, x); to != nil {
				v.addMove(q, to)
				v.addMove(p, x)
				return true
			}
		}
	}
	return false
}

// addMove adds a move to the plan and updates the planned capacity.
func (v *relocationPlan) addMove(p *placement, to *worker) {
	v.moves = append(v.moves, move{p, to})
	s := p.task.step
	v.freeAfter[p.worker] = v.free(p.worker).Add(s.Size)
	v.freeAfter[to] = v.free(to).Sub(s.Size)
	v.count(p.worker, s, -1)
	v.count(to, s, 1)
}

// count records that the plan changes the number of a step's tasks on a worker by n.
func (v *relocationPlan) count(w *worker, s *step, n int) {
	if v.stepCountChanges[w] == nil {
		v.stepCountChanges[w] = map[*step]int{}
	}
	v.stepCountChanges[w][s] += n
}

// free returns the free capacity of a worker once the moves are made.
func (v *relocationPlan) free(w *worker) vect.Size {
	if r, ok := v.freeAfter[w]; ok {
		return r
	}
	return w.free()
}

// isMoved reports whether the plan moves the placement.
func (v *relocationPlan) isMoved(p *placement) bool {
	return slices.ContainsFunc(v.moves, func(m move) bool { return m.placement == p })
}

// allowsSpread reports whether the worker may have one more task of the placement's
// step.
func (v *relocationPlan) allowsSpread(p *placement, w *worker) bool {
	s := p.task.step
	return s.Apart == 0 || s.countOn(w)+v.stepCountChanges[w][s] < s.Apart
}

// movable reports whether a long-running task may be restarted elsewhere now: it
// has been at work for some time, and not too many tasks of its step are
// unavailable.
func (c *Core) movable(p *placement) bool {
	if p.stopReason != "" || !p.stored || !p.confirmed || p.percent < fullPercent || c.now-p.confirmedAt < minRunBeforeMove {
		return false
	}
	return withinMissingLimit([]*placement{p})
}

// withinMissingLimit reports whether all placements may be stopped at the same time
// without exceeding the limit of unavailable tasks of any step.
func withinMissingLimit(placements []*placement) bool {
	stops := map[*step]int{}
	for _, p := range placements {
		stops[p.task.step]++
	}
	for s, n := range stops {
		if s.Lasts && s.Missing > 0 && s.unavailableTasks()+n > s.Missing {
			return false
		}
	}
	return true
}

// unavailableTasks counts the tasks of a step that are not at work.
func (s *step) unavailableTasks() int {
	n := 0
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.placements, func(p *placement) bool { return p.stopReason == "" && p.percent >= fullPercent }) {
			n++
		}
	}
	return n
}

// relocationTarget returns the fullest worker that has long-running tasks, is not
// the excluded one and can take one more task, or nil.
func (c *Core) relocationTarget(v *relocationPlan, p *placement, exclude *worker) *worker {
	s := p.task.step
	var best *worker
	for _, w := range c.candidates(s, v.schedulable) {
		if w == v.worker || w == exclude || w == p.worker || c.suspect(w) || c.coldFor(w) > 0 || !w.hasLongRunning() || !v.allowsSpread(p, w) || !s.Size.Fits(v.free(w)) {
			continue
		}
		if best == nil || v.free(w).Cores < v.free(best).Cores {
			best = w
		}
	}
	return best
}

// hasLongRunning reports whether a long-running task is on the worker and not being
// stopped.
func (w *worker) hasLongRunning() bool {
	return slices.ContainsFunc(w.placements.list, func(p *placement) bool { return p.task.step.Lasts && p.stopReason == "" })
}
