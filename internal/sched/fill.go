package sched

import (
	"time"

	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// The load that these rules answer: tasks that fill ask for several times what
// is idle at a crest, for seconds, beside serving tasks whose targets some of
// their images endanger and others don't.

const (
	// servingShare is the share of their reserved processors that serving tasks
	// are taken to use.
	servingShare = 0.55
	// pressMargin is the room below a serving task's limit that a new task
	// beside it must leave, for the load's swing within the task's run.
	pressMargin = 0.08
	// covers is how long a measurement looks back.
	covers = 600 * time.Millisecond
	// full is the percent of a lasting task that is at work.
	full = 100
)

// idle is the processor time that tasks which fill may hope for.
func (c *Core) idle(w *worker) int64 {
	return w.Size.Cores - int64(servingShare*float64(w.used.Cores))
}

// fillFits reports whether a task that fills would get what it asks for, and
// leave the serving tasks beside it below their targets.
func (c *Core) fillFits(s *step, w *worker) bool {
	if w.fill+s.Size.Cores > c.idle(w) && w.fill > 0 {
		return false
	}
	return c.pressRoom(s, w) >= pressMargin
}

// pressRoom is the least room that a worker's serving tasks would have with a
// task of the step beside them.
func (c *Core) pressRoom(s *step, w *worker) float64 {
	fills := append(w.fills(), press.Fill{Image: s.Image, Share: share(s.Size.Cores, w)})
	least := 1.0
	for p := range w.places {
		if x := p.task.step; x.Lasts && x.Target > 0 && p.stop == "" {
			least = min(least, c.press.Room(serving(p), fills))
		}
	}
	return least
}

func serving(p *place) press.Serving {
	return press.Serving{Task: p.name(), Image: p.task.step.Image, Target: p.task.step.Target}
}

func share(cores int64, w *worker) float64 {
	return float64(cores) / float64(max(1, w.Size.Cores))
}

// fills lists the tasks that fill on a worker by what they ask for.
func (w *worker) fills() []press.Fill {
	var out []press.Fill
	for p := range w.places {
		if s := p.task.step; s.Fills {
			out = append(out, press.Fill{Image: s.Image, Share: share(s.Size.Cores, w)})
		}
	}
	return out
}

// fillScore prefers workers whose serving tasks stay calm and that have
// processors left.
func (c *Core) fillScore(s *step, w *worker) float64 {
	return c.pressRoom(s, w) + share(c.idle(w)-w.fill, w)
}

// observe learns from what a worker measured.
func (c *Core) observe(w *worker, seen map[*place]bool) {
	var used []press.Fill
	for p := range seen {
		if s := p.task.step; s.Fills {
			used = append(used, press.Fill{Image: s.Image, Share: share(p.figure, w)})
		}
	}
	for _, p := range sorted(seen) {
		s := p.task.step
		if !s.Lasts || s.Target <= 0 || p.percent < full {
			continue
		}
		c.press.Observe(c.now, press.Reading{
			Task: p.name(), Image: s.Image, Tail: p.figure, Target: s.Target,
			Fills: used, Steady: c.now-w.refilled > covers,
		})
	}
}

// pressOn tells an agent how the images on its worker disturb one another.
func (c *Core) pressOn(w *worker) ([]work.Press, map[string]float64) {
	fills, serves := map[string]bool{}, map[string]bool{}
	bases := map[string]float64{}
	for p := range w.places {
		switch s := p.task.step; {
		case s.Fills:
			fills[s.Image] = true
		case s.Lasts && s.Target > 0:
			serves[s.Image] = true
			bases[s.Image] = c.press.Base(s.Image, s.Target)
		}
	}
	if len(fills) == 0 {
		return nil, nil
	}
	return c.press.Pairs(fills, serves), bases
}
