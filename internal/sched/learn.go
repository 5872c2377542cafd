package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// expectedLongest returns the expected duration of the longest task of a step.
func (c *Core) expectedLongest(j *job, s *work.Step) time.Duration {
	return c.runTimes.Longest(j.Queue, s)
}

// countWork adds the work of a run since it was last counted, at the share of full
// speed that the run got.
func (c *Core) countWork(p *placement) {
	if p.workCountedUntil == 0 {
		p.workCountedUntil = p.confirmedAt
	}
	if p != p.task.placements[0] {
		// Of several runs of a task, only the first counts.
		p.workCountedUntil = c.now
		return
	}
	speed := 1.0
	if s := p.task.step; s.Fills && s.Size.Cores > 0 {
		speed = min(1, float64(p.measured)/float64(s.Size.Cores))
	}
	p.task.workDone += time.Duration(speed * float64(c.now-p.workCountedUntil))
	p.workCountedUntil = c.now
}

const (
	// minExtrapolatePercent is the lowest progress that a task's whole duration is
	// extrapolated from.
	minExtrapolatePercent = 15
)

// expectedWork returns the expected duration of a task and the part of it that is
// left, from the task's progress if it is known and otherwise from the usual
// duration.
func (c *Core) expectedWork(t *task, usual time.Duration) (whole, remaining time.Duration) {
	whole = usual
	if t.done {
		return max(t.workDone, 0), 0
	}
	percent := 0
	for _, p := range t.placements {
		percent = max(percent, p.percent)
	}
	if percent >= minExtrapolatePercent && t.workDone > 0 {
		whole = t.workDone * fullPercent / time.Duration(percent)
		return whole, whole * time.Duration(fullPercent-min(fullPercent, percent)) / fullPercent
	}
	return max(whole, t.workDone), max(0, max(whole, t.workDone)-t.workDone)
}
