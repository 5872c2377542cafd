package sched

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"lagoonrack/internal/blame"
	"lagoonrack/internal/speed"
	"lagoonrack/internal/vect"
	"lagoonrack/internal/wall"
	"lagoonrack/internal/work"
)

// worker is the owner's record of one incarnation of a worker.
type worker struct {
	work.Worker
	// agent is the address of the worker's agent.
	agent string
	// key orders the workers.
	key        string
	placements placementSet
	// runs finds the placements by the identity of their runs.
	runs map[work.Run]*placement
	// stepCounts counts the placements by step.
	stepCounts map[*step]int
	// reserved is the capacity that the placements reserve, and bestEffortCores the
	// processor time that best-effort placements ask for, in thousandths of a core.
	reserved        vect.Size
	bestEffortCores int64
	// guaranteed is the capacity taken by placements that are not best-effort.
	guaranteed vect.Size
	// headroom caches what latencyHeadroom needs.
	headroom headroomCache
	// bestEffortChanged is when a best-effort placement was last added or removed.
	bestEffortChanged time.Duration
	// shareAt is when the processor time of the best-effort runs was last observed.
	shareAt time.Duration
	// expected is what was expected of the worker's speed at expectedAt.
	expected   speed.Estimate
	expectedAt time.Duration
	// lastReport is when the last report arrived. leaseEnd is an upper bound of the
	// end of every lease that the worker may hold.
	lastReport, leaseEnd time.Duration
	// reported says that the worker's agent has reported to this owner.
	reported bool
	// answered says that a report had the worker's list, so that this incarnation is the
	// one that answers at its address.
	answered bool
	// reportID is the ID of the newest report, and reportArrived when it arrived,
	// or 0.
	reportID      work.ReportID
	reportArrived time.Duration
	// minTransit is the least transit time of the present agent process's reports.
	// It includes the unknown but constant offset between the agent's and the
	// owner's clocks.
	minTransit time.Duration
	// challenge has to be repeated by an agent process other than that of reportID
	// before its reports count.
	challenge challenge
	// listTime is the time as of which the newest list of runs was made.
	listTime time.Duration
	// seenEnd is the highest number of an end that was handled, and storedEnd the
	// highest one that is stored.
	seenEnd, storedEnd int64
	// unresponsive says that the worker does not answer its agent and that its
	// lease is not renewed. gone says that this incarnation has ended.
	unresponsive, gone bool
	// blockedUntil is when runs may be started on the worker again after it refused
	// one.
	blockedUntil time.Duration
	health
	// pendingOrder collects the order that is sent at the end of the step.
	pendingOrder work.Order
	orderQueued  bool
}

// health detects a worker that is at fault for the failed or stalled runs on it.
type health struct {
	record blame.Record
	// loggedSuspect says that the worker was last logged as suspect.
	loggedSuspect bool
	// lastProbe is when a suspect worker was last given a run.
	lastProbe time.Duration
}

const (
	// probeInterval is the minimum time between two test runs of a suspect worker.
	probeInterval = time.Second
	// urgentProbeInterval is the same for tasks that have waited for exclusionPatience. Test
	// runs of others must not keep them waiting.
	urgentProbeInterval = 250 * time.Millisecond
	// reportTimeout is the time without a report after which a worker gets no new
	// runs: three missed reports.
	reportTimeout = 1500 * time.Millisecond
)

// suspect reports whether a worker only gets single test runs.
func (c *Core) suspect(w *worker) bool { return !w.record.Empty() && w.record.Suspect(w.ID, c.now) }

// noteFailure records a failed or stalled run.
func (c *Core) noteFailure(p *placement, reason string) {
	w, s := p.worker, p.task.step
	w.record.Failed(w.ID, s.job.ID, &s.kind, c.now)
	c.logSuspect(w, reason)
}

// noteSuccess records that a task has succeeded.
func (c *Core) noteSuccess(p *placement) {
	p.task.step.kind.Succeeded()
	p.worker.record.Succeeded()
	c.logSuspect(p.worker, "success")
}

// logSuspect logs whether a worker is suspect if that has changed.
func (c *Core) logSuspect(w *worker, reason string) {
	suspect := c.suspect(w)
	if suspect == w.loggedSuspect {
		return
	}
	w.loggedSuspect = suspect
	if suspect {
		c.emit(Decision{Kind: "suspect", Worker: w.ID, Reason: reason})
		return
	}
	c.changes.addWorker(w)
	c.emit(Decision{Kind: "cleared", Worker: w.ID, Reason: reason})
}

