package plat

import (
	"time"

	"lagoonrack/internal/work"
)

// LeaseRequest asks a worker what it runs.
type LeaseRequest struct {
	Life work.Life
	// Until is the end of the lease by the worker's clock; 0 renews nothing.
	Until time.Duration
	Term  uint64
	// Seen is the highest end that may be forgotten.
	Seen int64
	Wait time.Duration
}

// LeaseReply is a worker's answer to a LeaseRequest.
type LeaseReply struct {
	Born    int64
	Clock   time.Duration
	Running []work.Running
	Ends    []work.End
}

// StartRun orders a run.
type StartRun struct {
	Life work.Life
	work.Run
	Spec   string
	Until  time.Duration
	Term   uint64
	Saved  string
	Ticket string
}

// StopRun orders the end of a run.
type StopRun struct {
	Life work.Life
	work.Run
	Term uint64
}

// ThrottleRun orders the share, in hundredths, at which a run works.
type ThrottleRun struct {
	Life work.Life
	work.Run
	Percent int
	Term    uint64
}

// Answer is a worker's answer to an order.
type Answer struct {
	Clock time.Duration
	Code  work.Code
}
