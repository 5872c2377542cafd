// Package ledger holds the durable state of a cell: its jobs, and the state and
// worker of each of their tasks.
//
// The state is the result of applying all committed records in order. Apply is
// deterministic and accepts any record: one that is not valid in the present
// state, such as the end of an attempt that is not the current one, changes
// nothing, and Apply returns false. Records are committed in groups called
// pages. A snapshot encodes the whole state; a snapshot and the pages after it
// give the same state as all pages from the start.
//
// A job stores no Task for a task that was never started or has ended, so the
// memory of a cell grows with the number of tasks in progress.
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
var taskChartFile []byte

var taskChart = chart.Must(taskChartFile)

// Ledger is the state of one cell. The zero value is the state of a cell without
// jobs.
type Ledger struct {
	// Seq is the number of the last page that was applied.
	Seq uint64 `cbor:"1,keyasint"`
	// Jobs holds the jobs by name.
	Jobs map[string]*Job `cbor:"2,keyasint"`
	// Drained holds the names of the workers that an operator is draining.
	Drained map[string]bool `cbor:"3,keyasint"`
}

// Job is an accepted job.
type Job struct {
	Spec wire.Job `cbor:"1,keyasint"`
	// Accepted is the wall-clock time of acceptance in milliseconds.
	Accepted int64 `cbor:"2,keyasint"`
	// Next is the index of the first task that was never started.
	Next int `cbor:"3,keyasint"`
	// Open holds the tasks that were started and have not reached a final state,
	// by index.
	Open map[int]*Task `cbor:"4,keyasint"`
	// Done, Failed, Lost and Dropped count the tasks that succeeded, failed,
	// ended with an unknown outcome, and were cancelled. Together with the tasks
	// in Open and those from Next on they add up to Spec.Tasks.
	Done    int `cbor:"5,keyasint"`
	Failed  int `cbor:"6,keyasint"`
	Lost    int `cbor:"7,keyasint"`
	Dropped int `cbor:"8,keyasint"`
	// Cancelled is set once the job was cancelled.
	Cancelled bool `cbor:"9,keyasint"`
	// Ended is the wall-clock time of the job's end, or 0.
	Ended int64 `cbor:"10,keyasint"`
	// History holds the newest records of the job, oldest first.
	History []Record `cbor:"11,keyasint"`
	// Requeued lists the tasks in Open that wait for another start, in the order
	// in which they were requeued.
	Requeued []int `cbor:"12,keyasint"`
}

// Task is a task that was started and has not reached a final state.
type Task struct {
	// State is a state of task.chart.yaml.
	State string `cbor:"1,keyasint"`
	// Attempt is the number of the newest attempt; it grows by one with each start.
	Attempt int `cbor:"2,keyasint"`
	// Worker and Incarnation say where the attempt was placed; they are empty
	// for a task that waits.
	Worker      string `cbor:"3,keyasint"`
	Incarnation string `cbor:"4,keyasint"`
	// Saved names the newest checkpoint, or is empty.
	Saved string `cbor:"5,keyasint"`
	// Started is the wall-clock time of the start, in milliseconds.
	Started int64 `cbor:"6,keyasint"`
	// Failures lists the workers on which an attempt of the task failed; attempts
	// that the scheduler or a lost worker ended don't count.
	Failures []string `cbor:"7,keyasint"`
}

// historyLimit is the largest number of records in the history of a job.
const historyLimit = 64

// Apply applies one record to the state. It reports whether the record was valid
// in that state; an invalid record changes nothing.
func (l *Ledger) Apply(r Record) bool {
	if l.Jobs == nil {
		l.Jobs = map[string]*Job{}
	}
	if r.Op == Drain || r.Op == Restore {
		return l.applyDrain(r)
	}
	j := l.Jobs[r.Name]
	if r.Op == Submit {
		if r.Job == nil || j != nil && !j.expired(r.At) {
			return false
		}
		j = &Job{Spec: *r.Job, Accepted: r.At, Open: map[int]*Task{}}
		l.Jobs[r.Name] = j
		j.addToHistory(r)
		return true
	}
	if j == nil || !j.apply(r) {
		return false
	}
	j.addToHistory(r)
	return true
}

