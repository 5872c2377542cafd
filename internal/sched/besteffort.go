package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/press"
	"lagoonrack/internal/work"
)

// This file places best-effort tasks, which use processor time that
// latency-critical tasks leave idle. At peak load they ask for several times the
// idle time, for seconds. Some of their images interfere with the latency-critical
// tasks beside them so much that these miss their targets, others do not.

const (
	// assumedUtilization is the share of their reserved processor time that
	// latency-critical tasks are assumed to use.
	assumedUtilization = 0.5
	// initialMargin is the headroom below a latency-critical task's limit that a
	// new best-effort task beside it must leave, because the load fluctuates during
	// its run. While the task waits, the margin falls to minMargin within
	// marginDecayTime. Under low load tasks rarely wait that long; under high load
	// a longer wait would cost more than the interference.
	initialMargin   = 0.1
	minMargin       = 0.03
	marginDecayTime = time.Second
	// slackMargin applies to a task whose job has more than ampleSlack, unless
	// there is a backlog: waiting for a worker with more headroom costs its caller
	// nothing. lateMargin applies to a task whose job will be late anyway; the job
	// is worth less than the latency-critical tasks that it would interfere with.
	slackMargin = 0.15
	ampleSlack  = 2 * time.Second
	lateMargin  = 0.1
	// backlogShare is the share of all processors that waiting best-effort tasks
	// have to ask for to count as a backlog. During a backlog, a task that waits
	// finds less capacity later.
	backlogShare = 0.25
	// measurementWindow is the period that a reported measurement covers.
	measurementWindow = 600 * time.Millisecond
	// starvedShare is the share of the requested processor time below which a
	// best-effort task counts as starved, and starvedTimeout how long it may be
	// starved before it is moved. Stopping it makes a checkpoint, so no work is
	// lost.
	starvedShare   = 0.4
	starvedTimeout = 700 * time.Millisecond
	// starvedNoCheckpointTimeout is the same for a task without checkpoints, which
	// has to start again from the beginning.
	starvedNoCheckpointTimeout = 1800 * time.Millisecond
	// avoidDuration is how long a task is kept off a worker that it was moved off.
	avoidDuration = 3 * time.Second
	// fullPercent is the progress of a complete task, and of a long-running task
	// that is at work.
	fullPercent = 100
)

// idleCores returns the processor time that best-effort tasks on a worker can
// expect, in thousandths of a core.
func (c *Core) idleCores(w *worker) int64 {
	return w.Size.Cores - int64(assumedUtilization*float64(w.guaranteed.Cores))
}

// forcedStartAfter is how long a job of which nothing runs waits for workers with
// enough headroom. After that, one of its tasks starts where it interferes least
// and the agent throttles it, because a job must not wait without any running task
// while there is capacity. Waits of up to 3 s are acceptable.
const forcedStartAfter = 1500 * time.Millisecond

// mustStart reports whether nothing of a task's job runs and the task has waited
// for longer than forcedStartAfter.
func (c *Core) mustStart(t *task) bool {
	return t.step.job.placements.len() == 0 && c.waitTime(t) > forcedStartAfter
}

// bestEffortFits reports whether a best-effort task would get the processor time
// that it asks for and leave enough headroom to the latency-critical tasks beside
// it.
func (c *Core) bestEffortFits(t *task, w *worker) bool {
	return c.hasIdleCores(t.step, w) && c.latencyHeadroom(t.step, w) >= c.requiredMargin(t)
}

// hasIdleCores reports whether a worker has the idle processor time that a best-effort
// task asks for, or no other best-effort task.
func (c *Core) hasIdleCores(s *step, w *worker) bool {
	return w.bestEffortCores+s.Size.Cores <= c.offeredCores(w) || w.bestEffortCores == 0
}

// requiredMargin returns the headroom that a task must leave to the
// latency-critical tasks beside it. It depends on the slack of its job and falls
// while the task waits.
func (c *Core) requiredMargin(t *task) float64 {
	switch o := t.step.occurrence; {
	case o.slack > ampleSlack && !c.bestEffortBacklog:
		return slackMargin
	case o.slack < 0:
		return lateMargin
	}
	waited := min(1, c.waitTime(t).Seconds()/marginDecayTime.Seconds())
	return initialMargin - waited*(initialMargin-minMargin)
}

// updateBacklog determines whether more best-effort tasks wait than can be placed
// soon.
func (c *Core) updateBacklog() {
	var waiting, size int64
	for _, j := range c.active {
		if !j.finished() {
			waiting += j.waitingBestEffortCores()
		}
	}
	for _, w := range c.schedulableWorkers() {
		size += w.Size.Cores
	}
	c.bestEffortBacklog = float64(waiting) > backlogShare*float64(size)
}

// waitingBestEffortCores returns the processor time that the job's waiting
// best-effort tasks ask for, in thousandths of a core.
func (j *job) waitingBestEffortCores() int64 {
	if !slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Fills }) {
		return 0
	}
	var sum int64
	for _, s := range j.readySteps() {
		if s.Fills {
			sum += int64(s.waiting) * s.Size.Cores
		}
	}
	return sum
}

// latencyHeadroom returns the least headroom that a worker's latency-critical tasks
// would have with one more task of the step beside them.
func (c *Core) latencyHeadroom(s *step, w *worker) float64 {
	share := coreShare(s.Size.Cores, w)
	least := 1.0
	for _, x := range c.criticalTasks(w) {
		if x.ending {
			continue
		}
		least = min(least, x.limit-(x.stress+c.interference.Factor(s.Image, x.image)*share))
	}
	return least
}

