// Package work defines jobs that consist of steps, the stored record of their
// progress, and the messages between the owner of a cell, other entries and agents.
//
// A job belongs to a queue, which names the service whose workers run its tasks. A
// step has one or more identical tasks and may depend on earlier steps. A job may
// recur; a task is identified by the job, the occurrence, the step and its index in
// the step. Each start of a task has a run number higher than that of any earlier
// start.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"lagoonrack/internal/vect"
)

// Job is an accepted job. It is immutable once accepted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	// Service is the queue's service at the time of acceptance.
	Service string `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// At is when the job was accepted, in milliseconds of the store's clock.
	At int64 `cbor:"6,keyasint"`
	// Times is the number of occurrences; 0 means one, without a due time.
	Times int `cbor:"7,keyasint,omitempty"`
	// First is the due time of the first occurrence, in milliseconds since 1970,
	// and Every the interval between two, in milliseconds.
	First int64 `cbor:"8,keyasint,omitempty"`
	Every int64 `cbor:"9,keyasint,omitempty"`
	// Refused says that the job was rejected. The row of a rejected job blocks
	// delayed writes that would still accept it; only a new submission replaces
	// it.
	Refused bool `cbor:"10,keyasint,omitempty"`
	// Cancelled says that the job was cancelled before it was accepted. Refused is set too, and
	// no submission to the queue replaces the row, or to any queue if Queue is empty.
	Cancelled bool `cbor:"17,keyasint,omitempty"`
	// Parts is the number of further rows that hold the job, or 0 if its own row does.
	Parts int `cbor:"11,keyasint,omitempty"`
	// Terms are those of the queue at the time of acceptance. They are zero in a job that
	// an earlier version accepted.
	Terms Terms `cbor:"12,keyasint,omitempty"`
	// Submitted is when the job was first submitted, if it was rejected then, in milliseconds of
	// the store's clock. Its duration is measured from there.
	Submitted int64 `cbor:"13,keyasint,omitempty"`
	// RetryAt is when a rejected job may be submitted again, in milliseconds of the store's
	// clock. Cores and Work are what it needs then: see Admission.
	RetryAt int64 `cbor:"14,keyasint,omitempty"`
	Cores   int64 `cbor:"15,keyasint,omitempty"`
	Work    int64 `cbor:"16,keyasint,omitempty"`
}

// LongRunning reports whether the job's tasks run until the job is cancelled.
func (j *Job) LongRunning() bool { return len(j.Steps) > 0 && j.Steps[0].Lasts }

// Reserved returns the capacity of a service that all tasks of the job reserve.
func (j *Job) Reserved() vect.Size {
	var sum vect.Size
	for _, s := range j.Steps {
		for range s.Count {
			sum = sum.Add(s.Reserved())
		}
	}
	return sum
}

// Step is a set of identical tasks.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Size  vect.Size `cbor:"2,keyasint"`
	// Estimate is the submitter's estimate of a task's run time, in milliseconds.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps that must have ended first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Saves says that a task can resume from a checkpoint.
	Saves bool `cbor:"5,keyasint,omitempty"`
	// Gang says that all tasks must run at the same time (gang scheduling).
	Gang bool `cbor:"6,keyasint,omitempty"`
	// Tight says that a gang runs slower if it is spread over several racks.
	Tight bool `cbor:"7,keyasint,omitempty"`
	// Needs is a label that the worker must have, and Near a label that it
	// preferably has. Empty means none.
	Needs string `cbor:"8,keyasint,omitempty"`
	Near  string `cbor:"9,keyasint,omitempty"`
	// Apart is the maximum number of tasks of the step on one worker; 0 is no
	// limit.
	Apart int `cbor:"10,keyasint,omitempty"`
	// Copies says that a speculative copy of a task may run beside it.
	Copies bool `cbor:"11,keyasint,omitempty"`
	// Lasts says that the tasks are long-running: they run until the job is
	// cancelled.
	Lasts bool `cbor:"12,keyasint,omitempty"`
	// Image names the program of the tasks. Interference is learned for each
	// pair of images.
	Image string `cbor:"13,keyasint,omitempty"`
	// Target is the tail latency objective of a long-running task, in
	// milliseconds; 0 is none.
	Target int64 `cbor:"14,keyasint,omitempty"`
	// Fills says that the tasks are best-effort: they run on idle CPU time.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// Missing is how many tasks of a long-running step may be down at a time when
	// the scheduler stops tasks to move them; 0 is no limit.
	Missing int `cbor:"16,keyasint,omitempty"`
}

// Reserved returns the capacity of a worker that a task of the step reserves. A
// best-effort task reserves no cores.
func (s Step) Reserved() vect.Size {
	if s.Fills {
		return vect.Size{Memory: s.Size.Memory, Accel: s.Size.Accel}
	}
	return s.Size
}

// Occurrences returns the number of times that the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// These bounds keep one job from taking all memory of the owner, and sums of sizes from
// overflowing. They are far above what jobs ask for.
const (
	// maxTasks bounds the tasks of one occurrence of a job, and maxOccurrences the
	// occurrences.
	maxTasks       = 10_000
	maxOccurrences = 100_000
)

// maxSize bounds the resources of one task or worker.
var maxSize = vect.Size{Cores: 1 << 32, Memory: 1 << 40, Accel: 1 << 20}

// Check returns an error if the job is not valid.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("job %q has no steps", j.ID)
	}
	if j.Times < 0 || j.Times > maxOccurrences {
		return fmt.Errorf("job %q: %d occurrences; between 0 and %d are allowed", j.ID, j.Times, maxOccurrences)
	}
	if j.Times > 1 && j.Every < 1 {
		return fmt.Errorf("job %q: its occurrences are %d ms apart; at least 1 is needed", j.ID, j.Every)
	}
	tasks := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > maxTasks {
			return fmt.Errorf("steps[%d].count: %d is not between 1 and %d", i, s.Count, maxTasks)
		}
		if tasks += s.Count; tasks > maxTasks {
			return fmt.Errorf("job %q has more than %d tasks", j.ID, maxTasks)
		}
		if s.Size.Negative() || !s.Size.Fits(maxSize) {
			return fmt.Errorf("steps[%d]: a resource is below 0 or above %v", i, maxSize)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("steps[%d].after: %d is not an earlier step", i, a)
			}
		}
	}
	return nil
}

// Run identifies one start of a task by the task's name and the run number.
type Run struct {
	Task string `cbor:"1,keyasint"`
	Num  int64  `cbor:"2,keyasint"`
}

// TaskName returns the name of a task: the job's ID, the occurrence, the step and the
// task's index in the step, separated by dots.
func TaskName(job string, k, step, index int) string {
	return job + "." + strconv.Itoa(k) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// StepName returns the name of occurrence k of a step.
func StepName(job string, k, step int) string {
	return job + "." + strconv.Itoa(k) + "." + strconv.Itoa(step)
}

// TaskID holds the parts of a task's name: the job's ID, the occurrence K, the step and
// the index in the step.
type TaskID struct {
	Job            string
	K, Step, Index int
}

// ParseTaskName is the inverse of TaskName. It returns false if name is not the name
// of a task.
func ParseTaskName(name string) (TaskID, bool) {
	f := strings.Split(name, ".")
	if len(f) != 4 {
		return TaskID{}, false
	}
	k, e1 := strconv.Atoi(f[1])
	s, e2 := strconv.Atoi(f[2])
	i, e3 := strconv.Atoi(f[3])
	return TaskID{f[0], k, s, i}, e1 == nil && e2 == nil && e3 == nil
}

// Life identifies one incarnation of a worker. A worker that restarts has lost all
// knowledge of the runs of its earlier incarnations.
type Life struct {
	ID string `cbor:"1,keyasint"`
	// Born is the start time, which differs between incarnations.
	Born int64 `cbor:"2,keyasint"`
}

// EndReason is the way in which a run ended.
type EndReason string

// The ways in which a run ends. Broken means that another member of its gang did not
// succeed. Only Done and Failed count as results of the task itself.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
	Broken       EndReason = "broken"
	Alone        EndReason = "alone"
)

// Running is a worker's report about an active run.
type Running struct {
	Run
	// Saved names the newest checkpoint, or is empty.
	Saved string `cbor:"3,keyasint,omitempty"`
	// Percent is the progress. That of a long-running task is 100 once it serves.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Figure is the tail latency in milliseconds for a long-running task with a
	// target, and the CPU usage in thousandths of a core for any other task.
	Figure int64 `cbor:"5,keyasint,omitempty"`
}

// End is a worker's report about a run that has ended. N numbers the ends of one
// incarnation of the worker in order.
type End struct {
	N int64 `cbor:"1,keyasint"`
	Run
	How EndReason `cbor:"4,keyasint"`
	// Saved names the newest checkpoint, or is empty.
	Saved string `cbor:"5,keyasint,omitempty"`
}

// Worker describes a worker and its capacity.
type Worker struct {
	Life
	Service string    `cbor:"3,keyasint"`
	Zone    string    `cbor:"4,keyasint"`
	Machine string    `cbor:"5,keyasint"`
	Labels  []string  `cbor:"6,keyasint"`
	Size    vect.Size `cbor:"7,keyasint"`
	// Leaving says that the worker is draining: it accepts no new runs. Remaining
	// is the minimum time until it stops, in milliseconds.
	Leaving   bool  `cbor:"8,keyasint,omitempty"`
	Remaining int64 `cbor:"9,keyasint,omitempty"`
	// Cold is how much longer the worker is slow after a start or an evacuation, in
	// milliseconds.
	Cold int64 `cbor:"10,keyasint,omitempty"`
}

// maxNameBytes bounds the names and labels of a worker.
const maxNameBytes = 200

// Check returns an error if the worker's description is not valid.
func (w Worker) Check() error {
	for _, name := range append([]string{w.ID, w.Service, w.Zone, w.Machine}, w.Labels...) {
		if len(name) > maxNameBytes || !utf8.ValidString(name) {
			return fmt.Errorf("worker %.40q: the name %.40q is not valid or has more than %d bytes", w.ID, name, maxNameBytes)
		}
	}
	if w.ID == "" || w.Service == "" {
		return fmt.Errorf("worker %q: it has no name or no service", w.ID)
	}
	if w.Size.Negative() || !w.Size.Fits(maxSize) {
		return fmt.Errorf("worker %q: its size is below 0 or above %v", w.ID, maxSize)
	}
	return nil
}

// Rack returns the label of the worker's rack, which is the last one, or "".
func (w Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// Queue describes a queue: which requests belong to it, and how its jobs are
// scheduled.
type Queue struct {
	Name, Host, Prefix, Service string
	// Priority orders the queues; 0 is the highest.
	Priority int
	// Attempts is the number of failed runs at which a job fails.
	Attempts int
	// Stretch and Target define the objective for a job's run time: Stretch times
	// the length of its critical path, plus Target milliseconds.
	Stretch float64
	Target  int64
	// Timeout is how long a caller's request may take, in milliseconds.
	Timeout int64
	// Advised says that only some workers may run a step, and that the advisor, a
	// service of the platform, names them.
	Advised bool
	// Decide, Each and Valid are the advisor's decision time, its period and how
	// long its advice is valid, in milliseconds.
	Decide, Each, Valid int64
}

// Terms say how the jobs of a queue are scheduled. They are kept with each job, whose queue
// may be removed from the configuration before the job has ended.
type Terms struct {
	Priority int     `cbor:"1,keyasint,omitempty"`
	Attempts int     `cbor:"2,keyasint,omitempty"`
	Stretch  float64 `cbor:"3,keyasint,omitempty"`
	Target   int64   `cbor:"4,keyasint,omitempty"`
	Advised  bool    `cbor:"5,keyasint,omitempty"`
	Decide   int64   `cbor:"6,keyasint,omitempty"`
	Each     int64   `cbor:"7,keyasint,omitempty"`
	Valid    int64   `cbor:"8,keyasint,omitempty"`
}

// Terms returns the queue's terms.
func (q Queue) Terms() Terms {
	return Terms{
		Priority: q.Priority, Attempts: q.Attempts, Stretch: q.Stretch, Target: q.Target,
		Advised: q.Advised, Decide: q.Decide, Each: q.Each, Valid: q.Valid,
	}
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards says that a worker rejects runs that exceed its capacity.
	Guards bool
	// Standby says that the pool's machines are switched off.
	Standby bool
}

// Config is one version of the operators' configuration. It is immutable.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	// Body is the maximum size of a request body, and Head that of a request line with its
	// headers, in bytes.
	Body, Head int
	// HeadMs is the longest time that clients take for a head, and IdleMs how long they keep
	// a connection without a request, in milliseconds.
	HeadMs, IdleMs int64
}

// Match returns the queue that matches the host and has the longest matching prefix
// of the path.
func (c *Config) Match(host, path string) (Queue, bool) {
	var best Queue
	found := false
	for _, q := range c.Queues {
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (!found || len(q.Prefix) > len(best.Prefix)) {
			best, found = q, true
		}
	}
	return best, found
}
