package sched

import (
	"math"
	"slices"
	"time"

	"lagoonrack/internal/work"
)

// noteDueOccurrences records the timed jobs of which an occurrence has become due.
func (c *Core) noteDueOccurrences() {
	wallClock, ok := c.wallClock.At(c.now)
	if !ok || wallClock.Milliseconds() < c.nextDue {
		return
	}
	c.nextDue = math.MaxInt64
	c.timed = slices.DeleteFunc(c.timed, func(j *job) bool {
		due, more := j.nextDue()
		if more && !j.finished() && due <= wallClock.Milliseconds() {
			c.changes.addJob(j)
			c.createDueOccurrences(j)
			due, more = j.nextDue()
		}
		if j.finished() || !more {
			return true
		}
		if len(j.openOccurrences) >= j.maxOpen() {
			due = wallClock.Milliseconds() + fullJobRetry.Milliseconds()
		}
		c.nextDue = min(c.nextDue, due)
		return false
	})
}

// fullJobRetry is the wait before a timed job that has as many open occurrences as it may
// have is looked at again.
const fullJobRetry = time.Second

// maxOpenTasks bounds the tasks of a job's open occurrences, so that a timed job whose
// occurrences come faster than they end does not take all memory.
const maxOpenTasks = 20_000

// maxOpen returns the number of occurrences of the job that may be open at a time.
func (j *job) maxOpen() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return max(1, maxOpenTasks/max(1, tasks))
}

// nextDue returns when the next occurrence of a timed job becomes due, in milliseconds
// since 1970. It returns false if there is none.
func (j *job) nextDue() (int64, bool) {
	k := j.past + len(j.openOccurrences)
	return j.First + int64(k)*j.Every, k < j.Times
}

// createDueOccurrences creates the occurrences of a job that are due.
func (c *Core) createDueOccurrences(j *job) {
	if j.Times <= 0 {
		if len(j.openOccurrences) == 0 {
			j.occurrence(0, c.now)
		}
		return
	}
	wallClock, ok := c.wallClock.At(c.now)
	if !ok {
		return
	}
	for k := j.past + len(j.openOccurrences); k < j.Times && len(j.openOccurrences) < j.maxOpen(); k++ {
		if wallClock.Milliseconds() < j.First+int64(k)*j.Every {
			return
		}
		j.occurrence(k, c.now)
	}
}

// scheduleStep places the waiting tasks of a step on the given workers. It reports
// whether it placed all of them.
func (c *Core) scheduleStep(s *step, schedulable []*worker) bool {
	candidates := c.candidates(s, schedulable)
	if len(candidates) == 0 {
		return false
	}
	if s.Gang {
		c.scheduleGang(s, candidates)
		if s.waiting > 0 {
			c.consultFurther(s, schedulable)
		}
		return s.waiting == 0
	}
	l := c.newShortlist(s, candidates)
	for _, t := range s.tasks {
		if !t.waiting() {
			continue
		}
		o := c.choose(l, t)
		if o == nil {
			c.consultFurther(s, schedulable)
			return false
		}
		c.place(t, o.worker, t.lastRun+1)
		if s.waiting == 0 {
			return true
		}
		if *o = c.evaluate(s, o.worker); c.exhaustive {
			l = c.newShortlist(s, candidates)
		}
	}
	return true
}

// candidates lists the workers that may run a step by its queue, its labels and the
// advisor, which is asked if tasks wait and it has named no worker. The result may be
// the given slice, so it must not be changed.
func (c *Core) candidates(s *step, schedulable []*worker) []*worker {
	out := c.eligible(s, schedulable)
	if !s.job.inForce.Advised {
		return out
	}
	advised := slices.DeleteFunc(slices.Clone(out), func(w *worker) bool {
		_, ok := c.ticket(s, w)
		return !ok
	})
	if len(advised) == 0 && c.couldUseTicket(s, out) {
		c.consult(s, out, false)
	}
	return advised
}

// couldUseTicket reports whether a ticket for one of the workers, as soon as that has the
// capacity, lets a waiting task of the step start. If not, a question would only keep the
// advisor from answering others, and its answer might expire unused.
func (c *Core) couldUseTicket(s *step, workers []*worker) bool {
	t := s.firstWaiting()
	return t != nil && slices.ContainsFunc(workers, func(w *worker) bool { return c.allowed(t, w) })
}

