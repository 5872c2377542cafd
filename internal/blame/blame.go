// Package blame tells the failures of a worker from the failures of the work that it was given.
//
// A failed run shows that its worker or its task is at fault, but not which. Two further
// observations tell: what the worker makes of other tasks, and what other workers make of
// tasks of the same kind. So a failure does not speak against a worker if tasks of the kind
// have failed on another worker as well and none has succeeded, and a success clears the
// worker. Nothing is held against a worker for longer than a fixed time: a worker that gets no
// runs because it is suspect could never succeed.
package blame

import (
	"slices"
	"time"
)

const (
	// suspectFailures is the number of failures not explained by their tasks that make a
	// worker suspect.
	suspectFailures = 2
	// suspectJobs is the number of jobs that make a worker suspect if each has failed on it,
	// whatever explains the single failures: it is unlikely that all of them are at fault.
	suspectJobs = 3
	// memory is how long a failure counts.
	memory = 10 * time.Second
	// maxFailures bounds a record. Older failures are forgotten.
	maxFailures = 8
)

// Kind collects what is known of tasks that are alike. The zero value knows nothing.
type Kind struct {
	// succeeded says that a task of the kind has succeeded.
	succeeded bool
	// failures holds the newest failure on each worker that is not forgotten yet.
	failures []workerFailure
}

// workerFailure is the newest failure on a worker.
type workerFailure struct {
	worker string
	at     time.Duration
}

// Succeeded records that a task of the kind has succeeded.
func (k *Kind) Succeeded() {
	k.succeeded, k.failures = true, nil
}

// note records a failure on a worker.
func (k *Kind) note(worker string, now time.Duration) {
	if k.succeeded {
		return
	}
	k.failures = slices.DeleteFunc(k.failures, func(f workerFailure) bool { return f.worker == worker || now-f.at > memory })
	k.failures = append(k.failures, workerFailure{worker, now})
}

// explains reports whether the kind explains its failures on a worker.
func (k *Kind) explains(worker string, now time.Duration) bool {
	return !k.succeeded && slices.ContainsFunc(k.failures, func(f workerFailure) bool { return f.worker != worker && now-f.at <= memory })
}

// Record holds the failures on one worker since its last success. The zero value has none.
type Record struct {
	failures []failure
}

// failure is a failure of a task of a job, or of the worker itself if there is no kind.
type failure struct {
	kind *Kind
	job  string
	at   time.Duration
}

// Failed records that a task of a job has failed on the worker that the record belongs to.
func (r *Record) Failed(worker, job string, k *Kind, now time.Duration) {
	k.note(worker, now)
	r.add(failure{k, job, now})
}

// Refused records that the worker says itself that it is not healthy.
func (r *Record) Refused(now time.Duration) { r.add(failure{at: now}) }

// add adds a failure.
func (r *Record) add(f failure) {
	r.Trim(f.at)
	if len(r.failures) == maxFailures {
		r.failures = slices.Delete(r.failures, 0, 1)
	}
	r.failures = append(r.failures, f)
}

// Succeeded records that a task has succeeded on the worker.
func (r *Record) Succeeded() { r.failures = nil }

// Trim drops failures that do not count any more, so that the kinds of ended jobs are not kept
// in memory.
func (r *Record) Trim(now time.Duration) {
	r.failures = slices.DeleteFunc(r.failures, func(f failure) bool { return now-f.at > memory })
}

// Empty reports whether no failure is recorded.
func (r *Record) Empty() bool { return len(r.failures) == 0 }

// Suspect reports whether the failures speak against the worker with the given ID.
func (r *Record) Suspect(worker string, now time.Duration) bool {
	if len(r.failures) < suspectFailures {
		return false
	}
	unexplained := 0
	var jobs []string
	for _, f := range r.failures {
		switch {
		case now-f.at > memory:
			continue
		case f.kind == nil || !f.kind.explains(worker, now):
			unexplained++
		}
		if f.kind != nil && !slices.Contains(jobs, f.job) {
			jobs = append(jobs, f.job)
		}
	}
	return unexplained >= suspectFailures || len(jobs) >= suspectJobs
}
