package plat

import (
	"time"

	"lagoonrack/internal/work"
)

// LeaseRequest renews the lease of a worker's runs and requests a list of its runs.
type LeaseRequest struct {
	// Life is the incarnation of the worker that the request is for.
	Life work.Life
	// Until is the end of the lease on the worker's clock; 0 means no renewal.
	Until time.Duration
	// Term is the highest owner's term that the agent knows.
	Term uint64
	// Seen is the number of the newest end that is stored; the worker can drop
	// its records of the ends up to it.
	Seen int64
	// Wait is how long the worker may delay its reply until a run ends.
	Wait time.Duration
	// After is the newest moment of an owner that the agent knows. It is not sent.
	After work.Moment
}

// LeaseReply is a worker's answer to a LeaseRequest.
type LeaseReply struct {
	// Born is the start time of the worker's incarnation.
	Born int64
	// Clock is the time on the worker's monotonic clock.
	Clock   time.Duration
	Running []work.Running
	// Ends lists the ended runs whose records the worker still has, the oldest first, and
	// MoreEnds says that there may be more of them than the answer holds.
	Ends     []work.End
	MoreEnds bool
	// Partial says that some items of the answer could not be decoded, so that a run that
	// is in neither list may be at work or have ended.
	Partial bool
}

// FromOther reports whether an incarnation other than the given one has answered. An answer
// that does not say when its incarnation began counts as that one's.
func (r LeaseReply) FromOther(l work.Life) bool { return r.Born != 0 && r.Born != l.Born }

// StartRun orders a worker to start a run.
type StartRun struct {
	Life work.Life
	work.Run
	Spec string
	// Until is the end of the run's lease on the worker's clock.
	Until time.Duration
	Term  uint64
	// Saved names the checkpoint to resume from, or is empty.
	Saved string
	// Ticket is the advisor's permission to run the task on this worker, or empty.
	Ticket string
}

// StopRun orders a worker to end a run.
type StopRun struct {
	Life work.Life
	work.Run
	Term uint64
}

// ThrottleRun orders a worker to throttle a run.
type ThrottleRun struct {
	Life work.Life
	work.Run
	// Percent is between 0 and 100; 100 is full speed.
	Percent int
	Term    uint64
}

// Answer is a worker's answer to an order.
type Answer struct {
	// Clock is the time on the worker's monotonic clock.
	Clock time.Duration
	Code  work.Code
}