func (l *Ledger) applyDrain(r Record) bool {
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

// Retention is how long an ended job is kept, in milliseconds. After that its
// name may be used again.
const Retention = 24 * 3600 * 1000

// expired reports whether the job's retention is over at the given wall-clock
// time. Apply passes the time of the record rather than the current time, so
// applying the same records gives the same result whether or not Prune has
// deleted the job in between.
func (j *Job) expired(at int64) bool { return j.Ended != 0 && at-j.Ended > Retention }

func (j *Job) addToHistory(r Record) {
	r.Job = nil
	if len(j.History) >= historyLimit {
		// Keep the Submit record, which comes first, and drop the oldest one after
		// it.
		j.History = slices.Delete(j.History, 1, 2)
	}
	j.History = append(j.History, r)
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
		j.Requeued = append(j.Requeued, r.Task)
	}
	j.countFinal(r, t)
	return true
}

func removeValue(all []int, v int) []int {
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
	j.Requeued = removeValue(j.Requeued, r.Task)
	t.State = next
	t.Attempt = r.Attempt
	t.Worker, t.Incarnation = r.Worker, r.Incarnation
	t.Started = r.At
	return true
}

// countFinal removes a task from Open and counts it, if its state is final.
func (j *Job) countFinal(r Record, t *Task) {
	switch t.State {
	case "ended":
		j.Done++
	case "failed":
		j.Failed++
	case "lost":
		j.Lost++
	case "cancelled":
		j.Dropped++
	default:
		return
	}
	delete(j.Open, r.Task)
	j.Requeued = removeValue(j.Requeued, r.Task)
	j.endIfComplete(r.At)
}

func (j *Job) endIfComplete(at int64) {
	if j.Ended == 0 && j.Done+j.Failed+j.Lost+j.Dropped == j.Spec.Tasks {
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
	j.Requeued = nil
	for _, i := range j.OpenIndexes() {
		t := j.Open[i]
		t.State, _ = taskChart.Next(t.State, string(Cancel))
		if t.State == "cancelled" {
			j.Dropped++
			delete(j.Open, i)
		}
	}
	j.endIfComplete(r.At)
	return true
}

// halt ends a waiting task without another attempt.
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
	j.countFinal(r, t)
	return true
}

// OpenIndexes returns the indexes of the tasks in Open, in ascending order.
func (j *Job) OpenIndexes() []int { return slices.Sorted(maps.Keys(j.Open)) }

// Waiting returns the number of tasks that wait to be started.
func (j *Job) Waiting() int { return j.Spec.Tasks - j.Next + len(j.Requeued) }

// Running returns the number of tasks that may be running.
func (j *Job) Running() int { return len(j.Open) - len(j.Requeued) }

// Due returns the wall-clock time of the job's deadline in milliseconds, or 0
// for a job without one.
func (j *Job) Due() int64 {
	if j.Spec.Deadline == 0 {
		return 0
	}
	return j.Accepted + j.Spec.Deadline.Milliseconds()
}

// Placed reports whether an attempt was committed to a worker and may be running
// there.
func (t *Task) Placed() bool { return t.State == "placed" || t.State == "cancelling" }

// encoding sorts map keys, so that equal states have equal encodings.
var encoding = must(cbor.CanonicalEncOptions().EncMode())

func must(m cbor.EncMode, err error) cbor.EncMode {
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns a snapshot: the encoding of the whole state.
func (l *Ledger) Encode() ([]byte, error) { return encoding.Marshal(l) }

// Decode replaces the state by that of a snapshot.
func (l *Ledger) Decode(data []byte) error {
	*l = Ledger{}
	return cbor.Unmarshal(data, l)
}

// Encode returns the encoding of the page.
func (p Page) Encode() ([]byte, error) { return encoding.Marshal(p) }

// DecodePage decodes a page.
func DecodePage(data []byte) (Page, error) {
	var p Page
	err := cbor.Unmarshal(data, &p)
	return p, err
}

// Prune deletes the jobs whose retention is over and returns their number. Each
// owner prunes its own copy of the state; no record says so.
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
