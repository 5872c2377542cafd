package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/blame"
	"lagoonrack/internal/work"
)

// occurrence is one occurrence of a job's steps. Occurrences are scheduled by their
// own due times: those of a timed job may overlap, and a late one does not make the
// next one late.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// due is when the occurrence should end, and rank its order among occurrences
	// of the same priority. priority is that of the queue.
	due            time.Duration
	rank, priority int
	// slack is how much later than now the remaining work could begin and still end
	// in time. It is negative if the occurrence will be late.
	slack time.Duration
	// order precedes due in the order of occurrences of the same rank. It is 0 unless
	// Limits.Overload is set.
	order float64
	// lastReady is when a step last became ready to run.
	lastReady time.Duration
	// everPlaced says that some task of the occurrence was placed at least once.
	everPlaced bool
}

// step is one occurrence of a job's step.
type step struct {
	*work.Step
	job                     *job
	occurrence              *occurrence
	occurrenceNumber, index int
	tasks                   []*task
	// unfinished is the number of tasks that have not succeeded, and waiting the
	// number of those that need a placement.
	unfinished, waiting int
	// placed is the number of placements on workers.
	placed int
	// everPlaced says that some task of the step was placed at least once.
	everPlaced bool
	// heldLoggedAt is when it was last logged that the step's tasks are held back, or 0.
	heldLoggedAt time.Duration
	// kind is what the ends of the step's runs tell about its tasks.
	kind blame.Kind
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	// lastRun is the highest run number used.
	lastRun    int64
	done       bool
	failures   int
	checkpoint string
	placements []*placement
	// workDone is how long the task has run, converted to full speed.
	workDone time.Duration
	// avoidWorker is the worker that the task was last moved off, and avoidSince
	// when that was.
	avoidWorker string
	avoidSince  time.Duration
	// moveTarget is the worker that a moved task is to go to, until
	// moveTargetUntil.
	moveTarget      *worker
	moveTargetUntil time.Duration
	// failedOn lists the workers on which the task failed or stalled.
	failedOn []string
	// stalls is the number of runs that were stopped because they stalled.
	stalls int
	// waitingSince is when the task last began to need a placement.
	waitingSince time.Duration
}

// placement is a run of a task on a worker.
type placement struct {
	task   *task
	run    int64
	worker *worker
	// id is the identity of the run.
	id work.Run
	// listedIn is the number of the last list of runs that contained the run.
	listedIn uint64
	// stored says that the placement is committed. sentAt is when the start was
	// last ordered, or 0 if it never was, and confirmedAt when it was confirmed.
	stored      bool
	sentAt      time.Duration
	confirmedAt time.Duration
	// adopted says that a new owner found the placement in the store and cannot
	// know whether the start was ordered.
	adopted bool
	// multipleOrders says that more than one order to start the run may be in
	// transit, so that the refusal of one does not tell the outcome of the others.
	multipleOrders bool
	// stopAppliedAt is when the worker was known to have handled the stop. From
	// then on, the run cannot start.
	stopAppliedAt time.Duration
	// confirmed says that the worker has listed the run or confirmed its start.
	confirmed bool
	// startLogged says that the start is logged. That of a confirmed run may not be: the
	// worker has answered that it was started or cancelled before.
	startLogged bool
	// wontStartAgain says that the run was started or cancelled on the worker
	// before, so that no order starts it. If a later list does not contain the run,
	// it is over.
	wontStartAgain bool
	// stopReason is why the run is to end, or empty.
	stopReason string
	stopSentAt time.Duration
	percent    int
	// workCountedUntil is the time up to which the run's work is counted.
	workCountedUntil time.Duration
	checkpoint       string
	// measured is the tail latency in milliseconds of a long-running task with a
	// target, and the thousandths of a core in use of any other.
	measured int64
	// starvedSince is when a best-effort run began to get little of the processor
	// time that it asks for, or 0.
	starvedSince time.Duration
	// staysFor is how long the run was last expected to need where it is, and elsewhere how
	// long on another worker with the move. Both are 0 unless that was weighed.
	staysFor, elsewhere time.Duration
	// percentSince is when the worker first listed the present percent.
	percentSince time.Duration
	// missedLists counts the lists without the run since it was last listed.
	missedLists int
	// ticket is the advisor's permission to run the task on the worker, if needed.
	ticket string
}

// newPlacement returns a placement of a task on a worker.
func newPlacement(t *task, run int64, w *worker) *placement {
	return &placement{task: t, run: run, worker: w, id: work.Run{Task: t.name(), Num: run}, checkpoint: t.checkpoint}
}

// name returns the name of the task.
func (p *placement) name() string { return p.id.Task }

// runID returns the identity of the run.
func (p *placement) runID() work.Run { return p.id }

// name returns the name of the task.
func (t *task) name() string {
	return work.TaskName(t.step.job.ID, t.step.occurrenceNumber, t.step.index, t.index)
}

// waitTime returns how long the task has needed a placement since its step became
// ready.
func (c *Core) waitTime(t *task) time.Duration {
	return c.now - max(t.waitingSince, t.step.occurrence.lastReady)
}

// waiting reports whether the task needs a placement.
func (t *task) waiting() bool { return !t.done && len(t.placements) == 0 }

// attach adds a placement to the task.
func (t *task) attach(p *placement) {
	if t.waiting() {
		t.step.waiting--
	}
	t.placements = append(t.placements, p)
	t.markPlaced()
}

// markPlaced records that the task was placed at least once.
func (t *task) markPlaced() { t.step.everPlaced, t.step.occurrence.everPlaced = true, true }

// detach removes a placement from the task.
func (t *task) detach(p *placement) {
	i := slices.Index(t.placements, p)
	if i < 0 {
		return
	}
	t.placements = slices.Delete(t.placements, i, i+1)
	if t.waiting() {
		t.step.waiting++
	}
}

// succeed marks the task as done.
func (t *task) succeed() {
	if t.waiting() {
		t.step.waiting--
	}
	t.done = true
	t.step.unfinished--
}

// occurrence returns the occurrence with number k, which must not be past, and
// creates it if needed.
func (j *job) occurrence(k int, now time.Duration) *occurrence {
	for len(j.openOccurrences) <= k-j.past {
		j.openOccurrences = append(j.openOccurrences, newOccurrence(j, j.past+len(j.openOccurrences), now))
	}
	return j.openOccurrences[k-j.past]
}

// task returns the task with the ID, or nil. It creates the occurrence if needed.
func (j *job) task(p work.TaskID, now time.Duration) *task {
	if p.K < j.past || p.K >= j.Occurrences() || p.K-j.past >= j.maxOpen() || p.Step < 0 || p.Step >= len(j.Steps) {
		return nil
	}
	s := j.occurrence(p.K, now).steps[p.Step]
	if p.Index < 0 || p.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[p.Index]
}
