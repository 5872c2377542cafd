// Package ledger holds the durable state of a cell: its jobs and where their
// tasks are.
//
// Model. The state is the fold of all records ever committed. Apply is
// deterministic and total: a record that does not fit the state, such as the
// end of an attempt that is not the current one, changes nothing and says so.
// A snapshot is an encoding of the whole state; a snapshot and the pages after
// it give the same state as all pages from the start.
//
// A job with many tasks keeps no entry for a task that has not started or has
// ended well, so the memory of a cell grows with the tasks in progress.
package ledger

import (
	_ "embed"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"lagoonrack/internal/chart"
	"lagoonrack/internal/wire"
)

//go:embed task.chart.yaml
var taskFile []byte

var taskChart = chart.Must(taskFile)

// Ledger is the state of one cell. The zero value is a cell without jobs.
type Ledger struct {
	// Seq is the number of the last page that was applied.
	Seq  uint64          `cbor:"1,keyasint"`
	Jobs map[string]*Job `cbor:"2,keyasint"`
	// Drained holds the names of the workers that an operator empties.
	Drained map[string]bool `cbor:"3,keyasint"`
}

// Job is an accepted job.
type Job struct {
	Spec wire.Job `cbor:"1,keyasint"`
	// At is the wall-clock time of acceptance in milliseconds.
	At int64 `cbor:"2,keyasint"`
	// Next is the index of the first task that was never started.
	Next int `cbor:"3,keyasint"`
	// Open holds the tasks that were started and have not ended for good.
	Open map[int]*Task `cbor:"4,keyasint"`
	// Done, Bad, Lost and Dropped count the tasks that ended well, failed,
	// ended in doubt, and were cancelled; with Open and the tasks from Next on
	// they add up to Spec.Tasks.
	Done    int `cbor:"5,keyasint"`
	Bad     int `cbor:"6,keyasint"`
	Lost    int `cbor:"7,keyasint"`
	Dropped int `cbor:"8,keyasint"`
	// Cancelled is set once the job was withdrawn.
	Cancelled bool `cbor:"9,keyasint"`
	// Ended is the wall-clock time of the job's end, or 0.
	Ended int64 `cbor:"10,keyasint"`
	// Notes holds the newest records of the job, oldest first.
	Notes []Record `cbor:"11,keyasint"`
	// Returned lists the tasks in Open that wait for another start, in order
	// of their return.
	Returned []int `cbor:"12,keyasint"`
}

// Task is a task that was started and has not ended for good.
type Task struct {
	State string `cbor:"1,keyasint"`
	// Attempt grows with each start.
	Attempt     int    `cbor:"2,keyasint"`
	Worker      string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	Saved       string `cbor:"5,keyasint"`
	// Since is the wall-clock time of the start, in milliseconds.
	Since int64 `cbor:"6,keyasint"`
	// Failures lists the workers on which the task failed by itself.
	Failures []string `cbor:"7,keyasint"`
}

// noteCap bounds the notes of a job.
const noteCap = 64

// Apply folds one record into the state and reports whether it fitted.
func (l *Ledger) Apply(r Record) bool {
	if l.Jobs == nil {
		l.Jobs = map[string]*Job{}
	}
	if r.Op == Drain || r.Op == Restore {
		return l.drain(r)
	}
	j := l.Jobs[r.Name]
	if r.Op == Submit {
		if r.Job == nil || j != nil && !j.expired(r.At) {
			return false
		}
		j = &Job{Spec: *r.Job, At: r.At, Open: map[int]*Task{}}
		l.Jobs[r.Name] = j
		j.note(r)
		return true
	}
	if j == nil || !j.apply(r) {
		return false
	}
	j.note(r)
	return true
}

func (l *Ledger) drain(r Record) bool {
	if l.Drained[r.Worker] == (r.Op == Drain) {
		return false
	}
	if r.Op == Restore {
		delete(l.Drained, r.Worker)
		return true
	}
	if l.Drained == nil {
		l.Drained = map[string]bool{}
	}
	l.Drained[r.Worker] = true
	return true
}

// Retention is how long an ended job is remembered, in milliseconds. After
// that its name may be used again.
const Retention = 24 * 3600 * 1000

// expired reports whether the job ended so long ago that it may be forgotten.
// It decides by the record's time, so every fold of the same records agrees
// whether or not a snapshot has dropped the job in between.
func (j *Job) expired(at int64) bool { return j.Ended != 0 && at-j.Ended > Retention }

func (j *Job) note(r Record) {
	r.Job = nil
	if len(j.Notes) >= noteCap {
		// The acceptance stays; the oldest note after it goes.
		j.Notes = slices.Delete(j.Notes, 1, 2)
	}
	j.Notes = append(j.Notes, r)
}

