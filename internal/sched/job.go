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
	occs   []*occ
	places map[*place]bool
	// begun says that some task was ever started.
	begun bool
	// started says that a worker confirmed a start to this owner.
	started           bool
	failed, cancelled bool
	complete          bool
	// ended is when the job ended, in milliseconds of the store's clock.
	ended int64
	// shown is the state that is stored and may be told.
	shown string
	dirty bool
	// taken is when the job was accepted, by the owner's clock.
	taken time.Duration
}

// occ is one occurrence of a job's steps. Each is served by its own times: those of
// a timed job may overlap, and one that is late says nothing of the next.
type occ struct {
	job   *job
	k     int
	steps []*step
	// due is the objective, and rank the place among those of one priority, if they
	// were judged.
	due    time.Duration
	rank   int
	judged bool
	// slack is how much later than now the occurrence could go on and still end in
	// time, or below 0 if it will be late.
	slack time.Duration
	// readyAt is when a step came to its turn last.
	readyAt time.Duration
}

// step is one occurrence of a step.
type step struct {
	*work.Step
	job      *job
	occ      *occ
	k, index int
	tasks    []*task
	// left is the number of tasks that have not ended well.
	left int
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	// run is the highest run number used.
	run    int64
	done   bool
	fails  int
	saved  string
	places []*place
	// work is how long the task has worked, at full speed.
	work time.Duration
	// left is the worker that the task was taken off last, and leftAt when.
	left   string
	leftAt time.Duration
	// goal is the worker that a moved task is to go to, until goalUntil.
	goal      *worker
	goalUntil time.Duration
	// bad lists workers on which the task failed or stood still.
	bad []string
	// stalls counts the runs that were given up since they stood still.
	stalls int
	// since is when the task came to need a place.
	since time.Duration
}

// place is a run of a task on a worker.
type place struct {
	task   *task
	run    int64
	worker *worker
	// stored says that the place is committed, sent when it was ordered last,
	// and okay when the start was confirmed.
	stored bool
	sent   time.Duration
	okay   time.Duration
	// adopted says that the place was found by a new owner, which can't know
	// whether the start was ordered.
	adopted bool
	// unsure says that more than one order to start the run may be on its way,
	// so that a refusal of one says nothing of the others.
	unsure bool
	// off is when the worker had certainly taken the stop: the run does not
	// start any more.
	off time.Duration
	// known says that the worker has listed the run or confirmed its start.
	known bool
	// void says that the run will not start any more if the worker does not
	// list it.
	void bool
	// stop is why the run is to end, or empty.
	stop     string
	stopSent time.Duration
	percent  int
	// worked is until when the run's work is counted.
	worked time.Duration
	saved  string
	figure int64
	// starved is since when a run that fills gets little of what it asks for,
	// or 0.
	starved time.Duration
	// still is when the worker first listed the present percent.
	still time.Duration
	// unseen counts the lists without the run since it was confirmed.
	unseen int
	ticket string
}

func (p *place) name() string { return p.task.name() }

func (p *place) ref() work.Run { return work.Run{Task: p.name(), Num: p.run} }

func (t *task) name() string {
	return work.TaskName(t.step.job.ID, t.step.k, t.step.index, t.index)
}

// waited is how long the task has needed a place since its step came to its turn.
func (c *Core) waited(t *task) time.Duration {
	return c.now - max(t.since, t.step.occ.readyAt)
}

// waits reports whether the task needs a place.
func (t *task) waits() bool { return !t.done && len(t.places) == 0 }

// over reports whether nothing of the job is to be started any more.
func (j *job) over() bool { return j.failed || j.cancelled || j.complete }

func newOcc(j *job, k int, now time.Duration) *occ {
	o := &occ{job: j, k: k, readyAt: now}
	for i := range j.Steps {
		s := &step{Step: &j.Steps[i], job: j, occ: o, k: k, index: i, left: j.Steps[i].Count}
		s.tasks = make([]*task, s.Count)
		for x := range s.tasks {
			s.tasks[x] = &task{step: s, index: x, since: now}
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// turns walks over the steps that have come to their turn and are not done. The
// job's occurrences may change meanwhile.
func (j *job) turns() iter.Seq2[*occ, *step] {
	return func(yield func(*occ, *step) bool) {
		for _, o := range slices.Clone(j.occs) {
			for _, s := range o.steps {
				if s.left > 0 && o.ready(s) && !yield(o, s) {
					return
				}
			}
		}
	}
}

// ready reports whether all steps that a step waits for have ended.
func (o *occ) ready(s *step) bool {
	for _, a := range s.After {
		if o.steps[a].left > 0 {
			return false
		}
	}
	return true
}

func (o *occ) complete() bool {
	for _, s := range o.steps {
		if s.left > 0 {
			return false
		}
	}
	return true
}

// busy reports whether some run of the occurrence may be under way.
func (o *occ) busy() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.places) > 0 {
				return true
			}
		}
	}
	return false
}

