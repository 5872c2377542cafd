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
	stillFor   = 1200 * time.Millisecond
	stillShare = 0.04
	// lateCopy is how many times the usual work a run must be expected to still
	// need before a copy is started, and copiesMost the most runs of one task.
	lateCopy   = 1.3
	copiesMost = 2
	// patientAfter is the number of standstills of a task after which each
	// further one is waited for twice as long as the one before: it may be the
	// task that shows its progress seldom. patienceMost bounds the doublings.
	patientAfter = 2
	patienceMost = 8
)

// watchHeadway takes in that a worker listed a run, with the progress that it
// showed before, and decides on a run that makes none.
func (c *Core) watchHeadway(p *place, before int) {
	s := p.task.step
	if s.Lasts || s.Fills || s.Gang || p.stop != "" {
		return
	}
	if p.percent != before || p.still == 0 {
		p.still = c.now
		return
	}
	if c.now-p.still < c.patience(p.task) || p.percent >= full {
		return
	}
	c.stalled(p)
}

// patience is how long the progress of a task may stand still.
func (c *Core) patience(t *task) time.Duration {
	usual, _ := c.learned.estimate(t.step.job.Queue, t.step.Step)
	base := max(stillFor, time.Duration(stillShare*float64(usual)))
	return base << min(max(t.stalls+1-patientAfter, 0), patienceMost)
}

// stalled gives a run up that stands still. It counts against the worker like a
// failure, but not against the task.
func (c *Core) stalled(p *place) {
	w := p.worker
	w.streak++
	if w.streak == suspectAfter {
		c.emit(Note{Kind: "suspect", Worker: w.ID, Reason: "stalls"})
	}
	p.task.stalls++
	p.task.bad = append(p.task.bad, w.ID)
	c.keepOff(p, "stalled")
}

// copyLate starts copies of runs that are far behind, where the step allows it
// and other workers have room.
func (c *Core) copyLate() {
	var open []*worker
	for _, j := range c.active {
		if j.over() || !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Copies }) {
			continue
		}
		for _, p := range sorted(j.places) {
			if !c.wantsCopy(p) {
				continue
			}
			if open == nil {
				open = c.opened()
			}
			c.copyOf(p, open)
		}
	}
}

func (c *Core) wantsCopy(p *place) bool {
	t := p.task
	s := t.step
	if !s.Copies || s.Gang || s.Lasts || t.done || len(t.places) >= copiesMost || !p.known || p.stop != "" {
		return false
	}
	if c.attempts(s.job)-t.fails <= 1 {
		return false
	}
	usual, _ := c.learned.estimate(s.job.Queue, s.Step)
	_, left := c.expected(t, usual)
	still := p.still > 0 && c.now-p.still > stillFor/2
	return c.now-p.okay > usual && (still || float64(left) > lateCopy*float64(usual))
}

func (c *Core) copyOf(p *place, open []*worker) {
	t := p.task
	can := slices.DeleteFunc(c.candidates(t.step, open), func(w *worker) bool { return w == p.worker || w.suspect() })
	if w := c.choose(t, can); w != nil {
		c.emit(Note{Kind: "copy", Task: t.name(), Run: t.run + 1, Worker: w.ID, Reason: "late"})
		c.start(t, w, t.run+1)
	}
}