// headroomCache holds the latency-critical tasks on a worker. It is valid until the
// worker's placements change or its measurements arrive, and for headroomMaxAge:
// measurements on other workers change the estimated factors only slowly.
type headroomCache struct {
	tasks      []criticalTask
	valid      bool
	computedAt time.Duration
}

// headroomMaxAge bounds the age of a headroomCache.
const headroomMaxAge = 100 * time.Millisecond

// criticalTask is a latency-critical task with its predicted stress and the stress at
// which it misses its target.
type criticalTask struct {
	image         string
	stress, limit float64
	// ending says that the task is being stopped.
	ending bool
}

// criticalTasks returns the latency-critical tasks on a worker.
func (c *Core) criticalTasks(w *worker) []criticalTask {
	k := &w.headroom
	if k.valid && c.now-k.computedAt < headroomMaxAge {
		return k.tasks
	}
	k.tasks = k.tasks[:0]
	loads := w.bestEffortLoads()
	for _, p := range w.placements.list {
		if x := p.task.step; x.Lasts && x.Target > 0 {
			k.tasks = append(k.tasks, criticalTask{
				image: x.Image, ending: p.stopReason != "",
				stress: c.interference.PredictStress(latencyTask(p), loads), limit: c.interference.StressLimit(x.Image, x.Target),
			})
		}
	}
	k.valid, k.computedAt = true, c.now
	return k.tasks
}

// latencyTask describes a latency-critical placement for the interference estimate.
func latencyTask(p *placement) press.LatencyCriticalTask {
	return press.LatencyCriticalTask{Task: p.name(), Image: p.task.step.Image, Target: p.task.step.Target}
}

// coreShare returns processor time, in thousandths of a core, as a share of the
// worker's processors.
func coreShare(cores int64, w *worker) float64 {
	return float64(cores) / float64(max(1, w.Size.Cores))
}

// bestEffortLoads lists the worker's best-effort tasks by the processor time that
// they ask for.
func (w *worker) bestEffortLoads() []press.BestEffortTask {
	var out []press.BestEffortTask
	for _, p := range w.placements.list {
		if s := p.task.step; s.Fills {
			out = append(out, press.BestEffortTask{Image: s.Image, Share: coreShare(s.Size.Cores, w)})
		}
	}
	return out
}

// bestEffortScore prefers workers on which the task interferes least, then those
// with the most headroom and idle processor time.
func (c *Core) bestEffortScore(s *step, w *worker, headroom float64) float64 {
	share := coreShare(s.Size.Cores, w)
	penalty := max(0, minMargin-headroom)
	for _, x := range c.criticalTasks(w) {
		penalty = max(penalty, share*c.interference.Factor(s.Image, x.image))
	}
	return headroomWeight*(headroom+coreShare(c.idleCores(w)-w.bestEffortCores, w)) - penalty
}

// headroomWeight is the weight of headroom and idle processor time against the
// interference that a task adds. It is small so that a task goes where it
// interferes least and leaves the headroom of other workers to tasks that need it.
const headroomWeight = 0.2

// updateStarved records whether a best-effort run gets the processor time that it
// asks for.
func (c *Core) updateStarved(p *placement) {
	s := p.task.step
	if !s.Fills || float64(p.measured) >= starvedShare*float64(s.Size.Cores) {
		p.starvedSince = 0
	} else if p.starvedSince == 0 {
		p.starvedSince = c.now
	}
}

// moveStarved moves starved tasks off a worker.
func (c *Core) moveStarved(w *worker) {
	for _, p := range w.placements.sorted() {
		s := p.task.step
		timeout := starvedTimeout
		if !s.Saves {
			timeout = starvedNoCheckpointTimeout
		}
		if p.starvedSince == 0 || p.stopReason != "" || s.Gang || c.now-max(p.starvedSince, p.confirmedAt) < timeout || !c.mayLeave(p) {
			continue
		}
		c.stopAndAvoid(p, "starved")
	}
}

// observeInterference updates the interference estimate from the measurements in a
// worker's newest list of runs.
func (c *Core) observeInterference(w *worker) {
	w.headroom.valid = false
	var loads []press.BestEffortTask
	for _, p := range w.placements.list {
		if s := p.task.step; s.Fills && p.listedIn == c.listCount {
			loads = append(loads, press.BestEffortTask{Image: s.Image, Share: coreShare(p.measured, w)})
		}
	}
	for _, p := range w.placements.list {
		s := p.task.step
		if p.listedIn != c.listCount || !s.Lasts || s.Target <= 0 || p.percent < fullPercent {
			continue
		}
		c.interference.Observe(c.now, press.Measurement{
			Task: p.name(), Image: s.Image, Tail: p.measured, Target: s.Target,
			BestEffort: loads, Steady: c.now-w.bestEffortChanged > measurementWindow,
		})
	}
}

// interferenceOn returns how the images on a worker interfere with one another and
// the tail latency, in milliseconds, of idle tasks of its latency-critical images.
func (c *Core) interferenceOn(w *worker) ([]work.Interference, map[string]float64) {
	bestEffort, latencyCritical := map[string]bool{}, map[string]bool{}
	bases := map[string]float64{}
	for _, p := range w.placements.list {
		switch s := p.task.step; {
		case s.Fills:
			bestEffort[s.Image] = true
		case s.Lasts && s.Target > 0:
			latencyCritical[s.Image] = true
			bases[s.Image] = c.interference.Base(s.Image, s.Target)
		}
	}
	if len(bestEffort) == 0 {
		return nil, nil
	}
	return c.interference.Factors(bestEffort, latencyCritical), bases
}
