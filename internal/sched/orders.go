package sched

import (
	"lagoonrack/internal/work"
)

// orderFor returns the worker's order, which is sent at the end of the step.
func (c *Core) orderFor(w *worker) *work.Order {
	if !w.orderQueued {
		w.orderQueued = true
		c.outbox = append(c.outbox, w)
		w.pendingOrder = work.Order{Term: c.term, Life: w.Life, Word: w.reportID}
	}
	return &w.pendingOrder
}

// sendOrders emits the orders that were collected during the step.
func (c *Core) sendOrders() {
	for _, w := range c.outbox {
		w.orderQueued = false
		w.pendingOrder.Noted, w.pendingOrder.Now = w.storedEnd, c.moment()
		c.emit(Send{Agent: w.agent, Order: w.pendingOrder})
	}
	c.outbox = c.outbox[:0]
}

// orderStart adds the start of a placement to the worker's order unless the worker
// has ended, its zone may be evacuated or the job is finished.
func (c *Core) orderStart(p *placement) {
	if p.worker.gone || p.task.step.job.finished() || !c.zoneOpen(p.worker) {
		return
	}
	o := c.orderFor(p.worker)
	s := p.task.step
	p.multipleOrders = p.multipleOrders || p.sentAt > 0
	p.sentAt = max(1, c.now)
	if o.Specs == nil {
		o.Specs = map[string]string{}
	}
	o.Specs[s.job.ID] = s.job.Spec
	o.StartBy = c.startBy(p.worker)
	o.Starts = append(o.Starts, work.Start{About: p.about(), Saved: p.checkpoint, Ticket: p.ticket})
}

// about returns what the agent has to know of the run.
func (p *placement) about() work.About {
	s := p.task.step
	return work.About{Run: p.runID(), Lasts: s.Lasts, Fills: s.Fills, Target: s.Target, Image: s.Image}
}

// stop orders the end of a run. A placement whose start was never ordered is
// released at once.
func (c *Core) stop(p *placement, reason string) {
	if p.stopReason != "" {
		return
	}
	p.stopReason = reason
	p.worker.headroom.valid = false
	if p.sentAt == 0 {
		c.release(p)
		return
	}
	c.orderStop(p)
}

// orderStop adds the stop of a run to the worker's order.
func (c *Core) orderStop(p *placement) {
	p.stopSentAt = c.now
	o := c.orderFor(p.worker)
	o.Stops = append(o.Stops, p.runID())
}

// stopToMove stops a run that is to continue on another worker and logs the reason.
func (c *Core) stopToMove(p *placement, reason string) {
	c.emit(Decision{Kind: "move", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: reason, Took: p.staysFor, Expectation: Expectation{Needs: p.elsewhere}})
	c.stop(p, reason)
}

// stopAndAvoid stops a run to move it and keeps the task off the worker for
// avoidDuration.
func (c *Core) stopAndAvoid(p *placement, reason string) {
	p.task.avoidWorker, p.task.avoidSince = p.worker.ID, c.now
	c.stopToMove(p, reason)
}
