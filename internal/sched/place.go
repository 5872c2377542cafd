package sched

import (
	"cmp"
	"slices"
	"sync"

	"lagoonrack/internal/work"
)

// changeSet holds what changed since the last scheduling pass. A pass over all
// waiting tasks and all workers takes milliseconds on a loaded cell, and hundreds
// of tasks end each second. After an end, therefore, tasks that could not be placed
// before are tried only on the workers with new free capacity, and tasks of changed
// jobs on all workers. Whatever depends on time is tried with each tick.
type changeSet struct {
	all     bool
	jobs    map[*job]bool
	workers map[*worker]bool
}

// addJob records that more tasks of a job may be waiting than before.
func (n *changeSet) addJob(j *job) {
	if n.jobs == nil {
		n.jobs = map[*job]bool{}
	}
	n.jobs[j] = true
}

// addWorker records that a worker may take tasks that it could not take before.
func (n *changeSet) addWorker(w *worker) {
	if n.workers == nil {
		n.workers = map[*worker]bool{}
	}
	n.workers[w] = true
}

// empty reports whether nothing changed.
func (n *changeSet) empty() bool { return !n.all && len(n.jobs) == 0 && len(n.workers) == 0 }

// schedule places waiting tasks, in the order of their occurrences' ranks.
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
				// A gang needs free capacity on several workers at a time, and the
				// advisor is asked about all workers in one call.
				c.scheduleStep(s, allWorkers())
			case len(changed) > 0:
				c.scheduleStep(s, changed)
			}
		}
	}
}

// schedulableWorkers lists the workers that may get new runs.
func (c *Core) schedulableWorkers() []*worker {
	var out []*worker
	for _, k := range sortedKeys(c.workers) {
		if w := c.workers[k]; c.schedulable(w) {
			out = append(out, w)
		}
	}
	return out
}

// schedulableOf lists those of the given workers that may get new runs.
func (c *Core) schedulableOf(workers map[*worker]bool) []*worker {
	var out []*worker
	for w := range workers {
		if c.schedulable(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(incarnationKey(a.Life), incarnationKey(b.Life)) })
	return out
}

// createDueOccurrences creates the occurrences of a job that are due.
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

// scheduleStep places the waiting tasks of a step on the given workers.
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

// candidates lists the workers that may run a step by its queue, its labels and the
// advisor. The advisor is asked if tasks wait and it has named no worker.
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

// hasWaitingTasks reports whether some task of the step needs a placement.
func (s *step) hasWaitingTasks() bool { return slices.ContainsFunc(s.tasks, (*task).waiting) }

// name returns the name of the step's occurrence, which is a task's name without
// the index.
func (s *step) name() string { return work.StepName(s.job.ID, s.occurrenceNumber, s.index) }

// choose returns the best worker for a task, or nil if no candidate can take it
// now.
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

// countOn counts the step's placements on a worker.
func (s *step) countOn(w *worker) int {
	n := 0
	for p := range w.placements {
		if p.task.step == s {
			n++
		}
	}
	return n
}

// mayProbe reports whether a suspect worker may get the task as a test run: another
// failure must not fail the job, and the last test run must be long enough ago.
func (c *Core) mayProbe(t *task, w *worker) bool {
	if c.maxAttempts(t.step.job)-t.failures <= 1 && !t.step.Lasts {
		return false
	}
	return c.now-w.lastProbe > probeInterval
}

const (
	// preferredWeight ranks a worker with the preferred label above all others.
	preferredWeight = 10
	// failedWeight ranks suspect workers and those where the task has failed below
	// all others.
	failedWeight = 100
	// spreadWeight spreads the tasks of a step if nothing else decides.
	spreadWeight = 0.02
)

// score rates how well a worker suits a task that fits on it.
func (c *Core) score(t *task, w *worker) float64 {
	s := t.step
	var v float64
	if s.Fills {
		v = c.bestEffortScore(s, w)
	} else {
		// The fullest worker comes first, so that some workers stay free of
		// latency-critical tasks and best-effort tasks there interfere with none.
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

// place assigns a task to a worker. The start is ordered once the placement is
// stored.
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
	c.emit(Decision{Kind: "place", Task: p.name(), Run: run, Worker: w.ID, Reason: rankNames[t.step.occurrence.rank], Took: c.waitTime(t)})
	c.afterStored(func() { c.handlePlacementStored(p) })
	c.updateJob(j)
}

// handlePlacementStored orders the start of a stored placement unless it was
// released or stopped in the meantime.
func (c *Core) handlePlacementStored(p *placement) {
	if !p.worker.placements[p] {
		return
	}
	p.stored = true
	if p.stopReason == "" {
		c.orderStart(p)
	}
}

// fitsElsewhere reports whether another worker could take the task of a placement.
// If not, it asks the advisor for further workers.
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

// scheduleGang starts the tasks of a gang together if there is capacity for all of
// them. All members get the same run number and the same checkpoint.
func (c *Core) scheduleGang(s *step, candidates []*worker) {
	var run int64
	checkpoint := ""
	for _, t := range s.tasks {
		if t.done || len(t.placements) > 0 {
			return
		}
		run = max(run, t.lastRun)
		if t.checkpoint != "" {
			checkpoint = t.checkpoint
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
		p.task.checkpoint = checkpoint
		c.place(p.task, p.worker, run+1)
	}
}

// narrowToRack limits the candidates of a gang that is slower across racks to the
// first member's rack if a worker there can take the next member.
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
