// Package worker is a stand-in for the platform's task runtime on one VM. It
// "runs" tasks by letting their time pass, keeps to leases by its own clock,
// and refuses orders of an older term.
//
// The state is advanced by the time given to each call, so it works in real
// time and in virtual time alike.
package worker

import (
	"sort"
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/vect"
)

// Worker is one start of a stand-in worker.
type Worker struct {
	// Name, Incarnation and Size are fixed before use.
	Name        string
	Incarnation string
	Size        vect.Size
	// Fail lets every task fail soon after its start.
	Fail bool
	// Watch is told of each change of what runs. It may be nil.
	Watch func(now time.Duration, task string, attempt int, running bool)
	// Slow is how many times longer tasks take, if above 1.
	Slow float64

	now  time.Duration
	term uint64
	// latest is the newest Until of any orders taken. Older orders answer an
	// older report and are refused, since they may start what has ended.
	latest time.Duration
	tasks  map[string]*task
}

type task struct {
	run     plat.Run
	until   time.Duration
	started time.Duration
	state   plat.State
	// left is the run time that remained at started.
	left time.Duration
	// worked is the run time that earlier attempts saved.
	worked time.Duration
}

// failAfter is how long a task runs before it fails on a faulty worker.
const failAfter = 200 * time.Millisecond

// Poll returns the worker's report as of now.
func (w *Worker) Poll(now time.Duration) plat.Report {
	w.Advance(now)
	r := plat.Report{Incarnation: w.Incarnation, Clock: now, Term: w.term, Size: w.Size}
	for _, t := range w.sorted() {
		r.Tasks = append(r.Tasks, t.state)
	}
	return r
}

func (w *Worker) sorted() []*task {
	out := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].run.Task < out[j].run.Task })
	return out
}

// Running returns the number of tasks that run.
func (w *Worker) Running() int {
	n := 0
	for _, t := range w.tasks {
		if !t.state.Done {
			n++
		}
	}
	return n
}

// Advance lets time pass: tasks end, and those whose lease has run out stop.
func (w *Worker) Advance(now time.Duration) {
	w.now = max(w.now, now)
	for _, t := range w.sorted() {
		if t.state.Done {
			continue
		}
		end := t.started + t.left
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

// Next returns when the next task ends or its lease runs out.
func (w *Worker) Next() (time.Duration, bool) {
	var at time.Duration
	found := false
	for _, t := range w.tasks {
		if t.state.Done {
			continue
		}
		e := min(t.started+t.left, t.until)
		if !found || e < at {
			at, found = e, true
		}
	}
	return at, found
}

func (w *Worker) finish(t *task, at time.Duration) {
	t.state.Done = true
	w.watch(at, t, false)
}

func (w *Worker) watch(at time.Duration, t *task, running bool) {
	if w.Watch != nil {
		w.Watch(at, t.run.Task, t.run.Attempt, running)
	}
}

// Apply takes orders.
func (w *Worker) Apply(now time.Duration, o plat.Orders) error {
	w.Advance(now)
	if o.Term < w.term || o.Incarnation != w.Incarnation || o.Until < w.latest {
		return plat.ErrFenced
	}
	w.term = o.Term
	w.latest = o.Until
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

func (w *Worker) start(r plat.Run, until time.Duration) {
	if old := w.tasks[r.Task]; old != nil {
		if old.run.Attempt == r.Attempt && !old.state.Done {
			old.until = max(old.until, until)
		}
		if old.run.Attempt >= r.Attempt || !old.state.Done {
			return
		}
	}
	t := &task{run: r, until: until, started: w.now, left: r.Length}
	t.worked = worked(r.Resume)
	t.left -= t.worked
	if w.Slow > 1 {
		t.left = time.Duration(float64(t.left) * w.Slow)
	}
	if w.Fail {
		t.left = min(t.left, failAfter)
	}
	t.state = plat.State{Ref: r.Ref, Used: r.Size, Saved: r.Resume}
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[r.Task] = t
	w.watch(w.now, t, true)
}

// stop ends an attempt. One that is not here is remembered as ended, so that a
// late start of it has no effect.
func (w *Worker) stop(s plat.Stop) {
	t := w.tasks[s.Task]
	if t == nil || t.run.Attempt < s.Attempt && t.state.Done {
		w.remember(s)
		return
	}
	if t.run.Attempt != s.Attempt || t.state.Done {
		return
	}
	if s.Save {
		t.state.Saved = saved(t.worked + w.now - t.started)
	}
	t.state.Stopped = true
	w.finish(t, w.now)
}

func (w *Worker) remember(s plat.Stop) {
	if w.tasks == nil {
		w.tasks = map[string]*task{}
	}
	w.tasks[s.Task] = &task{
		run:   plat.Run{Ref: s.Ref},
		state: plat.State{Ref: s.Ref, Done: true, Stopped: true},
	}
}

// saved names a checkpoint by the work that is in it.
func saved(d time.Duration) string { return d.String() }

func worked(name string) time.Duration {
	d, err := time.ParseDuration(name)
	if err != nil {
		return 0
	}
	return d
}
