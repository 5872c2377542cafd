// Package worker is a stand-in for the platform's task runtime on one VM. It simulates
// tasks by waiting for their run time, stops a task whose lease expires on the worker's
// clock, and rejects orders of an older term.
//
// Each call passes the current time, so a worker can be used in real time and in
// virtual time.
package worker

import (
	"sort"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// Worker is an incarnation of a stand-in worker.
type Worker struct {
	// Name, Incarnation and Size must be set before use and not changed later.
	Name        string
	Incarnation string
	Size        vect.Size
	// Fail makes every task fail soon after its start.
	Fail bool
	// Watch is called when an attempt of a task starts or stops running. It may
	// be nil.
	Watch func(now time.Duration, task string, attempt int, running bool)
	// Slow multiplies the run time of tasks, if above 1.
	Slow float64

	now  time.Duration
	term uint64
	// latestUntil is the latest Until of all orders that were accepted. Orders
	// with an earlier Until respond to an older report and are rejected, since
	// they could start an attempt again that has ended in the meantime.
	latestUntil time.Duration
	tasks       map[string]*task
}

// task is the latest known attempt of a task, which may have ended.
type task struct {
	run plat.Run
	// until is the end of the lease.
	until   time.Duration
	started time.Duration
	state   plat.State
	// remaining is the run time that remained at started.
	remaining time.Duration
	// savedWork is the run time that earlier attempts saved in a checkpoint.
	savedWork time.Duration
}

// failAfter is the longest time for which a task runs on a worker with Fail set.
const failAfter = 200 * time.Millisecond

// Poll returns the worker's report as of now.
func (w *Worker) Poll(now time.Duration) plat.Report {
	w.Advance(now)
	r := plat.Report{Incarnation: w.Incarnation, Clock: now, Term: w.term, Size: w.Size}
	for _, t := range w.sortedTasks() {
		r.Tasks = append(r.Tasks, t.state)
	}
	return r
}

// sortedTasks returns the tasks sorted by name.
func (w *Worker) sortedTasks() []*task {
	out := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].run.Task < out[j].run.Task })
	return out
}

// Running returns the number of running tasks.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.tasks {
		if !t.state.Done {
			n++
		}
	}
	return n
}

// Advance sets the current time, unless it is earlier than before, and ends the tasks
// whose run time or lease has ended by then.
func (w *Worker) Advance(now time.Duration) {
	w.now = max(w.now, now)
	for _, t := range w.sortedTasks() {
		if t.state.Done {
			continue
		}
		end := t.started + t.remaining
		switch {
		case end <= t.until && end <= w.now:
			t.state.Failed = w.Fail
			w.finish(t, end)
		case t.until <= w.now:
			t.state.Stopped = true
			w.finish(t, t.until)
		}
	}
}

// Next returns when the next running task ends or its lease expires, and whether any
// task is running.
func (w *Worker) Next() (time.Duration, bool) {
	var at time.Duration
	found := false
	for _, t := range w.tasks {
		if t.state.Done {
			continue
		}
		e := min(t.started+t.remaining, t.until)
		if !found || e < at {
			at, found = e, true
		}
	}
	return at, found
}

// finish ends a task.
func (w *Worker) finish(t *task, at time.Duration) {
	t.state.Done = true
	w.notify(at, t, false)
}

// notify calls Watch, if it is set.
func (w *Worker) notify(at time.Duration, t *task, running bool) {
	if w.Watch != nil {
		w.Watch(at, t.run.Task, t.run.Attempt, running)
	}
}

// Apply carries out orders, or returns plat.ErrFenced. If the only reason to reject
// them is that their lease end, Until, has passed, it still carries out those in
// Forget and Stops before it returns the error.
func (w *Worker) Apply(now time.Duration, o plat.Orders) error {
	w.Advance(now)
	if o.Term < w.term || o.Incarnation != w.Incarnation || o.Until < w.latestUntil {
		return plat.ErrFenced
	}
	w.term = o.Term
	w.latestUntil = o.Until
	for _, id := range o.Forget {
		if t := w.tasks[id.Task]; t != nil && t.state.Done && t.run.Attempt == id.Attempt {
			delete(w.tasks, id.Task)
		}
	}
	for _, s := range o.Stops {
		w.stop(s)
	}
	if o.Until <= w.now {
		return plat.ErrFenced
	}
	for _, id := range o.Keep {
		if t := w.tasks[id.Task]; t != nil && !t.state.Done && t.run.Attempt == id.Attempt {
			t.until = max(t.until, o.Until)
		}
	}
	for _, r := range o.Starts {
		w.start(r, o.Until)
	}
	return nil
}

// start starts an attempt, unless the task is running or an equal or later attempt is
// known. For the running attempt it only renews the lease.
func (w *Worker) start(r plat.Run, until time.Duration) {
	if old := w.tasks[r.Task]; old != nil {
		if old.run.Attempt == r.Attempt && !old.state.Done {
			old.until = max(old.until, until)
		}
		if old.run.Attempt >= r.Attempt || !old.state.Done {
			return
		}
	}
	t := &task{run: r, until: until, started: w.now, remaining: r.Length}
	t.savedWork = workInCheckpoint(r.Resume)
	t.remaining -= t.savedWork
	if w.Slow > 1 {
		t.remaining = time.Duration(float64(t.remaining) * w.Slow)
	}
	if w.Fail {
		t.remaining = min(t.remaining, failAfter)
	}
	t.state = plat.State{Ref: r.Ref, Used: r.Size, Saved: r.Resume}
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[r.Task] = t
	w.notify(w.now, t, true)
}

// stop ends an attempt. An unknown attempt is recorded as stopped, so that a start
// order for it that arrives later has no effect.
func (w *Worker) stop(s plat.Stop) {
	t := w.tasks[s.Task]
	if t == nil || t.run.Attempt < s.Attempt && t.state.Done {
		w.recordStopped(s)
		return
	}
	if t.run.Attempt != s.Attempt || t.state.Done {
		return
	}
	if s.Save {
		t.state.Saved = checkpointName(t.savedWork + w.now - t.started)
	}
	t.state.Stopped = true
	w.finish(t, w.now)
}

// recordStopped records an attempt that never started as stopped.
func (w *Worker) recordStopped(s plat.Stop) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[s.Task] = &task{
		run:   plat.Run{Ref: s.Ref},
		state: plat.State{Ref: s.Ref, Done: true, Stopped: true},
	}
}

// checkpointName returns the name of a checkpoint, which is the run time that is saved
// in it.
func checkpointName(d time.Duration) string { return d.String() }

// workInCheckpoint returns the run time that is saved in a checkpoint, by its name. It
// returns 0 if the name is empty or not that of a checkpoint.
func workInCheckpoint(name string) time.Duration {
	d, err := time.ParseDuration(name)
	if err != nil {
		return 0
	}
	return d
}
