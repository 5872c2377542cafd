// Package freed records runs that an owner took to be over without a proof by their worker, so that
// the log of such a run that is at work all the same names the conclusion that was wrong.
package freed

import (
	"time"

	"lagoonrack/internal/work"
)

// Runs records the newest runs that were released without a listed end. The zero value is empty.
type Runs struct {
	byRun map[workerRun]release
	// order holds the keys of byRun, the oldest at next once it is full.
	order []workerRun
	next  int
}

// workerRun is a run on a worker. An earlier incarnation of its ID may have been meant to
// start the run.
type workerRun struct {
	worker string
	work.Run
}

// release says why and when a run was released.
type release struct {
	reason string
	at     time.Duration
}

// maxRuns bounds the memory of the record: about 0.3 MB.
const maxRuns = 2048

// Add records at a time that a run on a worker was released.
func (r *Runs) Add(now time.Duration, worker string, x work.Run, reason string) {
	key := workerRun{worker, x}
	if _, known := r.byRun[key]; !known {
		if r.byRun == nil {
			r.byRun = map[workerRun]release{}
		}
		if len(r.order) < maxRuns {
			r.order = append(r.order, key)
		} else {
			delete(r.byRun, r.order[r.next])
			r.order[r.next] = key
			r.next = (r.next + 1) % maxRuns
		}
	}
	r.byRun[key] = release{reason, now}
}

// Find returns why and when a run on a worker was released, and false if that is not recorded.
func (r *Runs) Find(worker string, x work.Run) (reason string, at time.Duration, ok bool) {
	found, ok := r.byRun[workerRun{worker, x}]
	return found.reason, found.at, ok
}
