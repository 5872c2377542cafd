package sched

import (
	"time"

	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// Event is something that happened. The concrete types are listed here.
type Event interface{ event() }

// Submit tells of a job whose row is stored.
type Submit struct{ Job work.Job }

// Refuse tells that the row of a job says it was sent away.
type Refuse struct {
	ID string
	// Version is the row's, and At when it was written, in milliseconds of the
	// store's clock.
	Version uint64
	At      int64
}

// Cancel tells that the withdrawal of a job is stored.
type Cancel struct{ ID string }

// Report is an agent's report. It is answered by a Reply with the token.
type Report struct {
	Token uint64
	work.Report
}

// Results are the fates of ordered starts.
type Results struct{ work.Results }

// Configure brings a configuration into force.
type Configure struct{ Config *work.Config }

// Committed says that the transaction with the number took effect.
type Committed struct{ Seq uint64 }

// Advice is the advisor's answer for a step: a ticket for each worker that may
// run it.
type Advice struct {
	Step    string
	Tickets map[string]string
	Valid   time.Duration
	// Asked lists the workers that the question named.
	Asked []string
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()    {}
func (Refuse) event()    {}
func (Cancel) event()    {}
func (Report) event()    {}
func (Results) event()   {}
func (Configure) event() {}
func (Committed) event() {}
func (Advice) event()    {}
func (Tick) event()      {}

// Effect is something that the shell has to do.
type Effect interface{ effect() }

// Commit stores rows in one transaction that also checks the owner's title.
type Commit struct {
	Seq    uint64
	Writes []plat.Write
}

// Forget removes rows of one part that nobody needs any more, if the checks
// hold.
type Forget struct {
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

// Ask asks the advisor which of the workers may run a step.
type Ask struct {
	Step    string
	Workers []string
}

// Note is a decision for the log.
type Note struct {
	Kind   string
	Task   string
	Job    string
	Worker string
	Reason string
	Run    int64
	// Took is how long the run or the job lasted.
	Took time.Duration
}

func (Commit) effect() {}
func (Forget) effect() {}
func (Send) effect()   {}
func (Reply) effect()  {}
func (Ask) effect()    {}
func (Note) effect()   {}
