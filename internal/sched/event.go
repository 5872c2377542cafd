package sched

import (
	"time"

	"lagoonrack/internal/evac"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// Event is an input of Core.Step: one of the types below.
type Event interface{ event() }

// Submit reports a job whose row is stored.
type Submit struct {
	Job work.Job
	// Version is the version of the row, or 0 if it is not known.
	Version uint64
}

// RejectedJob reports a job whose row says that it was rejected.
type RejectedJob struct {
	ID string
	// Version is the row's version, and At when it was written, in milliseconds of
	// the store's clock.
	Version uint64
	At      int64
	// Cancelled says that the job was cancelled before it was accepted. Queue is empty if the
	// cancellation holds for all queues.
	Cancelled bool
	// The others are the fields of work.Job. The numbers are 0 unless the job was rejected with
	// Limits.Overload set.
	Service, Queue                  string
	Submitted, RetryAt, Cores, Work int64
}

// NewRejectedJob returns the event for the row of a rejected job with the given version.
func NewRejectedJob(j work.Job, version uint64) RejectedJob {
	return RejectedJob{ID: j.ID, Version: version, At: j.At, Cancelled: j.Cancelled, Service: j.Service, Queue: j.Queue, Submitted: j.Submitted, RetryAt: j.RetryAt, Cores: j.Cores, Work: j.Work}
}

// Cancel reports that the cancellation of a job is stored.
type Cancel struct{ ID string }

// RowsDeleted reports that the rows of a job in DeleteRows do not exist any more. A row
// of the job with a higher version was written afterwards.
type RowsDeleted struct {
	Job     string
	Version uint64
}

// DeletionFailed reports that it is not known whether the rows of a job in DeleteRows are
// deleted.
type DeletionFailed struct{ Job string }

// Report is an agent's report. It is answered by a Reply with the same token.
type Report struct {
	Token uint64
	work.Report
}

// Results holds the outcomes of an order's starts and stops.
type Results struct{ work.Results }

// Configure puts a configuration into force.
type Configure struct{ Config *work.Config }

// Committed reports that the transaction with the number was applied.
type Committed struct{ Seq uint64 }

// Confirmed reports that the store has confirmed this owner's ownership of the cell, in
// answer to a call that was sent at a time.
type Confirmed struct{ Sent time.Duration }

// Evacuated reports which zones are evacuated.
type Evacuated struct{ Zones evac.Zones }

// Tick reports that time has passed.
type Tick struct{}

func (Submit) event()         {}
func (RejectedJob) event()    {}
func (Cancel) event()         {}
func (RowsDeleted) event()    {}
func (DeletionFailed) event() {}
func (Report) event()         {}
func (Results) event()        {}
func (Configure) event()      {}
func (Committed) event()      {}
func (Confirmed) event()      {}
func (Evacuated) event()      {}
func (Tick) event()           {}

// Effect is an action that the caller of Step has to carry out.
type Effect interface{ effect() }

// Commit stores rows in one transaction that also checks the ownership of the cell.
type Commit struct {
	Seq    uint64
	Writes []plat.Write
}

// DeleteRows deletes the rows of the job table that belong to a job, if the checks hold. It
// is answered by RowsDeleted or DeletionFailed.
type DeleteRows struct {
	Job    string
	Keys   []string
	Checks []plat.Check
}

// Send passes an order to an agent.
type Send struct {
	Agent string
	Order work.Order
}

// Reply answers a report.
type Reply struct {
	Token uint64
	work.Reply
}

// Decision is an entry for the log of decisions.
type Decision struct {
	Kind   string
	Task   string
	Job    string
	Worker string
	Reason string
	Run    int64
	// Took is a duration that belongs to the decision, such as the time that the
	// run or job took or that the task waited.
	Took time.Duration
	Expectation
}

// Expectation is what a decision by the learned speeds is based on. It is zero for all others.
type Expectation struct {
	// Needs is how long the run is expected to need on the worker that it is placed on, or on
	// another one if it is moved.
	Needs time.Duration
	// Zone, Speed and Share are the estimates of a zone or of the worker.
	Zone         string
	Speed, Share float64
}

func (Commit) effect()     {}
func (DeleteRows) effect() {}
func (Send) effect()       {}
func (Reply) effect()      {}
func (Decision) effect()   {}
