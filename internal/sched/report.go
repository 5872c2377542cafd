package sched

import (
	"cmp"
	"slices"
	"time"

	"lagoonrack/internal/work"
)

// handleReport updates the worker's state from an agent's report and answers it.
func (c *Core) handleReport(e Report) {
	if e.Worker.ID == "" {
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term}})
		return
	}
	if current := c.workerByAgent[e.Agent]; current != nil && current.Born > e.Worker.Born && !current.gone {
		// The report is from an earlier incarnation.
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term}})
		return
	}
	w := c.ensureWorker(e.Worker.Life, e.Agent)
	delay, ok := w.acceptReport(c.now, e.Word)
	if !ok {
		c.emit(Decision{Kind: "overtaken", Worker: w.ID, Took: delay})
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term, Challenge: c.challengeFor(w, e.Word), Now: c.moment()}})
		return
	}
	c.wallClock.Add(c.now, e.Agent, time.Duration(e.Unix)*time.Millisecond-c.now)
	changed := !w.reported || w.Leaving != e.Worker.Leaving
	w.Worker = e.Worker
	w.lastReport = c.now
	w.reported = true
	if changed {
		c.changes.addWorker(w)
		c.emit(Decision{Kind: "worker", Worker: w.ID, Reason: readiness(w.Leaving)})
	}
	if e.Listed || len(e.Ends) > 0 {
		// First, so that the ends find the runs that this incarnation inherits.
		c.endPredecessors(w)
	}
	for _, x := range e.Ends {
		c.handleEnd(w, x)
	}
	if e.Listed {
		c.reconcile(w, e.Report, c.now-delay-time.Duration(e.Age)*time.Millisecond, c.provenTime(e.ListedAfter))
	}
	c.updateLease(w, e)
	c.replyToReport(w, e)
}

// provenTime returns the time that a list is not older than, by what its agent knew when it
// requested the list, or 0. Unlike an estimate from the times of reports, it is also right
// if all reports of an agent are delayed.
func (c *Core) provenTime(m work.Moment) time.Duration {
	if m.Term != c.term {
		return 0
	}
	return min(m.At, c.now)
}

// moment returns the present moment.
func (c *Core) moment() work.Moment { return work.Moment{Term: c.term, At: c.now} }

// readiness returns the reason text of a log entry about a worker's state.
func readiness(draining bool) string {
	if draining {
		return "leaving"
	}
	return "ready"
}

// endPredecessors ends earlier incarnations of the same worker or at the same agent once a
// list shows that the present one answers at their address.
func (c *Core) endPredecessors(w *worker) {
	if w.answered {
		return
	}
	w.answered = true
	for _, o := range c.workerList {
		if o == w || o.gone || o.Born >= w.Born || o.agent != w.agent && o.ID != w.ID {
			continue
		}
		o.gone = true
		if o.ID == w.ID {
			c.advice.DropWorker(w.ID)
			c.inheritRuns(w, o)
		} else {
			c.releaseAll(o, "reborn")
		}
	}
}

// inheritRuns passes the placements on an earlier incarnation to the one that has its ID
// now. Orders name only the ID, so the starts may have reached this one: the runs are
// stopped here before their tasks are placed again.
func (c *Core) inheritRuns(w, earlier *worker) {
	if earlier.placements.len() > 0 {
		c.emit(Decision{Kind: "lost", Worker: w.ID, Reason: "reborn", Took: c.now - earlier.lastReport})
	}
	// The lease that an order for the earlier incarnation asked for counts here too.
	w.leaseEnd = max(w.leaseEnd, c.now+c.limits.leaseBound())
	for _, p := range earlier.placements.sorted() {
		if p.sentAt == 0 {
			c.releaseVanished(p, "reborn")
			continue
		}
		earlier.remove(p)
		p.worker, p.stopAppliedAt, p.wontStartAgain = w, 0, false
		w.add(p)
		p.stopReason = cmp.Or(p.stopReason, "reborn")
		c.orderStop(p)
		c.markDirty(p.task.step.job, p.task.step.job.rowOf(p.task))
	}
}

// updateLease updates the upper bound of the worker's lease from a report.
func (c *Core) updateLease(w *worker, e Report) {
	switch {
	case e.Gone:
		w.gone = true
		c.releaseAll(w, "gone")
	case e.Cut:
		if !w.unresponsive {
			reason := "no answer"
			if e.Listed {
				reason = "farewell"
			}
			c.emit(Decision{Kind: "cut", Worker: w.ID, Reason: reason, Took: time.Duration(e.Left) * time.Millisecond})
		}
		w.unresponsive = true
		w.leaseEnd = min(w.leaseEnd, c.now+maxOwnerTime(time.Duration(e.Left)*time.Millisecond)+messageMargin)
		if c.now >= w.leaseEnd {
			c.releaseAll(w, "lease")
		}
	default:
		if w.unresponsive || w.gone {
			c.emit(Decision{Kind: "back", Worker: w.ID})
			c.changes.addWorker(w)
		}
		w.unresponsive, w.gone = false, false
		w.leaseEnd = max(w.leaseEnd, c.now+c.limits.leaseBound())
	}
}

