package sched

import (
	"cmp"
	"slices"
	"time"
)

// This file preempts runs when a service is full of work that can wait and urgent
// work arrives. The priority of its queue tells how urgent work is. A preempted
// task starts again later, from its checkpoint if it has one.

const (
	// preemptAfter is how long a task waits for capacity to become free without
	// preemption. Short tasks end within a second, so most tasks never need more.
	preemptAfter = 300 * time.Millisecond
	// preemptMaxTasks is the maximum number of tasks for which runs are preempted
	// in one tick, so that the effect is seen before more runs are stopped.
	preemptMaxTasks = 4
	// preemptMaxLossRatio is the maximum ratio of the work that preemption discards
	// to the work of the task that it makes space for.
	preemptMaxLossRatio = 2
)

// preempt frees capacity for waiting tasks that is used by work of lower priority.
func (c *Core) preempt() {
	if c.highestPriority >= c.lowestPriority {
		return
	}
	urgent := c.urgent()
	if len(urgent) == 0 {
		return
	}
	schedulable := c.schedulableWorkers()
	remaining := preemptMaxTasks
	for _, t := range urgent {
		if remaining == 0 {
			return
		}
		if c.preemptFor(t, schedulable) {
			remaining--
		}
	}
}

// urgent lists the tasks that may preempt others and have waited for preemptAfter.
func (c *Core) urgent() []*task {
	var out []*task
	for _, j := range c.active {
		if j.finished() || j.inForce.Priority >= c.lowestPriority {
			continue
		}
		for _, s := range j.readySteps() {
			if s.Fills || s.Gang {
				continue
			}
			for _, t := range s.tasks {
				if t.waiting() && c.waitTime(t) >= preemptAfter {
					out = append(out, t)
				}
			}
		}
	}
	return out
}

// preemptFor stops runs so that a task fits on some worker, choosing the worker on
// which the least work is lost. It reports whether it stopped any.
func (c *Core) preemptFor(t *task, schedulable []*worker) bool {
	var best []*placement
	bestLoss := preemptMaxLossRatio * c.taskCost(t)
	for _, w := range c.candidates(t.step, schedulable) {
		if c.suspect(w) || t.step.Apart > 0 && t.step.countOn(w) >= t.step.Apart {
			continue
		}
		victims, loss, fits := c.victims(t, w)
		if fits && len(victims) == 0 {
			return false
		}
		if fits && (best == nil || loss < bestLoss) && loss <= bestLoss {
			best, bestLoss = victims, loss
		}
	}
	for _, p := range best {
		c.stopToMove(p, "preempted")
	}
	return len(best) > 0
}

// taskCost returns the expected work of a task in core-seconds.
func (c *Core) taskCost(t *task) float64 {
	usual, _ := c.runTimes.Estimate(t.step.job.Queue, t.step.Step)
	if t.step.Lasts {
		usual = max(usual, longRunningWorth)
	}
	return usual.Seconds() * float64(t.step.Size.Cores) / 1000
}

// longRunningWorth is the duration that a long-running task counts for when it is
// weighed against work that would be lost.
const longRunningWorth = 10 * time.Second

// victims returns the runs on a worker that have to be stopped for a task, and the
// work that this loses in core-seconds. It returns no runs if enough capacity will
// be free without stopping any.
func (c *Core) victims(t *task, w *worker) (out []*placement, loss float64, fits bool) {
	free := w.free()
	var stoppable []*placement
	for _, p := range w.placements.sorted() {
		s := p.task.step
		switch {
		case p.stopReason != "":
			free = free.Add(s.Reserved())
		case s.job.inForce.Priority <= t.step.job.inForce.Priority:
		case s.Gang || !p.stored || !p.confirmed || s.Lasts && !c.movable(p):
		default:
			stoppable = append(stoppable, p)
		}
	}
	need := t.step.Reserved()
	if need.Fits(free) {
		return nil, 0, true
	}
	slices.SortStableFunc(stoppable, func(a, b *placement) int { return cmp.Compare(lostWork(a), lostWork(b)) })
	for _, p := range stoppable {
		if !withinMissingLimit(append(slices.Clone(out), p)) {
			continue
		}
		out = append(out, p)
		loss += lostWork(p)
		free = free.Add(p.task.step.Reserved())
		if need.Fits(free) {
			return out, loss, true
		}
	}
	return nil, 0, false
}

// lostWork returns the work that is lost if a run is stopped, in core-seconds.
func lostWork(p *placement) float64 {
	if p.task.step.Saves || p.task.step.Lasts {
		return 0
	}
	return p.task.workDone.Seconds() * float64(p.task.step.Size.Cores) / 1000
}