// eligible lists the workers that may run a step by its queue and labels.
func (c *Core) eligible(s *step, schedulable []*worker) []*worker {
	suits := func(w *worker) bool { return w.Service == s.job.service && w.hasLabel(s.Needs) }
	var out []*worker
	for i, w := range schedulable {
		switch {
		case suits(w) && out != nil:
			out = append(out, w)
		case !suits(w) && out == nil:
			// Usually all workers suit, and the list is not copied.
			out = append(make([]*worker, 0, len(schedulable)), schedulable[:i]...)
		}
	}
	if out == nil {
		return schedulable
	}
	return out
}

// name returns the name of the step's occurrence, which is a task's name without
// the index.
func (s *step) name() string { return work.StepName(s.job.ID, s.occurrenceNumber, s.index) }

// fits reports whether a worker may take a task now.
func (c *Core) fits(t *task, w *worker) bool {
	s := t.step
	if !s.Reserved().Fits(w.free()) || s.Apart > 0 && s.countOn(w) >= s.Apart || !c.allowed(t, w) {
		return false
	}
	return !s.Fills || c.mustStart(t) || c.bestEffortFits(t, w)
}

// countOn counts the step's placements on a worker.
func (s *step) countOn(w *worker) int {
	if s.placed == 0 {
		return 0
	}
	return w.stepCounts[s]
}

// mayProbe reports whether a suspect worker may get the task as a test run: the last test
// run must be long enough ago, and a task whose next failure fails the job waits for a
// worker that is not suspect. The wait is bounded, since all workers may be suspect.
func (c *Core) mayProbe(t *task, w *worker) bool {
	sinceProbe := c.now - w.lastProbe
	if c.waitTime(t) >= exclusionPatience && (t.step.Lasts || t.step.job.placements.len() == 0) {
		return sinceProbe > urgentProbeInterval
	}
	return !c.lastAttempt(t) && sinceProbe > probeInterval
}

// lastAttempt reports whether another failure of the task fails the job.
func (c *Core) lastAttempt(t *task) bool {
	return !t.step.Lasts && t.step.job.maxAttempts()-t.step.countFailures(t) <= 1
}

const (
	// exclusionPatience is how long a task that lasts, or a job of which nothing runs, waits
	// for a worker that nothing speaks against while others have the capacity. Waits of up
	// to 3 s are acceptable, and an advisor may have to be asked after this one.
	exclusionPatience = 1500 * time.Millisecond
	// preferredWeight ranks a worker with the preferred label above all others.
	preferredWeight = 10
	// failedWeight ranks suspect workers and those where the task has failed below
	// all others.
	failedWeight = 100
	// spreadWeight spreads the tasks of a step if nothing else decides.
	spreadWeight = 0.02
)

// place assigns a task to a worker. The start is ordered once the placement is
// stored.
func (c *Core) place(t *task, w *worker, run int64) {
	t.lastRun = run
	p := newPlacement(t, run, w)
	if t.step.job.inForce.Advised {
		p.ticket, _ = c.ticket(t.step, w)
	}
	w.add(p)
	if t.step.Fills {
		w.bestEffortChanged = c.now
	}
	if c.suspect(w) {
		w.lastProbe = c.now
	}
	j := t.step.job
	t.attach(p)
	j.placements.add(p)
	c.markDirty(j, j.rowOf(t))
	c.emit(Decision{Kind: "place", Task: p.name(), Run: run, Worker: w.ID, Reason: rankNames[t.step.occurrence.rank], Took: c.waitTime(t), Expectation: c.expectation(p)})
	c.afterStored(func() { c.handlePlacementStored(p) })
	c.updateJob(j)
}

// handlePlacementStored orders the start of a stored placement unless it was
// released or stopped in the meantime.
func (c *Core) handlePlacementStored(p *placement) {
	if !p.worker.placements.contains(p) {
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
	c.consultFurther(s, schedulable)
	return false
}

// consultFurther asks the advisor about further workers if those that it has allowed can't take
// a step's task.
func (c *Core) consultFurther(s *step, schedulable []*worker) {
	if s.job.inForce.Advised {
		c.consult(s, c.eligible(s, schedulable), true)
	}
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
		w := c.chooseAmong(t, c.narrowToRack(s, trial, candidates))
		if w == nil {
			break
		}
		p := newPlacement(t, 0, w)
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
