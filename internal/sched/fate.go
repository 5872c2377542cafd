package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// roomBlock is how long a worker gets nothing after it refused a run for want
// of room: about the time until its next report.
const roomBlock = 200 * time.Millisecond

// results takes the fates of ordered starts in.
func (c *Core) results(e work.Results) {
	w := c.workers[lifeKey(e.Life)]
	if w == nil {
		return
	}
	for _, r := range e.Starts {
		p := c.placeOf(w, r.Run)
		if p == nil {
			continue
		}
		c.fate(p, r.Code)
	}
	for _, r := range e.Stops {
		if p := c.placeOf(w, r); p != nil && p.off == 0 {
			p.off = c.now
		}
	}
}

func (c *Core) fate(p *place, code work.Code) {
	switch code {
	case work.Started:
		if !p.known {
			p.known = true
			p.okay = c.now
			c.first(p.task.step.job)
			c.emit(Note{Kind: "started", Task: p.name(), Run: p.run, Worker: p.worker.ID, Took: c.now - p.task.step.job.taken})
		}
	case work.Unknown:
	case work.OldRun:
		// It ran there before or was called off, and will not start any more.
		// The next list or its end will tell.
		if !p.known {
			p.known, p.void = true, true
			p.okay = c.now
		}
	default:
		c.refused(p, code)
	}
}

// refused takes a refusal in. If another order may be on its way, the run is
// called off before the task goes elsewhere.
func (c *Core) refused(p *place, code work.Code) {
	if p.known {
		return
	}
	c.emit(Note{Kind: "refused", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: string(code)})
	p.worker.blocked = c.now + roomBlock
	switch code {
	case work.Unhealthy:
		p.worker.streak++
	case work.BadTicket:
		c.advice.forget(p)
	}
	if !p.unsure {
		c.free(p)
		return
	}
	c.stop(p, "refused")
}

// first tells of the first start of a job that a worker confirmed.
func (c *Core) first(j *job) {
	if !j.started {
		j.started = true
		c.emit(Note{Kind: "first", Job: j.ID, Reason: j.Queue, Took: c.now - j.taken})
	}
}
