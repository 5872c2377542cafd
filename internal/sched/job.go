package sched

import (
	"iter"
	"slices"
	"time"

	"lagoonrack/internal/work"
)

// job is a job with the progress of its tasks.
type job struct {
	work.Job
	// past is the number of occurrences, from 0 on, that are complete and of
	// which nothing runs any more.
	past int
	// occs holds the occurrences from past on that were looked at.
	openOccurrences []*occurrence
	placements      map[*placement]bool
	// begun says that some task was ever started.
	everStarted bool
	// started says that a worker confirmed a start to this owner.
	startConfirmed    bool
	failed, cancelled bool
	complete          bool
	// ended is when the job ended, in milliseconds of the store's clock.
	endedAt int64
	// shown is the state that is stored and may be told.
	visibleState string
	dirty        bool
	// taken is when the job was accepted, by the owner's clock.
	acceptedAt time.Duration
}

// occ is one occurrence of a job's steps. Each is served by its own times: those of
// a timed job may overlap, and one that is late says nothing of the next.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// due is the objective, and rank the place among those of one priority, if they
	// were judged.
	due       time.Duration
	rank      int
	rankKnown bool
	// slack is how much later than now the occurrence could go on and still end in
	// time, or below 0 if it will be late.
	slack time.Duration
	// readyAt is when a step came to its turn last.
	lastReady time.Duration
}

// step is one occurrence of a step.
type step struct {
	*work.Step
	job                     *job
	occurrence              *occurrence
	occurrenceNumber, index int
	tasks                   []*task
	// left is the number of tasks that have not ended well.
	unfinished int
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	// run is the highest run number used.
	lastRun    int64
	done       bool
	failures   int
	checkpoint string
	placements []*placement
	// work is how long the task has worked, at full speed.
	workDone time.Duration
	// left is the worker that the task was taken off last, and leftAt when.
	avoidWorker string
	avoidSince  time.Duration
	// goal is the worker that a moved task is to go to, until goalUntil.
	moveTarget      *worker
	moveTargetUntil time.Duration
	// bad lists workers on which the task failed or stood still.
	failedOn []string
	// stalls counts the runs that were given up since they stood still.
	stalls int
	// since is when the task came to need a place.
	waitingSince time.Duration
}

// place is a run of a task on a worker.
type placement struct {
	task   *task
	run    int64
	worker *worker
	// stored says that the place is committed, sent when it was ordered last,
	// and okay when the start was confirmed.
	stored      bool
	sentAt      time.Duration
	confirmedAt time.Duration
	// adopted says that the place was found by a new owner, which can't know
	// whether the start was ordered.
	adopted bool
	// unsure says that more than one order to start the run may be on its way,
	// so that a refusal of one says nothing of the others.
	multipleOrders bool
	// off is when the worker had certainly taken the stop: the run does not
	// start any more.
	stopAppliedAt time.Duration
	// known says that the worker has listed the run or confirmed its start.
	confirmed bool
	// void says that the run will not start any more if the worker does not
	// list it.
	neverStarts bool
	// stop is why the run is to end, or empty.
	stopReason string
	stopSentAt time.Duration
	percent    int
	// worked is until when the run's work is counted.
	workCountedUntil time.Duration
	checkpoint       string
	measured         int64
	// starved is since when a run that fills gets little of what it asks for,
	// or 0.
	starvedSince time.Duration
	// still is when the worker first listed the present percent.
	percentSince time.Duration
	// unseen counts the lists without the run since it was confirmed.
	missedLists int
	ticket      string
}

func (p *placement) name() string { return p.task.name() }

func (p *placement) runID() work.Run { return work.Run{Task: p.name(), Num: p.run} }

func (t *task) name() string {
	return work.TaskName(t.step.job.ID, t.step.occurrenceNumber, t.step.index, t.index)
}

// waited is how long the task has needed a place since its step came to its turn.
func (c *Core) waitTime(t *task) time.Duration {
	return c.now - max(t.waitingSince, t.step.occurrence.lastReady)
}

// waits reports whether the task needs a place.
func (t *task) waiting() bool { return !t.done && len(t.placements) == 0 }

// over reports whether nothing of the job is to be started any more.
func (j *job) finished() bool { return j.failed || j.cancelled || j.complete }

func newOccurrence(j *job, k int, now time.Duration) *occurrence {
	o := &occurrence{job: j, number: k, lastReady: now}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], job: j, occurrence: o, occurrenceNumber: k, index: i, unfinished: j.Steps[i].Count}
		s.tasks = make([]*task, s.Count)
		for x := range s.tasks {
			s.tasks[x] = &task{step: s, index: x, waitingSince: now}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// turns walks over the steps that have come to their turn and are not done. The
// job's occurrences may change meanwhile.
func (j *job) readySteps() iter.Seq2[*occurrence, *step] {
	return func(yield func(*occurrence, *step) bool) {
		for _, o := range slices.Clone(j.openOccurrences) {
			for _, s := range o.steps {
				if s.unfinished > 0 && o.ready(s) && !yield(o, s) {
					return
				}
			}
		}
	}
}

// ready reports whether all steps that a step waits for have ended.
func (o *occurrence) ready(s *step) bool {
	for _, a := range s.After {
		if o.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

func (o *occurrence) complete() bool {
	for _, s := range o.steps {
		if s.unfinished > 0 {
			return false
		}
	}
	return true
}

// busy reports whether some run of the occurrence may be under way.
func (o *occurrence) hasPlacements() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.placements) > 0 {
				return true
			}
		}
	}
	return false
}

