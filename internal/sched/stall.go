package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/work"
)

// This file handles stragglers. Some workers stall their runs although they look
// healthy, others execute them several times slower than usual, and a job ends only
// with its slowest task.

const (
	// stallTimeout is how long a run may make no progress. stallShare is the same
	// as a share of the expected duration, because a slow run needs that long for
	// one percent.
	stallTimeout = 1200 * time.Millisecond
	stallShare   = 0.04
	// copyThreshold is the multiple of the usual duration that a run must still be
	// expected to need before a speculative copy is started. maxRunsPerTask is the
	// maximum number of runs of one task at a time.
	copyThreshold  = 1.3
	maxRunsPerTask = 2
	// stallBackoffAfter is the number of stalls of a task after which the timeout
	// doubles with each further one, because the task itself may report progress
	// rarely. maxStallDoublings bounds the doublings.
	stallBackoffAfter = 2
	maxStallDoublings = 8
)

// checkStall compares the progress of a run in a new list with the progress listed
// before, and moves the run if it has stalled.
func (c *Core) checkStall(p *placement, lastPercent int) {
	s := p.task.step
	if s.Lasts || s.Fills || s.Gang || p.stopReason != "" {
		return
	}
	if p.percent != lastPercent || p.percentSince == 0 {
		p.percentSince = c.now
		return
	}
	if c.now-p.percentSince < c.stallTimeoutOf(p.task) || p.percent >= fullPercent || !c.mayLeave(p) {
		return
	}
	c.handleStall(p)
}

// stallTimeoutOf returns how long a task may make no progress.
func (c *Core) stallTimeoutOf(t *task) time.Duration {
	usual, _ := c.runTimes.Estimate(t.step.job.Queue, t.step.Step)
	base := max(stallTimeout, time.Duration(stallShare*float64(usual)))
	return base << min(max(t.stalls+1-stallBackoffAfter, 0), maxStallDoublings)
}

// handleStall moves a stalled run. The stall counts as a failure of the worker, but
// not of the task.
func (c *Core) handleStall(p *placement) {
	w := p.worker
	c.noteFailure(p, "stalls")
	p.task.stalls++
	p.task.failedOn = append(p.task.failedOn, w.ID)
	c.stopAndAvoid(p, "stalled")
}

// startSpeculativeCopies starts copies of runs that are far behind, where the step
// allows it and other workers have free capacity.
func (c *Core) startSpeculativeCopies() {
	var schedulable []*worker
	for _, j := range c.active {
		if j.finished() || !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Copies }) {
			continue
		}
		for _, p := range j.placements.sorted() {
			if !c.wantsCopy(p) {
				continue
			}
			if schedulable == nil {
				schedulable = c.schedulableWorkers()
			}
			c.startCopy(p, schedulable)
		}
	}
}

// wantsCopy reports whether a run is so late that a speculative copy should be
// started.
func (c *Core) wantsCopy(p *placement) bool {
	t := p.task
	s := t.step
	if !s.Copies || s.Gang || s.Lasts || t.done || len(t.placements) >= maxRunsPerTask || !p.confirmed || p.stopReason != "" {
		return false
	}
	if c.lastAttempt(t) {
		return false
	}
	usual, _ := c.runTimes.Estimate(s.job.Queue, s.Step)
	_, remaining := c.expectedWork(t, usual)
	stalled := p.percentSince > 0 && c.now-p.percentSince > stallTimeout/2
	return c.now-p.confirmedAt > usual && (stalled || float64(remaining) > copyThreshold*float64(usual))
}

// startCopy starts a speculative copy of a run on another worker that is not
// suspect, if one can take it.
func (c *Core) startCopy(p *placement, schedulable []*worker) {
	t := p.task
	candidates := slices.DeleteFunc(slices.Clone(c.candidates(t.step, schedulable)), func(w *worker) bool { return w == p.worker || c.suspect(w) })
	if w := c.chooseAmong(t, candidates); w != nil {
		c.emit(Decision{Kind: "copy", Task: t.name(), Run: t.lastRun + 1, Worker: w.ID, Reason: "late"})
		c.place(t, w, t.lastRun+1)
	}
}