// replyToReport replies once the ends in the report are stored.
func (c *Core) replyToReport(w *worker, e Report) {
	r := work.Reply{Term: c.term, Renew: !e.Cut && !w.gone && c.limits.MayRenew(c.now, c.confirmedAt), About: c.describeRuns(w, e.Asks)}
	r.Press, r.Bases = c.interferenceOn(w)
	c.afterStored(func() {
		r.Noted, r.Now = w.storedEnd, c.moment()
		c.emit(Reply{Token: e.Token, Reply: r})
	})
}

// describeRuns describes those of the runs that an agent asks about that have
// placements.
func (c *Core) describeRuns(w *worker, asks []work.Run) []work.About {
	var out []work.About
	for _, a := range asks {
		if p := w.placementOf(a); p != nil {
			out = append(out, p.about())
		}
	}
	return out
}

// taskOf returns the task that a run belongs to, or nil.
func (c *Core) taskOf(r work.Run) *task {
	at, ok := work.ParseTaskName(r.Task)
	if !ok {
		return nil
	}
	j := c.jobs[at.Job]
	if j == nil {
		return nil
	}
	return j.openTask(at)
}

// handleEnd handles a reported end unless it was handled before.
func (c *Core) handleEnd(w *worker, x work.End) {
	if x.N <= w.seenEnd {
		return
	}
	w.seenEnd = x.N
	if p := w.placementOf(x.Run); p != nil {
		c.noteStarted(p.task.step.job)
		c.finish(p, x.How, x.Saved)
	} else if t := c.taskOf(x.Run); t != nil {
		c.noteStarted(t.step.job)
		if x.How == work.Done && t.lastRun == x.Num && t.waiting() && !t.step.Lasts {
			// The placement was released earlier, but the run succeeded before its
			// lease expired.
			c.markDone(t)
		}
	}
	c.afterStored(func() { w.storedEnd = max(w.storedEnd, x.N) })
}

// finish handles the end of a placement that the worker reported.
func (c *Core) finish(p *placement, reason work.EndReason, checkpoint string) {
	t := p.task
	j := t.step.job
	c.emit(Decision{Kind: "end", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: string(reason), Took: c.now - p.confirmedAt})
	if checkpoint == "" {
		checkpoint = p.checkpoint
	}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	c.learnFromEnd(p, reason)
	c.drop(p)
	succeeded := reason == work.Done && !t.step.Lasts
	if !succeeded {
		c.requeue(t)
	}
	if reason != work.Done {
		c.stopGang(t.step)
	}
	switch {
	case succeeded:
		c.markDone(t)
	case reason == work.Failed && !t.step.Lasts:
		t.failures++
		t.failedOn = append(t.failedOn, p.worker.ID)
		if t.step.countFailures(t) >= j.maxAttempts() {
			c.failJob(j)
		}
	}
	c.updateJob(j)
}

// countFailures returns the number of failed runs of a task, or of all tasks of a
// gang.
func (s *step) countFailures(t *task) int {
	if !s.Gang {
		return t.failures
	}
	n := 0
	for _, x := range s.tasks {
		n += x.failures
	}
	return n
}

// stopGang stops the remaining members of a gang after one has ended.
func (c *Core) stopGang(s *step) {
	if !s.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, q := range slices.Clone(t.placements) {
			c.stop(q, "gang")
		}
	}
}

// markDone marks a task as successful and stops its speculative copies.
func (c *Core) markDone(t *task) {
	if t.done {
		return
	}
	// The success of one member of a gang counts for all members.
	tasks := []*task{t}
	if t.step.Gang {
		tasks = t.step.tasks
	}
	for _, x := range tasks {
		if x.done {
			continue
		}
		x.succeed()
		x.checkpoint = ""
		c.markDirty(x.step.job, x.step.job.rowOf(x))
		for _, q := range slices.Clone(x.placements) {
			c.stop(q, "copy")
		}
	}
	if t.step.unfinished == 0 {
		c.noteStepDone(t.step)
	}
	c.updateJob(t.step.job)
}

// noteStepDone schedules the job again because steps that wait for this one may be
// ready now.
func (c *Core) noteStepDone(s *step) {
	c.changes.addJob(s.job)
	for _, o := range s.job.openOccurrences {
		if o.number == s.occurrenceNumber {
			o.lastReady = c.now
		}
	}
}

