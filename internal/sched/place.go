package sched

import (
	"cmp"
	"slices"
	"sync"

	"lagoonrack/internal/work"
)

// news is what changed since the last pass over the tasks that wait. A pass over all
// of them and all workers costs milliseconds in a crowd, and hundreds of tasks end
// in a second: after an end, tasks that found no place before are tried on the
// workers that have room now, and those of changed jobs on all. What depends on time
// is tried with each tick.
type changeSet struct {
	all     bool
	jobs    map[*job]bool
	workers map[*worker]bool
}

// job notes that tasks of a job may wait that did not before.
func (n *changeSet) addJob(j *job) {
	if n.jobs == nil {
		n.jobs = map[*job]bool{}
	}
	n.jobs[j] = true
}

// worker notes that a worker may take a task that it could not before.
func (n *changeSet) addWorker(w *worker) {
	if n.workers == nil {
		n.workers = map[*worker]bool{}
	}
	n.workers[w] = true
}

func (n *changeSet) empty() bool { return !n.all && len(n.jobs) == 0 && len(n.workers) == 0 }

// schedule gives places to tasks that wait, in the order of their jobs.
func (c *Core) schedule() {
	n := c.changes
	if n.empty() {
		return
	}
	c.changes = changeSet{}
	allWorkers := sync.OnceValue(c.schedulableWorkers)
	changed := c.schedulableOf(n.workers)
	for _, o := range c.rankedOccurrences(n) {
		for _, s := range o.steps {
			switch {
			case s.unfinished == 0 || !o.ready(s) || s.job.finished():
			case n.all || n.jobs[o.job] || s.Gang || c.queues[o.job.Queue].Advised:
				// A gang needs room on several workers at a time, and the advisor is
				// asked once for all.
				c.scheduleStep(s, allWorkers())
			case len(changed) > 0:
				c.scheduleStep(s, changed)
			}
		}
	}
}

// opened lists the workers that may get new runs.
func (c *Core) schedulableWorkers() []*worker {
	var out []*worker
	for _, k := range sortedKeys(c.workers) {
		if w := c.workers[k]; c.schedulable(w) {
			out = append(out, w)
		}
	}
	return out
}

// openOf lists those of some workers that may get new runs.
func (c *Core) schedulableOf(some map[*worker]bool) []*worker {
	var out []*worker
	for w := range some {
		if c.schedulable(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(incarnationKey(a.Life), incarnationKey(b.Life)) })
	return out
}

// arrive makes the occurrences whose time has come.
func (c *Core) createDueOccurrences(j *job) {
	if j.Times <= 0 {
		if len(j.openOccurrences) == 0 {
			j.occurrence(0, c.now)
		}
		return
	}
	wallClock, ok := c.wallClock.at(c.now)
	if !ok {
		return
	}
	for k := j.past + len(j.openOccurrences); k < j.Times; k++ {
		if wallClock.Milliseconds() < j.First+int64(k)*j.Every {
			return
		}
		j.occurrence(k, c.now)
	}
}

func (c *Core) scheduleStep(s *step, schedulable []*worker) {
	if !s.hasWaitingTasks() {
		return
	}
	candidates := c.candidates(s, schedulable)
	if len(candidates) == 0 {
		return
	}
	if s.Gang {
		c.scheduleGang(s, candidates)
		return
	}
	for _, t := range s.tasks {
		if !t.waiting() {
			continue
		}
		w := c.choose(t, candidates)
		if w == nil {
			return
		}
		c.place(t, w, t.lastRun+1)
	}
}

// candidates lists the workers that may run a step by its queue, labels and the
// advisor, who is asked if tasks wait and no worker is known.
func (c *Core) candidates(s *step, schedulable []*worker) []*worker {
	out := c.eligible(s, schedulable)
	if !c.queues[s.job.Queue].Advised {
		return out
	}
	advised := slices.DeleteFunc(slices.Clone(out), func(w *worker) bool {
		_, ok := c.ticket(s, w)
		return !ok
	})
	if len(advised) == 0 && s.hasWaitingTasks() {
		c.consult(s, out)
	}
	return advised
}

// eligible lists the workers that may run a step by its queue and labels.
func (c *Core) eligible(s *step, schedulable []*worker) []*worker {
	service := s.job.Service
	q, ok := c.queues[s.job.Queue]
	if ok {
		service = q.Service
	}
	var out []*worker
	for _, w := range schedulable {
		if w.Service == service && w.hasLabel(s.Needs) {
			out = append(out, w)
		}
	}
	return out
}

func (s *step) hasWaitingTasks() bool { return slices.ContainsFunc(s.tasks, (*task).waiting) }

// name is that of the step, without a task's index.
func (s *step) name() string { return work.StepName(s.job.ID, s.occurrenceNumber, s.index) }

