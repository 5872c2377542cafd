package sched

import (
	"iter"
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/states"
	"lagoonrack/internal/work"
)

// job is a job and the progress of its tasks.
type job struct {
	work.Job
	// inForce are the terms by which the job is scheduled, and service is that whose workers
	// run it: see Core.updateTerms.
	inForce work.Terms
	service string
	// past is the number of occurrences, counted from the first, that are complete
	// and have no placements any more.
	past int
	// openOccurrences holds the occurrences created so far, from number past on.
	openOccurrences []*occurrence
	placements      placementSet
	// started says that a worker has shown that it started a task: by the outcome of an
	// order, a list of its runs or an end. A placement alone does not show that, since its
	// order may never arrive.
	started           bool
	failed, cancelled bool
	complete          bool
	// endedAt is when the job ended, in milliseconds of the store's clock, or 0. endStored
	// says that this is stored.
	endedAt   int64
	endStored bool
	// rowVersion is the version of the row that accepted the job, or 0 if that is not
	// known, and cancelStored says that there is a row that cancels it.
	rowVersion   uint64
	cancelStored bool
	// visibleState is the state reported to clients. Except for a cancellation it
	// is always stored already.
	visibleState string
	// rows holds which rows of the progress are stored and which have to be.
	rows states.Rows
	// acceptedAt is when the job was accepted, by the owner's clock. With Limits.Overload set, it
	// is when the job was first submitted.
	acceptedAt time.Duration
	// seq numbers the jobs in the order in which the owner learned of them.
	seq int
	// countedPending says that the job is counted in Core.pending.
	countedPending bool
}

// finished reports whether no task of the job is to be started any more.
func (j *job) finished() bool { return j.failed || j.cancelled || j.complete }

// newOccurrence creates an occurrence of which no task has run.
func newOccurrence(j *job, k int, now time.Duration) *occurrence {
	o := &occurrence{job: j, number: k, lastReady: now}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], job: j, occurrence: o, occurrenceNumber: k, index: i, unfinished: j.Steps[i].Count, waiting: j.Steps[i].Count}
		s.tasks = make([]*task, s.Count)
		for x := range s.tasks {
			s.tasks[x] = &task{step: s, index: x, waitingSince: now}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// readySteps iterates over the steps that are ready to run and not done. Occurrences
// that are added or dropped during the iteration do not count.
func (j *job) readySteps() iter.Seq2[*occurrence, *step] {
	return func(yield func(*occurrence, *step) bool) {
		for _, o := range j.openOccurrences {
			for _, s := range o.steps {
				if s.unfinished > 0 && o.ready(s) && !yield(o, s) {
					return
				}
			}
		}
	}
}

// ready reports whether all steps that a step depends on have ended.
func (o *occurrence) ready(s *step) bool {
	for _, a := range s.After {
		if o.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// complete reports whether all tasks of the occurrence have succeeded.
func (o *occurrence) complete() bool {
	for _, s := range o.steps {
		if s.unfinished > 0 {
			return false
		}
	}
	return true
}

// hasPlacements reports whether some run of the occurrence may be active.
func (o *occurrence) hasPlacements() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.placed > 0 })
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

// openTask returns the task with the ID if its occurrence exists already, or nil.
func (j *job) openTask(p work.TaskID) *task {
	if p.K < j.past || p.K >= j.past+len(j.openOccurrences) {
		return nil
	}
	return j.task(p, 0)
}

// addJob adds a job to the owner's tables.
func (c *Core) addJob(spec work.Job) *job {
	c.jobCount++
	j := &job{Job: spec, visibleState: "queued", acceptedAt: c.acceptanceTime(spec.At), seq: c.jobCount}
	if c.limits.Overload && spec.Submitted > 0 {
		j.acceptedAt = min(j.acceptedAt, c.acceptanceTime(spec.Submitted))
	}
	j.rows = states.New(&j.Job, c.limits.TasksPerRow, c.limits.rowBytes())
	c.updateTerms(j)
	c.jobs[j.ID] = j
	c.active = append(c.active, j)
	if j.Times > 0 {
		c.timed = append(c.timed, j)
	}
	c.updatePending(j)
	c.noteArrival(j)
	return j
}

// submit adds a job whose row is stored.
func (c *Core) submit(e Submit) {
	id := e.Job.ID
	if j := c.jobs[id]; j != nil {
		j.rowVersion = max(j.rowVersion, e.Version)
		return
	}
	if c.barred[id] || c.isDeleted(id, e.Version) {
		return
	}
	if r := c.rejected[id]; r.Cancelled && (r.Queue == e.Job.Queue || r.Queue == "") && e.Version <= r.Version {
		// A job of that ID whose rows were deleted since.
		return
	}
	delete(c.rejected, id)
	j := c.addJob(e.Job)
	j.rowVersion = e.Version
	if _, again := c.deleted[id]; again {
		// The record of the earlier job's progress may still be stored.
		c.markDirty(j, mainRow)
	}
	c.emit(Decision{Kind: "job", Job: j.ID, Reason: j.Queue})
	c.changes.addJob(j)
	if j.Times > 0 {
		c.nextDue = 0
	}
	if c.pendingCancels[j.ID] {
		delete(c.pendingCancels, j.ID)
		c.cancel(j.ID)
	}
}

// cancel cancels a job and stops its runs.
func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil {
		if _, deleted := c.deleted[id]; !deleted {
			c.pendingCancels[id] = true
		}
		return
	}
	j.cancelStored = true
	if j.finished() {
		return
	}
	j.cancelled = true
	c.setEnded(j)
	j.visibleState = j.currentState()
	c.updatePending(j)
	c.emit(Decision{Kind: "cancel", Job: id})
	c.stopAll(j, "cancelled")
}

