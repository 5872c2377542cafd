// Package work describes jobs that are made of steps, the tasks of which run on
// workers, and what is kept of a job's progress.
//
// Model. A job belongs to a queue, which names the service whose workers run
// its tasks. A step has one or more equal tasks and may wait for earlier steps.
// A job may occur several times; occurrence K of step S has a task for each
// index, and each start of a task has a run number that only grows.
package work

import (
	"fmt"
	"strconv"
	"strings"

	"lagoonrack/internal/vect"
)

// Job is an accepted job. It never changes after it was accepted.
type Job struct {
	ID    string `cbor:"1,keyasint"`
	Queue string `cbor:"2,keyasint"`
	// Service is that of the queue when the job was accepted.
	Service string `cbor:"3,keyasint"`
	Spec    string `cbor:"4,keyasint"`
	Steps   []Step `cbor:"5,keyasint"`
	// At is when the job was accepted, in milliseconds of the store's clock.
	At int64 `cbor:"6,keyasint"`
	// Times is how often the steps run; 0 means once and without a due time.
	Times int `cbor:"7,keyasint,omitempty"`
	// First and Every are the due time of the first occurrence and the span
	// between two, in milliseconds since 1970 and milliseconds.
	First int64 `cbor:"8,keyasint,omitempty"`
	Every int64 `cbor:"9,keyasint,omitempty"`
	// Refused says that the job was sent away. The row stands in the way of
	// writes that would accept the job and are still on their way; only a new
	// submission replaces it.
	Refused bool `cbor:"10,keyasint,omitempty"`
}

// LongRunning reports whether the job's tasks run until it is cancelled.
func (j *Job) LongRunning() bool { return len(j.Steps) > 0 && j.Steps[0].Lasts }

// Reserved is what all tasks of the job take of a service's capacity.
func (j *Job) Reserved() vect.Size {
	var sum vect.Size
	for _, s := range j.Steps {
		for range s.Count {
			sum = sum.Add(s.Reserved())
		}
	}
	return sum
}

