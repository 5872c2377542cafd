package sched

import (
	"slices"
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
	servingShare = 0.5
	// calmMargin is the room below a serving task's limit that a new task beside
	// it leaves, for the load's swing within the task's run, and pressMargin what
	// it leaves once it has waited for calmWait: a day with room to spare harms
	// nobody, and on a full one the wait would cost more than the harm.
	calmMargin  = 0.1
	pressMargin = 0.03
	calmWait    = time.Second
	// easyMargin is left by a task whose job has more than easySlack to spare, as
	// long as there is no crowd: waiting for a calmer worker costs its caller
	// nothing. lateMargin is left by one whose job will be late anyway, and is
	// worth less than the serving tasks that it would disturb.
	easyMargin = 0.15
	easySlack  = 2 * time.Second
	lateMargin = 0.1
	// crowdShare is the share of the processors that waiting tasks which fill ask
	// for in a crowd: a task that waits then finds less room later.
	crowdShare = 0.25
	// covers is how long a measurement looks back.
	covers = 600 * time.Millisecond
	// starvedShare is the share of what it asks for below which a task that
	// fills counts as starved, and starvedFor how long that may last before it
	// goes on elsewhere. Its stop makes a checkpoint, so nothing is lost.
	starvedShare = 0.4
	starvedFor   = 700 * time.Millisecond
	// stalledFor is the same for a task without checkpoints, which starts anew.
	stalledFor = 1800 * time.Millisecond
	// avoidFor is how long a task is kept off a worker that it was taken off.
	avoidFor = 3 * time.Second
	// full is the percent of a lasting task that is at work.
	full = 100
)

// idle is the processor time that tasks which fill may hope for.
func (c *Core) idle(w *worker) int64 {
	return w.Size.Cores - int64(servingShare*float64(w.solid.Cores))
}

// hungerAfter is how long a job waits for calm workers while nothing of it
// runs. Then one of its tasks starts where it disturbs least, and the agent
// paces it: a job must not stand still while there is capacity. The users bear
// 3 s.
const hungerAfter = 1500 * time.Millisecond

// hungry reports whether nothing of a task's job runs and it waited for long.
func (c *Core) hungry(t *task) bool {
	return len(t.step.job.places) == 0 && c.waited(t) > hungerAfter
}

// fillFits reports whether a task that fills would get what it asks for, and
// leave the serving tasks beside it below their targets.
func (c *Core) fillFits(t *task, w *worker) bool {
	s := t.step
	if w.fill+s.Size.Cores > c.idle(w) && w.fill > 0 {
		return false
	}
	return c.pressRoom(s, w) >= c.marginOf(t)
}

// marginOf is the room that a task leaves to the serving tasks beside it. It
// depends on what its job has to lose, and falls with the time that it waited.
func (c *Core) marginOf(t *task) float64 {
	switch o := t.step.occ; {
	case o.slack > easySlack && !c.crowded:
		return easyMargin
	case o.slack < 0:
		return lateMargin
	}
	waited := min(1, c.waited(t).Seconds()/calmWait.Seconds())
	return calmMargin - waited*(calmMargin-pressMargin)
}

// watchCrowd notes whether more tasks that fill wait than will soon find room.
func (c *Core) watchCrowd() {
	var waiting, size int64
	for _, j := range c.active {
		if !j.over() {
			waiting += j.fillsWait()
		}
	}
	for _, w := range c.opened() {
		size += w.Size.Cores
	}
	c.crowded = float64(waiting) > crowdShare*float64(size)
}

// fillsWait is what the job's tasks that fill and wait ask for, in thousandths of
// a core.
func (j *job) fillsWait() int64 {
	if !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Fills }) {
		return 0
	}
	var sum int64
	for _, s := range j.turns() {
		if !s.Fills {
			continue
		}
		for _, t := range s.tasks {
			if t.waits() {
				sum += s.Size.Cores
			}
		}
	}
	return sum
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

// fillScore prefers workers where the task disturbs least, then those whose
// serving tasks are calm and that have processors left.
func (c *Core) fillScore(s *step, w *worker) float64 {
	x := share(s.Size.Cores, w)
	room := c.pressRoom(s, w)
	harm := max(0, pressMargin-room)
	for p := range w.places {
		if q := p.task.step; q.Lasts && q.Target > 0 {
			harm = max(harm, x*c.press.Factor(s.Image, q.Image))
		}
	}
	return roomWeight*(room+share(c.idle(w)-w.fill, w)) - harm
}

// roomWeight is what calm is worth against the stress that a task adds. The
// room of a worker that a task hardly disturbs is left to those that need it.
const roomWeight = 0.2

// starve notes whether a run that fills gets what it asks for.
func (c *Core) starve(p *place) {
	s := p.task.step
	if !s.Fills || float64(p.figure) >= starvedShare*float64(s.Size.Cores) {
		p.starved = 0
	} else if p.starved == 0 {
		p.starved = c.now
	}
}

// relieve takes starved tasks off a worker.
func (c *Core) relieve(w *worker) {
	for _, p := range sorted(w.places) {
		s := p.task.step
		patience := starvedFor
		if !s.Saves {
			patience = stalledFor
		}
		if p.starved == 0 || p.stop != "" || s.Gang || c.now-max(p.starved, p.okay) < patience {
			continue
		}
		c.keepOff(p, "starved")
	}
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
func (c *Core) pressOn(w *worker) ([]work.Interference, map[string]float64) {
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
