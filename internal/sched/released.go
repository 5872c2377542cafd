package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// releasedRuns records the newest runs that were released without a listed end, so that
// the log of a run that is at work all the same names the conclusion that was wrong. The
// zero value is empty.
type releasedRuns struct {
	byRun map[workerRun]releasedRun
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

// releasedRun says why and when a run was released.
type releasedRun struct {
	reason string
	at     time.Duration
}

// maxReleasedRuns bounds the memory of the record: about 0.3 MB.
const maxReleasedRuns = 2048

// add records the release of a placement.
func (r *releasedRuns) add(p *placement, reason string, now time.Duration) {
	key := workerRun{p.worker.ID, p.id}
	if _, known := r.byRun[key]; !known {
		if r.byRun == nil {
			r.byRun = map[workerRun]releasedRun{}
		}
		if len(r.order) < maxReleasedRuns {
			r.order = append(r.order, key)
		} else {
			delete(r.byRun, r.order[r.next])
			r.order[r.next] = key
			r.next = (r.next + 1) % maxReleasedRuns
		}
	}
	r.byRun[key] = releasedRun{reason, now}
}

// find returns the release of a run on a worker, and false if none is recorded.
func (r *releasedRuns) find(worker string, x work.Run) (releasedRun, bool) {
	found, ok := r.byRun[workerRun{worker, x}]
	return found, ok
}