// Step is a set of equal tasks.
type Step struct {
	Count int       `cbor:"1,keyasint"`
	Size  vect.Size `cbor:"2,keyasint"`
	// Estimate is a rough run time in milliseconds.
	Estimate int64 `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps that must have ended first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Saves says that a task can go on from a checkpoint.
	Saves bool `cbor:"5,keyasint,omitempty"`
	// Gang says that the tasks only work together.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// Tight says that a gang is slower on several racks.
	Tight bool `cbor:"7,keyasint,omitempty"`
	// Needs is a label that the worker must have, and Near one that it should
	// have.
	Needs string `cbor:"8,keyasint,omitempty"`
	Near  string `cbor:"9,keyasint,omitempty"`
	// Apart is the most tasks of the step on one worker; 0 is no limit.
	Apart int `cbor:"10,keyasint,omitempty"`
	// Copies says that a task may run twice at a time.
	Copies bool `cbor:"11,keyasint,omitempty"`
	// Lasts says that the tasks run until the job is cancelled.
	Lasts bool   `cbor:"12,keyasint,omitempty"`
	Image string `cbor:"13,keyasint,omitempty"`
	// Target is the tail latency in milliseconds that a lasting task promises
	// its own users.
	Target int64 `cbor:"14,keyasint,omitempty"`
	// Fills says that the tasks use processor time that others leave.
	Fills bool `cbor:"15,keyasint,omitempty"`
	// Missing is how many lasting tasks may be away by orders at a time.
	Missing int `cbor:"16,keyasint,omitempty"`
}

// Reserved is what a task of the step takes of a worker's capacity.
func (s Step) Reserved() vect.Size {
	if s.Fills {
		return vect.Size{Memory: s.Size.Memory, Accel: s.Size.Accel}
	}
	return s.Size
}

// Occurrences is how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Check reports why a job can't be accepted.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return fmt.Errorf("job %q has no steps", j.ID)
	}
	for i, s := range j.Steps {
		if s.Count < 1 {
			return fmt.Errorf("steps[%d].count: %d is less than 1", i, s.Count)
		}
		if s.Size.Negative() {
			return fmt.Errorf("steps[%d]: a resource is below 0", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return fmt.Errorf("steps[%d].after: %d is not an earlier step", i, a)
			}
		}
	}
	return nil
}

// Run names one start of a task.
type Run struct {
	Task string `cbor:"1,keyasint"`
	Num  int64  `cbor:"2,keyasint"`
}

// TaskName returns the name of a task.
func TaskName(job string, k, step, index int) string {
	return job + "." + strconv.Itoa(k) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// StepName returns the name of an occurrence of a step.
func StepName(job string, k, step int) string {
	return job + "." + strconv.Itoa(k) + "." + strconv.Itoa(step)
}

// TaskID is the inverse of TaskName.
type TaskID struct {
	Job            string
	K, Step, Index int
}

// ParseTaskName splits the name of a task.
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

// Life names one life of a worker: a worker that starts again knows nothing
// of before.
type Life struct {
	ID   string `cbor:"1,keyasint"`
	Born int64  `cbor:"2,keyasint"`
}

// EndReason says how a run ended.
type EndReason string

// The ways in which a run ends.
const (
	Done         EndReason = "done"
	Failed       EndReason = "failed"
	Stopped      EndReason = "stopped"
	LeaseExpired EndReason = "lapsed"
	Broken       EndReason = "broken"
	Alone        EndReason = "alone"
)

// Running is what a worker says of a run that goes on.
type Running struct {
	Run
	Saved string `cbor:"3,keyasint,omitempty"`
	// Percent is the progress, and of a lasting task 100 once it is at work.
	Percent int `cbor:"4,keyasint,omitempty"`
	// Figure is the tail latency in milliseconds of a lasting task with a
	// target, and the thousandths of a core in use of any other.
	Figure int64 `cbor:"5,keyasint,omitempty"`
}

// End is what a worker says of a run that ended. N counts the ends of one life.
type End struct {
	N int64 `cbor:"1,keyasint"`
	Run
	How   EndReason `cbor:"4,keyasint"`
	Saved string    `cbor:"5,keyasint,omitempty"`
}

// Worker is what a worker says of itself.
type Worker struct {
	Life
	Service string    `cbor:"3,keyasint"`
	Zone    string    `cbor:"4,keyasint"`
	Machine string    `cbor:"5,keyasint"`
	Labels  []string  `cbor:"6,keyasint"`
	Size    vect.Size `cbor:"7,keyasint"`
	// Leaving says that the worker takes no new work, and Remaining the least
	// time in milliseconds that it goes on.
	Leaving   bool  `cbor:"8,keyasint,omitempty"`
	Remaining int64 `cbor:"9,keyasint,omitempty"`
}

// Rack returns the label that names the worker's rack.
func (w Worker) Rack() string {
	if len(w.Labels) == 0 {
		return ""
	}
	return w.Labels[len(w.Labels)-1]
}

// Queue is a queue of the configuration.
type Queue struct {
	Name, Host, Prefix, Service string
	// Priority 0 comes first.
	Priority int
	// Attempts is the number of runs that may fail.
	Attempts int
	// Stretch and Target give the objective of a job: so many times its longest
	// chain of work, and so many milliseconds.
	Stretch float64
	Target  int64
	// Timeout is how long a caller is served, in milliseconds.
	Timeout int64
	// Advised says that only some workers may run a step, and that a service
	// of the platform tells which.
	Advised bool
	// Decide, Each and Valid are the advisor's times in milliseconds.
	Decide, Each, Valid int64
}

// Service is a pool of workers.
type Service struct {
	Name string
	// Guards says that a worker refuses what exceeds its capacity.
	Guards bool
	// Standby says that the pool's machines are switched off.
	Standby bool
}

// Config is a version of what the operators set. It is immutable.
type Config struct {
	Version  uint64
	Queues   []Queue
	Services []Service
	// Body is the most bytes of a request.
	Body int
}

// Match returns the queue with the host and the longest prefix of the path.
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
