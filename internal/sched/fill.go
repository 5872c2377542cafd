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
	assumedUtilization = 0.5
	// calmMargin is the room below a serving task's limit that a new task beside
	// it leaves, for the load's swing within the task's run, and pressMargin what
	// it leaves once it has waited for calmWait: a day with room to spare harms
	// nobody, and on a full one the wait would cost more than the harm.
	initialMargin   = 0.1
	minMargin       = 0.03
	marginDecayTime = time.Second
	// easyMargin is left by a task whose job has more than easySlack to spare, as
	// long as there is no crowd: waiting for a calmer worker costs its caller
	// nothing. lateMargin is left by one whose job will be late anyway, and is
	// worth less than the serving tasks that it would disturb.
	slackMargin = 0.15
	ampleSlack  = 2 * time.Second
	lateMargin  = 0.1
	// crowdShare is the share of the processors that waiting tasks which fill ask
	// for in a crowd: a task that waits then finds less room later.
	backlogShare = 0.25
	// covers is how long a measurement looks back.
	measurementWindow = 600 * time.Millisecond
	// starvedShare is the share of what it asks for below which a task that
	// fills counts as starved, and starvedFor how long that may last before it
	// goes on elsewhere. Its stop makes a checkpoint, so nothing is lost.
	starvedShare   = 0.4
	starvedTimeout = 700 * time.Millisecond
	// stalledFor is the same for a task without checkpoints, which starts anew.
	starvedNoCheckpointTimeout = 1800 * time.Millisecond
	// avoidFor is how long a task is kept off a worker that it was taken off.
	avoidDuration = 3 * time.Second
	// full is the percent of a lasting task that is at work.
	fullPercent = 100
)

// idle is the processor time that tasks which fill may hope for.
func (c *Core) idleCores(w *worker) int64 {
	return w.Size.Cores - int64(assumedUtilization*float64(w.guaranteed.Cores))
}

// hungerAfter is how long a job waits for calm workers while nothing of it
// runs. Then one of its tasks starts where it disturbs least, and the agent
// paces it: a job must not stand still while there is capacity. The users bear
// 3 s.
const forcedStartAfter = 1500 * time.Millisecond

// hungry reports whether nothing of a task's job runs and it waited for long.
func (c *Core) mustStart(t *task) bool {
	return len(t.step.job.placements) == 0 && c.waitTime(t) > forcedStartAfter
}

// fillFits reports whether a task that fills would get what it asks for, and
// leave the serving tasks beside it below their targets.
func (c *Core) bestEffortFits(t *task, w *worker) bool {
	s := t.step
	if w.bestEffortCores+s.Size.Cores > c.idleCores(w) && w.bestEffortCores > 0 {
		return false
	}
	return c.latencyHeadroom(s, w) >= c.requiredMargin(t)
}

// marginOf is the room that a task leaves to the serving tasks beside it. It
// depends on what its job has to lose, and falls with the time that it waited.
func (c *Core) requiredMargin(t *task) float64 {
	switch o := t.step.occurrence; {
	case o.slack > ampleSlack && !c.bestEffortBacklog:
		return slackMargin
	case o.slack < 0:
		return lateMargin
	}
	waited := min(1, c.waitTime(t).Seconds()/marginDecayTime.Seconds())
	return initialMargin - waited*(initialMargin-minMargin)
}

// watchCrowd notes whether more tasks that fill wait than will soon find room.
func (c *Core) updateBacklog() {
	var waiting, size int64
	for _, j := range c.active {
		if !j.finished() {
			waiting += j.waitingBestEffortCores()
		}
	}
	for _, w := range c.schedulableWorkers() {
		size += w.Size.Cores
	}
	c.bestEffortBacklog = float64(waiting) > backlogShare*float64(size)
}

// fillsWait is what the job's tasks that fill and wait ask for, in thousandths of
// a core.
func (j *job) waitingBestEffortCores() int64 {
	if !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Fills }) {
		return 0
	}
	var sum int64
	for _, s := range j.readySteps() {
		if !s.Fills {
			continue
		}
		for _, t := range s.tasks {
			if t.waiting() {
				sum += s.Size.Cores
			}
		}
	}
	return sum
}

