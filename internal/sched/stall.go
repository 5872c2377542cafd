package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/work"
)

// The load that these rules answer: some workers let what they run stand still
// while they look well, some run it several times slower, and a job ends with
// its slowest task.

const (
	// stillFor is how long the progress of a run may stand still, and stillShare
	// the same as a share of the expected work, which a slow run needs for one
	// hundredth.
	stallTimeout = 1200 * time.Millisecond
	stallShare   = 0.04
	// lateCopy is how many times the usual work a run must be expected to still
	// need before a copy is started, and copiesMost the most runs of one task.
	copyThreshold  = 1.3
	maxRunsPerTask = 2
	// patientAfter is the number of standstills of a task after which each
	// further one is waited for twice as long as the one before: it may be the
	// task that shows its progress seldom. patienceMost bounds the doublings.
	stallBackoffAfter = 2
	maxStallDoublings = 8
)

// watchHeadway takes in that a worker listed a run, with the progress that it
// showed before, and decides on a run that makes none.
func (c *Core) checkStall(p *placement, lastPercent int) {
	s := p.task.step
	if s.Lasts || s.Fills || s.Gang || p.stopReason != "" {
		return
	}
	if p.percent != lastPercent || p.percentSince == 0 {
		p.percentSince = c.now
		return
	}
	if c.now-p.percentSince < c.stallTimeoutOf(p.task) || p.percent >= fullPercent {
		return
	}
	c.handleStall(p)
}

// patience is how long the progress of a task may stand still.
func (c *Core) stallTimeoutOf(t *task) time.Duration {
	usual, _ := c.runTimes.estimate(t.step.job.Queue, t.step.Step)
	base := max(stallTimeout, time.Duration(stallShare*float64(usual)))
	return base << min(max(t.stalls+1-stallBackoffAfter, 0), maxStallDoublings)
}

// stalled gives a run up that stands still. It counts against the worker like a
// failure, but not against the task.
func (c *Core) handleStall(p *placement) {
	w := p.worker
	w.failureStreak++
	if w.failureStreak == suspectAfter {
		c.emit(Note{Kind: "suspect", Worker: w.ID, Reason: "stalls"})
	}
	p.task.stalls++
	p.task.failedOn = append(p.task.failedOn, w.ID)
	c.stopAndAvoid(p, "stalled")
}

// copyLate starts copies of runs that are far behind, where the step allows it
// and other workers have room.
func (c *Core) startSpeculativeCopies() {
	var schedulable []*worker
	for _, j := range c.active {
		if j.finished() || !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Copies }) {
			continue
		}
		for _, p := range sortedPlacements(j.placements) {
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

func (c *Core) wantsCopy(p *placement) bool {
	t := p.task
	s := t.step
	if !s.Copies || s.Gang || s.Lasts || t.done || len(t.placements) >= maxRunsPerTask || !p.confirmed || p.stopReason != "" {
		return false
	}
	if c.maxAttempts(s.job)-t.failures <= 1 {
		return false
	}
	usual, _ := c.runTimes.estimate(s.job.Queue, s.Step)
	_, left := c.expectedWork(t, usual)
	still := p.percentSince > 0 && c.now-p.percentSince > stallTimeout/2
	return c.now-p.confirmedAt > usual && (still || float64(left) > copyThreshold*float64(usual))
}

func (c *Core) startCopy(p *placement, schedulable []*worker) {
	t := p.task
	candidates := slices.DeleteFunc(c.candidates(t.step, schedulable), func(w *worker) bool { return w == p.worker || w.suspect() })
	if w := c.choose(t, candidates); w != nil {
		c.emit(Note{Kind: "copy", Task: t.name(), Run: t.lastRun + 1, Worker: w.ID, Reason: "late"})
		c.place(t, w, t.lastRun+1)
	}
}
