package sched

import (
	"slices"
	"strconv"
	"time"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// worker is what the owner knows of one life of a worker.
type worker struct {
	work.Worker
	// agent is the address of the agent beside the worker.
	agent      string
	placements map[*placement]bool
	// used is what the places take of the capacity, and fill the processor time
	// that those ask for which use what is left.
	reserved        vect.Size
	bestEffortCores int64
	// solid is what the places take that don't fill.
	guaranteed vect.Size
	// refilled is when the set of tasks that fill changed last.
	bestEffortChanged time.Duration
	// heard is when the last report came, and until is after the end of every
	// lease that the worker may hold.
	lastReport, leaseEnd time.Duration
	// known says that the worker reported to this owner.
	reported bool
	// word is that of the newest report, and timed when it came, or 0.
	reportID      work.ReportID
	reportArrived time.Duration
	// transit is the least time, but for a constant, that a report of the present
	// process was under way.
	minTransit time.Duration
	// challenge is the number that another process of the agent has to repeat before
	// its reports count.
	challenge challenge
	// listedAt is as of when the newest list was.
	listTime time.Duration
	// seen is the highest end that was taken in, and noted the highest that is
	// stored.
	seenEnd, storedEnd int64
	// cut says that the worker gives its agent no answer and its lease is not
	// renewed. gone says that this life is over.
	unresponsive, gone bool
	// blocked is until when nothing is started after refusals for want of room.
	blockedUntil time.Duration
	health
	// out collects the order to send at the end of the step.
	pendingOrder work.Order
	orderQueued  bool
}

// health tells a worker that fails or stalls what it starts.
type health struct {
	// streak counts the failures since the last success.
	failureStreak int
	// probe is when a suspect was last given a run.
	lastProbe time.Duration
}

const (
	// suspectAfter is the number of failures in a row after which a worker only
	// gets single runs as a test.
	suspectAfter = 2
	// probeEvery is the least time between two such runs.
	probeInterval = time.Second
	// silentAfter is the silence after which a worker gets nothing new: three
	// missed reports.
	reportTimeout = 1500 * time.Millisecond
)

func (h *health) suspect() bool { return h.failureStreak >= suspectAfter }

// worker returns the record of a life, made if need be.
func (c *Core) ensureWorker(l work.Life, agent string) *worker {
	k := incarnationKey(l)
	w := c.workers[k]
	if w == nil {
		w = &worker{agent: agent, placements: map[*placement]bool{}}
		w.Life = l
		c.workers[k] = w
	}
	w.agent = agent
	if old := c.workerByAgent[agent]; old == nil || old.Born <= l.Born {
		c.workerByAgent[agent] = w
	}
	return w
}

// challenge is a number that was given to a process, or 0.
type challenge struct {
	process int64
	number  uint64
}

// challenged returns the number that the process of a report has to repeat, or 0 if
// it is the one that was heard last.
func (c *Core) challengeFor(w *worker, reportID work.ReportID) uint64 {
	if reportID.Process == w.reportID.Process {
		return 0
	}
	if w.challenge.process != reportID.Process || w.challenge.number == 0 {
		c.challengeCount++
		w.challenge = challenge{reportID.Process, c.term<<challengeBits | c.challengeCount}
	}
	return w.challenge.number
}

// challengeBits is the room for the challenges of one term: owners of different terms
// never give the same number.
const challengeBits = 32

// arrived takes in when a report was sent. It returns how much longer than usual
// the report was under way, and false if a newer one came before it: a report that
// was held up says what was, not what is. Which of two processes of an agent is the
// newer one can't be told by when their reports arrive, nor by the time of day at
// which they began; a process that has ended repeats no number.
func (w *worker) acceptReport(now time.Duration, reportID work.ReportID) (lag time.Duration, ok bool) {
	transit := now - reportID.Sent
	switch {
	case w.reportArrived > 0 && reportID.Process == w.reportID.Process:
		// Clocks drift a little; the least time must not stay for ever.
		least := min(transit, w.minTransit+time.Duration(slewRate*float64(now-w.reportArrived)))
		if reportID.Sent < w.reportID.Sent {
			return transit - least, false
		}
		w.minTransit = least
	case w.reportArrived > 0 && (w.challenge.number == 0 || w.challenge != challenge{reportID.Process, reportID.Echo}):
		return 0, false
	default:
		w.challenge = challenge{}
		w.minTransit = transit
	}
	w.reportID, w.reportArrived = reportID, max(1, now)
	return transit - w.minTransit, true
}

func incarnationKey(l work.Life) string {
	return l.ID + "/" + strconv.FormatInt(l.Born, 10)
}

// add takes room for a place.
func (w *worker) add(p *placement) {
	w.placements[p] = true
	s := p.task.step
	w.reserved = w.reserved.Add(s.Reserved())
	if s.Fills {
		w.bestEffortCores += s.Size.Cores
	} else {
		w.guaranteed = w.guaranteed.Add(s.Size)
	}
}

// remove gives the room of a place back.
func (w *worker) remove(p *placement) {
	if !w.placements[p] {
		return
	}
	delete(w.placements, p)
	s := p.task.step
	w.reserved = w.reserved.Sub(s.Reserved())
	if s.Fills {
		w.bestEffortCores -= s.Size.Cores
	} else {
		w.guaranteed = w.guaranteed.Sub(s.Size)
	}
}

// room is what is free.
func (w *worker) free() vect.Size { return w.Size.Sub(w.reserved) }

// open reports whether the worker may get new runs.
func (c *Core) schedulable(w *worker) bool {
	return w.reported && !w.gone && !w.unresponsive && !w.Leaving && c.now-w.lastReport < reportTimeout &&
		c.now >= w.blockedUntil && c.workerByAgent[w.agent] == w
}

// has reports whether the worker has a label.
func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// tell queues the worker's order to be sent at the end of the step.
func (c *Core) orderFor(w *worker) *work.Order {
	if !w.orderQueued {
		w.orderQueued = true
		c.outbox = append(c.outbox, w)
		w.pendingOrder = work.Order{Term: c.term, Life: w.Life, Word: w.reportID}
	}
	return &w.pendingOrder
}

// send emits the orders of the step.
func (c *Core) sendOrders() {
	for _, w := range c.outbox {
		w.orderQueued = false
		w.pendingOrder.Noted = w.storedEnd
		c.emit(Send{Agent: w.agent, Order: w.pendingOrder})
	}
	c.outbox = c.outbox[:0]
}

// order sends the start of a place, if it may still be sent.
func (c *Core) orderStart(p *placement) {
	if p.worker.gone || p.task.step.job.finished() {
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
	o.Starts = append(o.Starts, work.Start{About: p.about(), Saved: p.checkpoint, Ticket: p.ticket})
}

func (p *placement) about() work.About {
	s := p.task.step
	return work.About{Run: p.runID(), Lasts: s.Lasts, Fills: s.Fills, Target: s.Target, Image: s.Image}
}

// stop ends a run. One that was never ordered is over at once.
func (c *Core) stop(p *placement, reason string) {
	if p.stopReason != "" {
		return
	}
	p.stopReason = reason
	if p.sentAt == 0 {
		c.release(p)
		return
	}
	c.orderStop(p)
}

func (c *Core) orderStop(p *placement) {
	p.stopSentAt = c.now
	o := c.orderFor(p.worker)
	o.Stops = append(o.Stops, p.runID())
}

// takeOff stops a run that is to go on elsewhere, and says why.
func (c *Core) stopToMove(p *placement, reason string) {
	c.emit(Note{Kind: "move", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: reason})
	c.stop(p, reason)
}

// keepOff does so, and keeps the task off the worker for a while.
func (c *Core) stopAndAvoid(p *placement, reason string) {
	p.task.avoidWorker, p.task.avoidSince = p.worker.ID, c.now
	c.stopToMove(p, reason)
}

// free takes a place away whose run certainly does not and will not run.
func (c *Core) release(p *placement) {
	j := p.task.step.job
	p.worker.remove(p)
	if p.task.step.Fills {
		p.worker.bestEffortChanged = c.now
	}
	if p.task.step.Lasts {
		c.interference.Forget(p.name())
	}
	delete(j.placements, p)
	p.task.placements = slices.DeleteFunc(p.task.placements, func(q *placement) bool { return q == p })
	c.changes.addWorker(p.worker)
	if p.task.waiting() {
		p.task.waitingSince = c.now
		c.changes.addJob(j)
	}
	c.markDirty(j)
}

// lose frees all places of a life that is over.
func (c *Core) releaseAll(w *worker, reason string) {
	if len(w.placements) > 0 {
		c.emit(Note{Kind: "lost", Worker: w.ID, Reason: reason})
	}
	for _, p := range sortedPlacements(w.placements) {
		c.releaseVanished(p, reason)
	}
}

const (
	// resendAfter is the wait for the fate of a start before it is ordered
	// again; the worker takes a repeated start as one.
	resendAfter = 1200 * time.Millisecond
	// restopAfter is the wait for the end of a stopped run before the stop is
	// ordered again.
	restopAfter = 500 * time.Millisecond
	// forgetAfter is how long a life without places is remembered.
	forgetAfter = 30 * time.Second
)

func (c *Core) tick() {
	for _, k := range sortedKeys(c.workers) {
		w := c.workers[k]
		c.checkWorker(w)
		if len(w.placements) == 0 && c.now-w.lastReport > forgetAfter && c.now > w.leaseEnd {
			delete(c.workers, k)
			if c.workerByAgent[w.agent] == w {
				delete(c.workerByAgent, w.agent)
			}
		}
	}
	c.dropFinishedJobs()
	c.updateAdmission()
	c.updateBacklog()
	c.startSpeculativeCopies()
	c.preempt()
	c.consolidate()
	c.purgeEnded()
	c.changes.all = true
}

// watch ends the leases of a silent worker and repeats what has no answer.
func (c *Core) checkWorker(w *worker) {
	if c.now > w.leaseEnd && c.now-w.lastReport > reportTimeout && len(w.placements) > 0 {
		c.releaseAll(w, "silent")
		return
	}
	for _, p := range sortedPlacements(w.placements) {
		switch {
		case !p.stored:
		case p.stopReason != "":
			if c.now-p.stopSentAt > restopAfter {
				c.orderStop(p)
			}
		case !p.confirmed && c.now-p.sentAt > resendAfter:
			c.orderStart(p)
		}
	}
	c.drain(w)
	c.moveStarved(w)
}

const (
	// saveBefore is how long before the end of a leaving worker its runs with
	// checkpoints are stopped.
	checkpointBefore = 700 * time.Millisecond
)

// evacuate moves what can go on elsewhere off a worker that is leaving.
func (c *Core) drain(w *worker) {
	if !w.Leaving || w.gone {
		return
	}
	left := time.Duration(w.Remaining)*time.Millisecond - (c.now - w.lastReport)
	for _, p := range sortedPlacements(w.placements) {
		s := p.task.step
		if p.stopReason != "" || !p.stored {
			continue
		}
		if s.Lasts && c.fitsElsewhere(p) || s.Saves && left < checkpointBefore {
			c.stopToMove(p, "leaving")
		}
	}
}

// retire drops jobs from the list that need nothing any more.
func (c *Core) dropFinishedJobs() {
	c.active = slices.DeleteFunc(c.active, func(j *job) bool {
		return j.finished() && len(j.placements) == 0
	})
}