// pressRoom is the least room that a worker's serving tasks would have with a
// task of the step beside them.
func (c *Core) latencyHeadroom(s *step, w *worker) float64 {
	fills := append(w.bestEffortLoads(), press.Fill{Image: s.Image, Share: coreShare(s.Size.Cores, w)})
	least := 1.0
	for p := range w.placements {
		if x := p.task.step; x.Lasts && x.Target > 0 && p.stopReason == "" {
			least = min(least, c.interference.Room(latencyTask(p), fills))
		}
	}
	return least
}

func latencyTask(p *placement) press.Serving {
	return press.Serving{Task: p.name(), Image: p.task.step.Image, Target: p.task.step.Target}
}

func coreShare(cores int64, w *worker) float64 {
	return float64(cores) / float64(max(1, w.Size.Cores))
}

// fills lists the tasks that fill on a worker by what they ask for.
func (w *worker) bestEffortLoads() []press.Fill {
	var out []press.Fill
	for p := range w.placements {
		if s := p.task.step; s.Fills {
			out = append(out, press.Fill{Image: s.Image, Share: coreShare(s.Size.Cores, w)})
		}
	}
	return out
}

// fillScore prefers workers where the task disturbs least, then those whose
// serving tasks are calm and that have processors left.
func (c *Core) bestEffortScore(s *step, w *worker) float64 {
	x := coreShare(s.Size.Cores, w)
	headroom := c.latencyHeadroom(s, w)
	harm := max(0, minMargin-headroom)
	for p := range w.placements {
		if q := p.task.step; q.Lasts && q.Target > 0 {
			harm = max(harm, x*c.interference.Factor(s.Image, q.Image))
		}
	}
	return headroomWeight*(headroom+coreShare(c.idleCores(w)-w.bestEffortCores, w)) - harm
}

// roomWeight is what calm is worth against the stress that a task adds. The
// room of a worker that a task hardly disturbs is left to those that need it.
const headroomWeight = 0.2

// starve notes whether a run that fills gets what it asks for.
func (c *Core) updateStarved(p *placement) {
	s := p.task.step
	if !s.Fills || float64(p.measured) >= starvedShare*float64(s.Size.Cores) {
		p.starvedSince = 0
	} else if p.starvedSince == 0 {
		p.starvedSince = c.now
	}
}

// relieve takes starved tasks off a worker.
func (c *Core) moveStarved(w *worker) {
	for _, p := range sortedPlacements(w.placements) {
		s := p.task.step
		timeout := starvedTimeout
		if !s.Saves {
			timeout = starvedNoCheckpointTimeout
		}
		if p.starvedSince == 0 || p.stopReason != "" || s.Gang || c.now-max(p.starvedSince, p.confirmedAt) < timeout {
			continue
		}
		c.stopAndAvoid(p, "starved")
	}
}

// observe learns from what a worker measured.
func (c *Core) observeInterference(w *worker, seen map[*placement]bool) {
	var loads []press.Fill
	for p := range seen {
		if s := p.task.step; s.Fills {
			loads = append(loads, press.Fill{Image: s.Image, Share: coreShare(p.measured, w)})
		}
	}
	for _, p := range sortedPlacements(seen) {
		s := p.task.step
		if !s.Lasts || s.Target <= 0 || p.percent < fullPercent {
			continue
		}
		c.interference.Observe(c.now, press.Reading{
			Task: p.name(), Image: s.Image, Tail: p.measured, Target: s.Target,
			Fills: loads, Steady: c.now-w.bestEffortChanged > measurementWindow,
		})
	}
}

// pressOn tells an agent how the images on its worker disturb one another.
func (c *Core) interferenceOn(w *worker) ([]work.Interference, map[string]float64) {
	bestEffort, latencyCritical := map[string]bool{}, map[string]bool{}
	bases := map[string]float64{}
	for p := range w.placements {
		switch s := p.task.step; {
		case s.Fills:
			bestEffort[s.Image] = true
		case s.Lasts && s.Target > 0:
			latencyCritical[s.Image] = true
			bases[s.Image] = c.interference.Base(s.Image, s.Target)
		}
	}
	if len(bestEffort) == 0 {
		return nil, nil
	}
	return c.interference.Pairs(bestEffort, latencyCritical), bases
}