// allDone reports whether all occurrences are complete.
func (j *job) allDone() bool {
	if j.past+len(j.openOccurrences) < j.Occurrences() {
		return false
	}
	for _, o := range j.openOccurrences {
		if !o.complete() {
			return false
		}
	}
	return true
}

// occ returns occurrence k, which must not be past.
func (j *job) occurrence(k int, now time.Duration) *occurrence {
	for len(j.openOccurrences) <= k-j.past {
		j.openOccurrences = append(j.openOccurrences, newOccurrence(j, j.past+len(j.openOccurrences), now))
	}
	return j.openOccurrences[k-j.past]
}

// task returns a task by its place in the job, or nil.
func (j *job) task(p work.TaskID, now time.Duration) *task {
	if p.K < j.past || p.K >= j.Occurrences() || p.Step < 0 || p.Step >= len(j.Steps) {
		return nil
	}
	s := j.occurrence(p.K, now).steps[p.Step]
	if p.Index < 0 || p.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[p.Index]
}

// enter adds a job to the tables.
func (c *Core) addJob(spec work.Job) *job {
	j := &job{Job: spec, placements: map[*placement]bool{}, visibleState: "queued", acceptedAt: c.acceptanceTime(spec)}
	c.jobs[j.ID] = j
	c.active = append(c.active, j)
	return j
}

func (c *Core) submit(spec work.Job) {
	if c.jobs[spec.ID] != nil {
		return
	}
	delete(c.rejected, spec.ID)
	j := c.addJob(spec)
	c.emit(Note{Kind: "job", Job: j.ID, Reason: j.Queue})
	c.changes.addJob(j)
	if c.pendingCancels[j.ID] {
		delete(c.pendingCancels, j.ID)
		c.cancel(j.ID)
	}
}

// cancel withdraws a job and ends what runs of it.
func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil {
		c.pendingCancels[id] = true
		return
	}
	if j.finished() {
		return
	}
	j.cancelled = true
	j.endedAt = c.storeMillis()
	j.visibleState = j.currentState()
	c.emit(Note{Kind: "cancel", Job: id})
	c.stopAll(j, "cancelled")
	c.markDirty(j)
}

func (c *Core) stopAll(j *job, reason string) {
	for _, p := range sortedPlacements(j.placements) {
		c.stop(p, reason)
	}
}

func sortedPlacements(places map[*placement]bool) []*placement {
	out := make([]*placement, 0, len(places))
	for p := range places {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *placement) int {
		if a.task.step.occurrenceNumber != b.task.step.occurrenceNumber {
			return a.task.step.occurrenceNumber - b.task.step.occurrenceNumber
		}
		if a.task.step.index != b.task.step.index {
			return a.task.step.index - b.task.step.index
		}
		if a.task.index != b.task.index {
			return a.task.index - b.task.index
		}
		return int(a.run - b.run)
	})
	return out
}

// now returns the state of the job in memory.
func (j *job) currentState() string {
	switch {
	case j.complete:
		return "completed"
	case j.cancelled:
		return "cancelled"
	case j.failed:
		return "failed"
	case j.everStarted:
		return "running"
	}
	return "queued"
}

// settle moves the job on after a change: complete occurrences are dropped, and
// the new state is shown once it is stored.
func (c *Core) updateJob(j *job) {
	for len(j.openOccurrences) > 0 && j.openOccurrences[0].complete() && !j.openOccurrences[0].hasPlacements() {
		j.openOccurrences = j.openOccurrences[1:]
		j.past++
	}
	if j.allDone() && !j.complete && !j.cancelled {
		j.complete = true
		j.endedAt = c.storeMillis()
		c.emit(Note{Kind: "complete", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	}
	if s := j.currentState(); s != j.visibleState {
		c.afterStored(func() { j.publish(s) })
	}
}

// show lets a stored state be told. A withdrawal is told at once and stays.
func (j *job) publish(s string) {
	if !j.cancelled {
		j.visibleState = s
	}
}

// failJob gives a job up: a task failed too often.
func (c *Core) failJob(j *job) {
	if j.finished() {
		return
	}
	j.failed = true
	j.endedAt = c.storeMillis()
	c.emit(Note{Kind: "fail", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	c.markDirty(j)
	c.stopAll(j, "failed")
	c.updateJob(j)
}

// State returns the state of a job that may be told, or an empty one.
func (c *Core) State(id string) string {
	if j := c.jobs[id]; j != nil {
		return j.visibleState
	}
	return ""
}

// Pending counts, for each queue, the jobs of which no task was started.
func (c *Core) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range c.active {
		if !j.everStarted && !j.finished() {
			out[j.Queue]++
		}
	}
	return out
}