// allDone reports whether all occurrences are complete.
func (j *job) allDone() bool {
	if j.past+len(j.occs) < j.Occurrences() {
		return false
	}
	for _, o := range j.occs {
		if !o.complete() {
			return false
		}
	}
	return true
}

// occ returns occurrence k, which must not be past.
func (j *job) occ(k int, now time.Duration) *occ {
	for len(j.occs) <= k-j.past {
		j.occs = append(j.occs, newOcc(j, j.past+len(j.occs), now))
	}
	return j.occs[k-j.past]
}

// task returns a task by its place in the job, or nil.
func (j *job) task(p work.TaskID, now time.Duration) *task {
	if p.K < j.past || p.K >= j.Occurrences() || p.Step < 0 || p.Step >= len(j.Steps) {
		return nil
	}
	s := j.occ(p.K, now).steps[p.Step]
	if p.Index < 0 || p.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[p.Index]
}

// enter adds a job to the tables.
func (c *Core) enter(spec work.Job) *job {
	j := &job{Job: spec, places: map[*place]bool{}, shown: "queued", taken: c.takenAt(spec)}
	c.jobs[j.ID] = j
	c.active = append(c.active, j)
	return j
}

func (c *Core) submit(spec work.Job) {
	if c.jobs[spec.ID] != nil {
		return
	}
	delete(c.declined, spec.ID)
	j := c.enter(spec)
	c.emit(Note{Kind: "job", Job: j.ID, Reason: j.Queue})
	c.news.job(j)
	if c.cancels[j.ID] {
		delete(c.cancels, j.ID)
		c.cancel(j.ID)
	}
}

// cancel withdraws a job and ends what runs of it.
func (c *Core) cancel(id string) {
	j := c.jobs[id]
	if j == nil {
		c.cancels[id] = true
		return
	}
	if j.over() {
		return
	}
	j.cancelled = true
	j.ended = c.clock()
	j.shown = j.now()
	c.emit(Note{Kind: "cancel", Job: id})
	c.stopAll(j, "cancelled")
	c.touch(j)
}

func (c *Core) stopAll(j *job, reason string) {
	for _, p := range sorted(j.places) {
		c.stop(p, reason)
	}
}

func sorted(places map[*place]bool) []*place {
	out := make([]*place, 0, len(places))
	for p := range places {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b *place) int {
		if a.task.step.k != b.task.step.k {
			return a.task.step.k - b.task.step.k
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
func (j *job) now() string {
	switch {
	case j.complete:
		return "completed"
	case j.cancelled:
		return "cancelled"
	case j.failed:
		return "failed"
	case j.begun:
		return "running"
	}
	return "queued"
}

// settle moves the job on after a change: complete occurrences are dropped, and
// the new state is shown once it is stored.
func (c *Core) settle(j *job) {
	for len(j.occs) > 0 && j.occs[0].complete() && !j.occs[0].busy() {
		j.occs = j.occs[1:]
		j.past++
	}
	if j.allDone() && !j.complete && !j.cancelled {
		j.complete = true
		j.ended = c.clock()
		c.emit(Note{Kind: "complete", Job: j.ID, Reason: j.Queue, Took: c.now - j.taken})
	}
	if s := j.now(); s != j.shown {
		c.after(func() { j.show(s) })
	}
}

// show lets a stored state be told. A withdrawal is told at once and stays.
func (j *job) show(s string) {
	if !j.cancelled {
		j.shown = s
	}
}

// failJob gives a job up: a task failed too often.
func (c *Core) failJob(j *job) {
	if j.over() {
		return
	}
	j.failed = true
	j.ended = c.clock()
	c.emit(Note{Kind: "fail", Job: j.ID, Reason: j.Queue, Took: c.now - j.taken})
	c.touch(j)
	c.stopAll(j, "failed")
	c.settle(j)
}

// State returns the state of a job that may be told, or an empty one.
func (c *Core) State(id string) string {
	if j := c.jobs[id]; j != nil {
		return j.shown
	}
	return ""
}

// Pending counts, for each queue, the jobs of which no task was started.
func (c *Core) Pending() map[string]int {
	out := map[string]int{}
	for _, j := range c.active {
		if !j.begun && !j.over() {
			out[j.Queue]++
		}
	}
	return out
}