func (j *Job) apply(r Record) bool {
	switch r.Op {
	case Cancel:
		return j.cancel(r)
	case Start:
		return j.start(r)
	case Halt:
		return j.halt(r)
	}
	t := j.Open[r.Task]
	if t == nil || t.Attempt != r.Attempt {
		return false
	}
	next, ok := taskChart.Next(t.State, string(r.Op))
	if !ok {
		return false
	}
	t.State = next
	t.Worker, t.Incarnation = "", ""
	if r.Saved != "" {
		t.Saved = r.Saved
	}
	if r.Failed {
		t.Failures = append(t.Failures, r.Worker)
	}
	if t.State == taskChart.Initial() {
		j.Returned = append(j.Returned, r.Task)
	}
	j.settle(r, t)
	return true
}

func without(all []int, v int) []int {
	if i := slices.Index(all, v); i >= 0 {
		return slices.Delete(all, i, i+1)
	}
	return all
}

func (j *Job) start(r Record) bool {
	t := j.Open[r.Task]
	if t == nil {
		if r.Task != j.Next || r.Task >= j.Spec.Tasks || j.Cancelled {
			return false
		}
		j.Next++
		t = &Task{State: taskChart.Initial()}
		j.Open[r.Task] = t
	}
	next, ok := taskChart.Next(t.State, string(Start))
	if !ok || r.Attempt != t.Attempt+1 {
		return false
	}
	j.Returned = without(j.Returned, r.Task)
	t.State = next
	t.Attempt = r.Attempt
	t.Worker, t.Incarnation = r.Worker, r.Incarnation
	t.Since = r.At
	return true
}

// settle counts a task whose state is final.
func (j *Job) settle(r Record, t *Task) {
	switch t.State {
	case "ended":
		j.Done++
	case "failed":
		j.Bad++
	case "lost":
		j.Lost++
	case "cancelled":
		j.Dropped++
	default:
		return
	}
	delete(j.Open, r.Task)
	j.Returned = without(j.Returned, r.Task)
	j.close(r.At)
}

func (j *Job) close(at int64) {
	if j.Ended == 0 && j.Done+j.Bad+j.Lost+j.Dropped == j.Spec.Tasks {
		j.Ended = at
	}
}

func (j *Job) cancel(r Record) bool {
	if j.Cancelled || j.Ended != 0 {
		return false
	}
	j.Cancelled = true
	j.Dropped += j.Spec.Tasks - j.Next
	j.Next = j.Spec.Tasks
	j.Returned = nil
	for _, i := range j.Indexes() {
		t := j.Open[i]
		t.State, _ = taskChart.Next(t.State, string(Cancel))
		if t.State == "cancelled" {
			j.Dropped++
			delete(j.Open, i)
		}
	}
	j.close(r.At)
	return true
}

// halt ends the task without another attempt.
func (j *Job) halt(r Record) bool {
	t := j.Open[r.Task]
	if t == nil {
		return false
	}
	next, ok := taskChart.Next(t.State, string(Halt))
	if !ok {
		return false
	}
	t.State = next
	j.settle(r, t)
	return true
}

// Indexes returns the indexes of the open tasks in order.
func (j *Job) Indexes() []int { return slices.Sorted(maps.Keys(j.Open)) }

// Waiting returns the number of tasks that could be started now.
func (j *Job) Waiting() int { return j.Spec.Tasks - j.Next + len(j.Returned) }

// Running returns the number of tasks that may be running.
func (j *Job) Running() int { return len(j.Open) - len(j.Returned) }

// Due returns the wall-clock time of the job's deadline in milliseconds, or 0
// for a job without one.
func (j *Job) Due() int64 {
	if j.Spec.Deadline == 0 {
		return 0
	}
	return j.At + j.Spec.Deadline.Milliseconds()
}

// Placed reports whether the task may be running on a worker.
func (t *Task) Placed() bool { return t.State == "placed" || t.State == "cancelling" }

// encoding sorts keys, so that equal states have equal bytes.
var encoding = must(cbor.CanonicalEncOptions().EncMode())

func must(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns a snapshot of the state.
func (l *Ledger) Encode() ([]byte, error) { return encoding.Marshal(l) }

// Decode replaces the state by a snapshot.
func (l *Ledger) Decode(data []byte) error {
	*l = Ledger{}
	return cbor.Unmarshal(data, l)
}

// Encode returns the page's bytes.
func (p Page) Encode() ([]byte, error) { return encoding.Marshal(p) }

// DecodePage reads a page.
func DecodePage(data []byte) (Page, error) {
	var p Page
	err := cbor.Unmarshal(data, &p)
	return p, err
}

// Prune drops jobs whose retention is over and returns their number. It is not
// a record: each owner prunes by itself.
func (l *Ledger) Prune(now int64) int {
	n := 0
	for name, j := range l.Jobs {
		if j.expired(now) {
			delete(l.Jobs, name)
			n++
		}
	}
	return n
}