// ensureWorker returns the record of an incarnation and creates it if needed.
func (c *Core) ensureWorker(l work.Life, agent string) *worker {
	w := c.workers[l]
	if w == nil {
		w = &worker{agent: agent, key: incarnationKey(l), runs: map[work.Run]*placement{}, stepCounts: map[*step]int{}}
		w.Life = l
		c.workers[l] = w
		i, _ := slices.BinarySearchFunc(c.workerList, w, compareWorkers)
		c.workerList = slices.Insert(c.workerList, i, w)
	}
	w.agent = agent
	if old := c.workerByAgent[agent]; old == nil || old.Born <= l.Born || old.gone {
		c.workerByAgent[agent] = w
	}
	return w
}

// challenge is a number issued to a process of an agent; the number 0 means none.
type challenge struct {
	process int64
	number  uint64
}

// challengeFor returns the number that the process of a report has to repeat, or 0
// if the last accepted report came from the same process.
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

// challengeBits is the number of bits for the challenges of one term. The term is
// in the bits above, so owners of different terms never issue the same number.
const challengeBits = 32

// acceptReport decides whether a report counts and updates the record of the newest
// one. It returns how much longer than the least transit time the report took. It
// returns false if a newer report arrived before, because a delayed report
// describes a past state.
//
// A report from another process of the agent counts only if it repeats the
// challenge. Neither the order of arrival nor the start times of two processes show
// which one is newer, but a process that has ended cannot repeat the number.
func (w *worker) acceptReport(now time.Duration, reportID work.ReportID) (delay time.Duration, ok bool) {
	transit := now - reportID.Sent
	switch {
	case w.reportArrived > 0 && reportID.Process == w.reportID.Process:
		// Clocks drift slightly, so the minimum has to grow with time.
		least := min(transit, w.minTransit+time.Duration(wall.SlewRate*float64(now-w.reportArrived)))
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

// incarnationKey returns the key by which incarnations are ordered.
func incarnationKey(l work.Life) string {
	return l.ID + "/" + strconv.FormatInt(l.Born, 10)
}

// compareWorkers orders workers by their keys.
func compareWorkers(a, b *worker) int { return cmp.Compare(a.key, b.key) }

// add reserves capacity for a placement.
func (w *worker) add(p *placement) {
	w.placements.add(p)
	w.runs[p.id] = p
	s := p.task.step
	w.stepCounts[s]++
	s.placed++
	w.headroom.valid = false
	w.reserved = w.reserved.Add(s.Reserved())
	if s.Fills {
		w.bestEffortCores += s.Size.Cores
	} else {
		w.guaranteed = w.guaranteed.Add(s.Size)
	}
}

// remove releases the capacity of a placement.
func (w *worker) remove(p *placement) {
	if !w.placements.remove(p) {
		return
	}
	delete(w.runs, p.id)
	s := p.task.step
	s.placed--
	if w.stepCounts[s]--; w.stepCounts[s] == 0 {
		delete(w.stepCounts, s)
	}
	w.headroom.valid = false
	w.reserved = w.reserved.Sub(s.Reserved())
	if s.Fills {
		w.bestEffortCores -= s.Size.Cores
	} else {
		w.guaranteed = w.guaranteed.Sub(s.Size)
	}
}

// placementOf returns the placement of a run on the worker, or nil.
func (w *worker) placementOf(r work.Run) *placement { return w.runs[r] }

// free returns the capacity that is not reserved.
func (w *worker) free() vect.Size { return w.Size.Sub(w.reserved) }

// schedulable reports whether the worker may get new runs.
func (c *Core) schedulable(w *worker) bool { return c.usable(w) && c.zoneOpen(w) }

// usable reports whether the worker may get new runs unless its zone is evacuated.
func (c *Core) usable(w *worker) bool {
	return w.reported && !w.gone && !w.unresponsive && !w.Leaving && c.now-w.lastReport < reportTimeout &&
		c.now >= w.blockedUntil && c.workerByAgent[w.agent] == w
}

// hasLabel reports whether the worker has the label. Every worker has the empty
// label.
func (w *worker) hasLabel(label string) bool { return label == "" || slices.Contains(w.Labels, label) }

// release removes a placement whose run has certainly ended or certainly never
// starts, and makes its task wait again.
func (c *Core) release(p *placement) {
	c.drop(p)
	c.requeue(p.task)
}

// drop removes a placement.
func (c *Core) drop(p *placement) {
	j := p.task.step.job
	p.worker.remove(p)
	if p.task.step.Fills {
		p.worker.bestEffortChanged = c.now
	}
	if p.task.step.Lasts {
		c.interference.Forget(p.name())
	}
	j.placements.remove(p)
	p.task.detach(p)
	c.changes.addWorker(p.worker)
	if j.placements.len() == 0 {
		// Best-effort tasks of a job of which nothing runs may have to start at once.
		c.changes.addJob(j)
	}
	c.markDirty(j, j.rowOf(p.task))
}

// requeue records that a task may need a placement again.
func (c *Core) requeue(t *task) {
	if t.waiting() {
		t.waitingSince = c.now
		c.changes.addJob(t.step.job)
	}
}

// releaseAll removes all placements of an incarnation that has ended.
func (c *Core) releaseAll(w *worker, reason string) {
	if w.placements.len() > 0 {
		c.emit(Decision{Kind: "lost", Worker: w.ID, Reason: reason, Took: c.now - w.lastReport})
	}
	for _, p := range w.placements.sorted() {
		c.releaseVanished(p, reason)
	}
}

const (
	// resendAfter is the wait for the outcome of a start before it is ordered
	// again. The worker handles repeated starts of the same run as one.
	resendAfter = 1200 * time.Millisecond
	// restopAfter is the wait for the end of a stopped run before the stop is
	// ordered again.
	restopAfter = 500 * time.Millisecond
	// forgetAfter is how long an incarnation without placements is remembered.
	forgetAfter = 30 * time.Second
)

// tick does the work that depends on the passing of time.
func (c *Core) tick() {
	for _, w := range c.workerList {
		c.checkWorker(w)
	}
	c.forgetWorkers()
	c.speeds.Trim(c.now)
	c.noteSpeeds()
	c.dropFinishedJobs()
	c.updateAdmission()
	c.updateBacklog()
	c.moveSlow()
	c.startSpeculativeCopies()
	c.preempt()
	c.consolidate()
	c.purge()
	c.changes.all = true
}

// forgetWorkers drops incarnations without placements that have not reported for long.
func (c *Core) forgetWorkers() {
	c.workerList = slices.DeleteFunc(c.workerList, func(w *worker) bool {
		if w.placements.len() > 0 || c.now-w.lastReport <= forgetAfter || c.now <= w.leaseEnd {
			return false
		}
		delete(c.workers, w.Life)
		if c.workerByAgent[w.agent] == w {
			delete(c.workerByAgent, w.agent)
		}
		return true
	})
}

// checkWorker releases the placements of an unresponsive worker whose lease has
// expired and repeats orders that got no answer.
func (c *Core) checkWorker(w *worker) {
	if c.now > w.leaseEnd && w.placements.len() > 0 {
		switch {
		case w.unresponsive:
			c.releaseAll(w, "lease")
			return
		case c.now-w.lastReport > reportTimeout:
			c.releaseAll(w, "silent")
			return
		}
	}
	for _, p := range w.placements.sorted() {
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
	if !w.record.Empty() {
		w.record.Trim(c.now)
		c.logSuspect(w, "evidence")
	}
	c.drain(w)
	c.moveStarved(w)
}

const (
	// checkpointBefore is the time before a draining worker ends at which its runs
	// with checkpoints are stopped.
	checkpointBefore = 700 * time.Millisecond
)

// drain moves runs off a draining worker: long-running ones once another worker can
// take them, and those with checkpoints shortly before the worker ends.
func (c *Core) drain(w *worker) {
	if !w.Leaving || w.gone {
		return
	}
	remaining := time.Duration(w.Remaining)*time.Millisecond - (c.now - w.lastReport)
	for _, p := range w.placements.sorted() {
		s := p.task.step
		if p.stopReason != "" || !p.stored {
			continue
		}
		if s.Lasts && c.fitsElsewhere(p) || s.Saves && remaining < checkpointBefore {
			c.stopToMove(p, "leaving")
		}
	}
}

// dropFinishedJobs removes finished jobs without placements from the active list.
func (c *Core) dropFinishedJobs() {
	c.active = slices.DeleteFunc(c.active, func(j *job) bool {
		return j.finished() && j.placements.len() == 0
	})
}