// defaultAttempts is how many failed runs fail a job whose queue sets no limit.
const defaultAttempts = 3

// maxAttempts returns how many failed runs of a task fail the job.
func (j *job) maxAttempts() int {
	if n := j.inForce.Attempts; n > 0 {
		return n
	}
	return defaultAttempts
}

// learnFromEnd updates the worker's health and the learned run times from the end
// of a run.
func (c *Core) learnFromEnd(p *placement, reason work.EndReason) {
	switch reason {
	case work.Done:
		c.noteSuccess(p)
		if p.task.step.Lasts {
			return
		}
		c.countWork(p)
		c.observeSpeed(p)
		c.runTimes.Add(c.now, p.task.step.job.Queue, p.task.step.Step, p.task.workDone)
	case work.Failed:
		c.noteFailure(p, "failures")
	}
}

// maxMissedLists is the number of successive lists without a run after which the
// run is taken to be gone.
const maxMissedLists = 2

// reconcile compares the list of a worker's runs in a report with its placements. The list
// was made at about a time, and certainly not before the proven one.
func (c *Core) reconcile(w *worker, report work.Report, at, proven time.Duration) {
	// An agent repeats its last list while the worker does not answer. A repeated
	// list is no evidence that a run has stalled.
	newList := at > w.listTime+messageMargin
	if newList {
		w.listTime = at
	}
	c.listCount++
	for _, r := range report.Running {
		p := w.placementOf(r.Run)
		if p == nil {
			c.stopUnknownRun(w, r.Run)
			continue
		}
		p.listedIn = c.listCount
		lastPercent := p.percent
		c.updateProgress(p, r)
		if newList {
			c.checkStall(p, lastPercent)
		}
	}
	c.observeInterference(w)
	c.observeShare(w)
	if report.MoreEnds {
		// A run that is not listed may have ended, even successfully.
		return
	}
	for _, p := range w.placements.sorted() {
		if p.listedIn != c.listCount {
			c.handleMissing(p, proven)
		}
	}
}

// handleMissing decides on a placement whose run is not in a list that was not made before
// the given time.
func (c *Core) handleMissing(p *placement, proven time.Duration) {
	switch {
	case p.stopAppliedAt > 0 && proven > p.stopAppliedAt:
		c.releaseVanished(p, p.stopReason)
	case p.wontStartAgain && proven > p.confirmedAt:
		c.releaseVanished(p, "void")
	case p.adopted && p.stopReason == "":
		// The previous owner may not have ordered the start. Ordering it again has
		// no effect if the run has started or ended.
		p.adopted = false
		if p.worker.Leaving {
			c.stop(p, "leaving")
		} else {
			c.orderStart(p)
		}
	case c.neverStarted(p, proven):
		// The stop guarantees that the run never starts.
		c.stop(p, "evacuated")
	case p.confirmed && p.stored && p.stopReason == "" && proven > p.confirmedAt:
		if p.missedLists++; p.missedLists >= maxMissedLists {
			// The stop guarantees that the run never starts.
			c.stop(p, "vanished")
		}
	}
}

// releaseVanished releases a placement whose run is over without a reported end.
func (c *Core) releaseVanished(p *placement, reason string) {
	c.emit(Decision{Kind: "vanish", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: reason})
	c.released.Add(c.now, p.worker.ID, p.id, reason)
	if p.checkpoint != "" {
		p.task.checkpoint = p.checkpoint
	}
	c.release(p)
	c.stopGang(p.task.step)
	c.updateJob(p.task.step.job)
}

// updateProgress updates a placement from the worker's list of runs.
func (c *Core) updateProgress(p *placement, r work.Running) {
	c.confirmStart(p, true)
	p.missedLists = 0
	if r.Saved != "" {
		p.checkpoint = r.Saved
	}
	p.percent = r.Percent
	p.measured = r.Figure
	c.countWork(p)
	c.updateStarved(p)
}

// stopUnknownRun stops a run without a placement: the placement was released, or an
// owner ordered the run whose transaction was not applied.
func (c *Core) stopUnknownRun(w *worker, r work.Run) {
	stray := Decision{Kind: "stray", Task: r.Task, Run: r.Num, Worker: w.ID}
	if reason, at, ok := c.released.Find(w.ID, r); ok {
		stray.Reason, stray.Took = reason, c.now-at
	}
	c.emit(stray)
	if t := c.taskOf(r); t != nil {
		c.noteStarted(t.step.job)
	}
	o := c.orderFor(w)
	o.Stops = append(o.Stops, r)
}