// stopAll stops all runs of a job.
func (c *Core) stopAll(j *job, reason string) {
	for _, p := range j.placements.sorted() {
		c.stop(p, reason)
	}
}

// currentState returns the state of the job in memory, which may not be stored yet.
func (j *job) currentState() string {
	switch {
	case j.complete:
		return "completed"
	case j.cancelled:
		return "cancelled"
	case j.failed:
		return "failed"
	case j.started:
		return "running"
	}
	return "queued"
}

// updateJob drops complete occurrences after a change, completes the job if all are
// complete, and publishes a new state once it is stored.
func (c *Core) updateJob(j *job) {
	past := j.past
	for len(j.openOccurrences) > 0 && j.openOccurrences[0].complete() && !j.openOccurrences[0].hasPlacements() {
		j.openOccurrences = j.openOccurrences[1:]
		j.past++
	}
	if j.past > past {
		c.markDirty(j, mainRow)
		c.dropPastPages(j)
	}
	if j.allDone() && !j.complete && !j.cancelled {
		j.complete = true
		c.setEnded(j)
		c.emit(Decision{Kind: "complete", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	}
	c.updatePending(j)
	c.showState(j)
}

// noteStarted records that a worker has shown that it started a task of the job.
func (c *Core) noteStarted(j *job) {
	if j.started {
		return
	}
	j.started = true
	c.emit(Decision{Kind: "first", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	c.markDirty(j, mainRow)
	c.updatePending(j)
	c.showState(j)
}

// showState publishes the state of a job once it is stored.
func (c *Core) showState(j *job) {
	if s := j.currentState(); s != j.visibleState {
		c.afterStored(func() { j.publish(s) })
	}
}

// publish makes a stored state visible. A cancellation is visible at once and
// final.
func (j *job) publish(s string) {
	if !j.cancelled {
		j.visibleState = s
	}
}

// failJob fails a job because one of its tasks failed too often.
func (c *Core) failJob(j *job) {
	if j.finished() {
		return
	}
	j.failed = true
	c.setEnded(j)
	c.emit(Decision{Kind: "fail", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	c.stopAll(j, "failed")
	c.updateJob(j)
}

// setEnded records that a job has ended now.
func (c *Core) setEnded(j *job) {
	j.endedAt = c.storeMillis()
	c.markDirty(j, mainRow)
	c.afterStored(func() { j.endStored = true })
}

// State returns the state of a job that clients may see, or "" for an unknown job.
func (c *Core) State(id string) string {
	return c.Find(id).State
}

// Find returns the state of a job that clients may see, and its queue.
func (c *Core) Find(id string) work.Found {
	if j := c.jobs[id]; j != nil {
		return work.Found{State: j.visibleState, Queue: j.Queue}
	}
	return work.Found{}
}

// Pending counts, by queue, the jobs of which no task was started.
func (c *Core) Pending() map[string]int { return maps.Clone(c.pending) }

// updatePending updates the count of jobs of which no task was started after a change
// of a job.
func (c *Core) updatePending(j *job) {
	pending := !j.started && !j.finished()
	if pending == j.countedPending {
		return
	}
	j.countedPending = pending
	if pending {
		c.pending[j.Queue]++
	} else if c.pending[j.Queue]--; c.pending[j.Queue] == 0 {
		delete(c.pending, j.Queue)
	}
}
