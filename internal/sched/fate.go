package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// roomBlock is how long a worker gets nothing after it refused a run for want
// of room: about the time until its next report.
const refusedBlock = 200 * time.Millisecond

// results takes the fates of ordered starts in.
func (c *Core) handleResults(e work.Results) {
	w := c.workers[incarnationKey(e.Life)]
	if w == nil {
		return
	}
	for _, r := range e.Starts {
		p := c.placementOf(w, r.Run)
		if p == nil {
			continue
		}
		c.handleOutcome(p, r.Code)
	}
	for _, r := range e.Stops {
		if p := c.placementOf(w, r); p != nil && p.stopAppliedAt == 0 {
			p.stopAppliedAt = c.now
		}
	}
}

func (c *Core) handleOutcome(p *placement, code work.Code) {
	switch code {
	case work.Started:
		if !p.confirmed {
			p.confirmed = true
			p.confirmedAt = c.now
			c.noteFirstStart(p.task.step.job)
			c.emit(Note{Kind: "started", Task: p.name(), Run: p.run, Worker: p.worker.ID, Took: c.now - p.task.step.job.acceptedAt})
		}
	case work.Unknown:
	case work.OldRun:
		// It ran there before or was called off, and will not start any more.
		// The next list or its end will tell.
		if !p.confirmed {
			p.confirmed, p.neverStarts = true, true
			p.confirmedAt = c.now
		}
	default:
		c.handleRefusal(p, code)
	}
}

// refused takes a refusal in. If another order may be on its way, the run is
// called off before the task goes elsewhere.
func (c *Core) handleRefusal(p *placement, code work.Code) {
	if p.confirmed {
		return
	}
	c.emit(Note{Kind: "refused", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: string(code)})
	p.worker.blockedUntil = c.now + refusedBlock
	switch code {
	case work.Unhealthy:
		p.worker.failureStreak++
	case work.BadTicket:
		c.advice.dropTicket(p)
	}
	if !p.multipleOrders {
		c.release(p)
		return
	}
	c.stop(p, "refused")
}

// first tells of the first start of a job that a worker confirmed.
func (c *Core) noteFirstStart(j *job) {
	if !j.startConfirmed {
		j.startConfirmed = true
		c.emit(Note{Kind: "first", Job: j.ID, Reason: j.Queue, Took: c.now - j.acceptedAt})
	}
}