// choose returns the best worker for a task, or nil if none has room now.
func (c *Core) choose(t *task, candidates []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range candidates {
		if t.moveTarget != nil && c.now < t.moveTargetUntil && w != t.moveTarget {
			continue
		}
		if !c.fits(t, w) {
			continue
		}
		score := c.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a worker may take a task now.
func (c *Core) fits(t *task, w *worker) bool {
	s := t.step
	if !s.Reserved().Fits(w.free()) {
		return false
	}
	if t.avoidWorker == w.ID && c.now-t.avoidSince < avoidDuration {
		return false
	}
	if s.Apart > 0 && s.countOn(w) >= s.Apart {
		return false
	}
	if w.suspect() && !c.mayProbe(t, w) {
		return false
	}
	if s.Fills && !c.mustStart(t) {
		return c.bestEffortFits(t, w)
	}
	return true
}

// on counts the step's tasks on a worker.
func (s *step) countOn(w *worker) int {
	n := 0
	for p := range w.placements {
		if p.task.step == s {
			n++
		}
	}
	return n
}

// mayProbe reports whether a suspect worker may get the task as a test: it has
// attempts to spare and no other test is under way.
func (c *Core) mayProbe(t *task, w *worker) bool {
	if c.maxAttempts(t.step.job)-t.failures <= 1 && !t.step.Lasts {
		return false
	}
	return c.now-w.lastProbe > probeInterval
}

const (
	// nearWeight puts a worker on the wanted rack before any other.
	preferredWeight = 10
	// badWeight puts workers where the task failed last.
	failedWeight = 100
	// copyWeight keeps tasks of one step apart where nothing else decides.
	spreadWeight = 0.02
)

// score says how well a worker suits a task that fits.
func (c *Core) score(t *task, w *worker) float64 {
	s := t.step
	var v float64
	if s.Fills {
		v = c.bestEffortScore(s, w)
	} else {
		// The fullest comes first, so that some workers stay without serving
		// tasks and what fills disturbs nobody there.
		v = w.guaranteed.Add(s.Size).MaxShare(w.Size)
	}
	if s.Near != "" && w.hasLabel(s.Near) {
		v += preferredWeight
	}
	if slices.Contains(t.failedOn, w.ID) || w.suspect() {
		v -= failedWeight
	}
	return v - spreadWeight*float64(s.countOn(w))
}

// start gives a task a place on a worker, to be ordered once that is stored.
func (c *Core) place(t *task, w *worker, run int64) {
	t.lastRun = run
	p := &placement{task: t, run: run, worker: w, checkpoint: t.checkpoint}
	if q := c.queues[t.step.job.Queue]; q.Advised {
		p.ticket, _ = c.ticket(t.step, w)
	}
	w.add(p)
	if t.step.Fills {
		w.bestEffortChanged = c.now
	}
	if w.suspect() {
		w.lastProbe = c.now
	}
	t.placements = append(t.placements, p)
	j := t.step.job
	j.placements[p] = true
	j.everStarted = true
	c.markDirty(j)
	c.emit(Note{Kind: "place", Task: p.name(), Run: run, Worker: w.ID, Reason: rankNames[t.step.occurrence.rank], Took: c.waitTime(t)})
	c.afterStored(func() { c.handlePlacementStored(p) })
	c.updateJob(j)
}

// ready orders a place that is stored, unless it was given up meanwhile.
func (c *Core) handlePlacementStored(p *placement) {
	if !p.worker.placements[p] {
		return
	}
	p.stored = true
	if p.stopReason == "" {
		c.orderStart(p)
	}
}

// fitsElsewhere reports whether another worker could take the task of a place. The
// advisor is asked for one if need be.
func (c *Core) fitsElsewhere(p *placement) bool {
	s, schedulable := p.task.step, c.schedulableWorkers()
	for _, w := range c.candidates(s, schedulable) {
		if w != p.worker && c.fits(p.task, w) {
			return true
		}
	}
	if c.queues[s.job.Queue].Advised {
		c.consult(s, c.eligible(s, schedulable))
	}
	return false
}

// scheduleGang starts the tasks of a gang together, if there is room for all.
// All members carry the same run number and the same checkpoint.
func (c *Core) scheduleGang(s *step, candidates []*worker) {
	var run int64
	saved := ""
	for _, t := range s.tasks {
		if t.done || len(t.placements) > 0 {
			return
		}
		run = max(run, t.lastRun)
		if t.checkpoint != "" {
			saved = t.checkpoint
		}
	}
	var trial []*placement
	for _, t := range s.tasks {
		w := c.choose(t, c.narrowToRack(s, trial, candidates))
		if w == nil {
			break
		}
		p := &placement{task: t, worker: w}
		w.add(p)
		trial = append(trial, p)
	}
	for _, p := range trial {
		p.worker.remove(p)
	}
	if len(trial) < len(s.tasks) {
		return
	}
	for _, p := range trial {
		p.task.checkpoint = saved
		c.place(p.task, p.worker, run+1)
	}
}

// gangOrder narrows the candidates to one rack for a gang that is slower on
// several, as long as that rack has room.
func (c *Core) narrowToRack(s *step, placed []*placement, candidates []*worker) []*worker {
	if !s.Tight || len(placed) == 0 {
		return candidates
	}
	rack := placed[0].worker.Rack()
	var same []*worker
	for _, w := range candidates {
		if w.Rack() == rack {
			same = append(same, w)
		}
	}
	for _, w := range same {
		if c.fits(s.tasks[len(placed)], w) {
			return same
		}
	}
	return candidates
}
