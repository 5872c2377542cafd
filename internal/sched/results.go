package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// refusedBlock is how long a worker gets no new runs after it refused one: about
// the time until its next report.
const refusedBlock = 200 * time.Millisecond

// handleResults handles the outcomes of ordered starts and stops.
func (c *Core) handleResults(e work.Results) {
	w := c.workers[e.Life]
	if w == nil {
		return
	}
	for _, r := range e.Starts {
		p := w.placementOf(r.Run)
		if p == nil {
			continue
		}
		c.handleOutcome(p, r.Code)
	}
	for _, r := range e.Stops {
		if p := w.placementOf(r); p != nil && p.stopAppliedAt == 0 {
			p.stopAppliedAt = c.now
		}
	}
}

// handleOutcome handles the outcome of an ordered start.
func (c *Core) handleOutcome(p *placement, code work.Code) {
	switch code {
	case work.Started:
		c.confirmStart(p, false)
	case work.Unknown:
	case work.OldRun:
		// The run was started or cancelled there before and does not start again.
		// Its reported end or the next list shows which it was.
		if !p.confirmed {
			p.confirmed, p.wontStartAgain = true, true
			p.confirmedAt = c.now
		}
	default:
		c.handleRefusal(p, code)
	}
}

// handleRefusal handles the refusal of a start. If another order for the run may be
// in transit, the run is stopped before the task is placed again.
func (c *Core) handleRefusal(p *placement, code work.Code) {
	if p.confirmed {
		return
	}
	c.emit(Decision{Kind: "refused", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: string(code)})
	p.worker.blockedUntil = c.now + refusedBlock
	switch code {
	case work.Unhealthy:
		p.worker.record.Refused(c.now)
		c.logSuspect(p.worker, "refusals")
	case work.BadTicket:
		c.advice.DropTicket(p.task.step.name(), p.worker.ID)
	}
	if !p.multipleOrders {
		c.released.Add(c.now, p.worker.ID, p.id, string(code))
		c.release(p)
		return
	}
	c.stop(p, "refused")
}

// confirmStart records that a run is at work: its worker said so or lists it. A run that is
// listed and that an earlier owner may have started is not logged as started.
func (c *Core) confirmStart(p *placement, listed bool) {
	if !p.confirmed {
		p.confirmed, p.confirmedAt = true, c.now
	}
	c.noteStarted(p.task.step.job)
	if p.startLogged || listed && p.adopted {
		return
	}
	p.startLogged = true
	c.emit(Decision{Kind: "started", Task: p.name(), Run: p.run, Worker: p.worker.ID, Took: c.now - p.task.step.job.acceptedAt})
}
