package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/speed"
)

// This file passes to internal/speed what is seen of best-effort runs, and asks it for
// decisions. It changes nothing unless Limits.Uneven is set.

const (
	// maxRestoreTime is how long a run may restore its checkpoint before it uses processor
	// time.
	maxRestoreTime = 600 * time.Millisecond
	// slownessWeight is the weight of the expected duration of a task, as a multiple of what
	// its queue says, against the interference that it adds and the headroom that it leaves.
	slownessWeight = 1
	// offerFactor is how much more processor time best-effort tasks may ask for than they are
	// expected to get. Without it, the rest of each worker that no further task fits stays
	// unused, about half a task.
	offerFactor = 1.1
	// slowMargin is the share of its remaining time that a run must gain by leaving a slow
	// worker. With 0.2, twice as many runs were moved as with 0.3, for the same result; with
	// 0.5, callers gained half as much.
	slowMargin = 0.3
	// slowInterval is the time between two looks for runs on slow workers. slowMaxChecks
	// bounds the runs that are compared with all workers in one look, and slowMaxMoves those
	// that are moved. With four, callers gained no more than with two.
	slowInterval  = 200 * time.Millisecond
	slowMaxChecks = 16
	slowMaxMoves  = 2
	// estimateMaxAge bounds the age of the estimate of a worker that is used again.
	estimateMaxAge = 250 * time.Millisecond
	// speedLogInterval is the time between two logs of the estimates, which take one line for
	// each zone and two more.
	speedLogInterval = 10 * time.Second
)

// place returns where a worker is.
func (w *worker) place() speed.Place {
	return speed.Place{Worker: w.ID, Rack: w.Rack(), Zone: w.Zone}
}

// observeShare records the processor time that the best-effort runs in a worker's newest list
// get, relative to what was expected for them.
func (c *Core) observeShare(w *worker) {
	if !c.limits.Uneven {
		return
	}
	var asked, got int64
	for _, p := range w.placements.list {
		if s := p.task.step; s.Fills && p.listedIn == c.listCount && p.stopReason == "" && c.now-p.confirmedAt >= settleTime(p) {
			asked += s.Size.Cores
			got += p.measured
		}
	}
	if expected := min(asked, c.idleCores(w)); expected > 0 {
		c.speeds.ObserveShare(c.now, w.place(), float64(got)/float64(expected), c.now-w.shareAt)
	}
	w.shareAt = c.now
}

// settleTime returns for how long after its start a run's processor time says nothing about its
// worker. It must be less than the time after which a starved run is moved, or that would leave
// no evidence.
func settleTime(p *placement) time.Duration {
	if p.checkpoint == "" {
		return measurementWindow
	}
	return measurementWindow + maxRestoreTime
}

// observeSpeed records the speed of a successful run that did a whole task.
func (c *Core) observeSpeed(p *placement) {
	t := p.task
	if !c.limits.Uneven || t.lastRun != 1 || t.workDone <= 0 {
		return
	}
	usual, _ := c.runTimes.Estimate(t.step.job.Queue, t.step.Step)
	c.speeds.ObserveSpeed(c.now, p.worker.place(), usual.Seconds()/t.workDone.Seconds())
}

// expectedShare returns the share of what they ask for that the best-effort tasks on a worker
// would get if they got the idle processor time, given how much they ask for.
func (c *Core) expectedShare(w *worker, asked int64) float64 {
	return min(1, float64(max(0, c.idleCores(w)))/float64(max(1, asked)))
}

// offeredCores returns how much processor time best-effort tasks on a worker may ask for, in
// thousandths of a core.
func (c *Core) offeredCores(w *worker) int64 {
	idle := c.idleCores(w)
	if !c.limits.Uneven {
		return idle
	}
	return int64(offerFactor * c.estimate(w).Share * float64(idle))
}

// slowness returns what speaks against a worker for a best-effort task of a step because runs
// take longer there than elsewhere.
func (c *Core) slowness(s *step, w *worker) float64 {
	if !c.limits.Uneven {
		return 0
	}
	share := c.expectedShare(w, w.bestEffortCores+s.Size.Cores)
	return slownessWeight * c.estimate(w).End(time.Second, share).Seconds()
}

// workLeft returns the expected work of a run that is left, as a duration at a speed of 1.
func (c *Core) workLeft(p *placement) time.Duration {
	usual, _ := c.runTimes.Estimate(p.task.step.job.Queue, p.task.step.Step)
	_, left := c.expectedWork(p.task, usual)
	if p.percent < minExtrapolatePercent {
		return left
	}
	// The progress is extrapolated at the speed of the worker.
	return time.Duration(float64(left) * c.estimate(p.worker).Speed)
}

// staysFor returns how long a run with the given work left is expected to need where it is.
func (c *Core) staysFor(p *placement, left time.Duration) time.Duration {
	w := p.worker
	present := float64(p.measured) / float64(max(1, p.task.step.Size.Cores))
	return c.estimate(w).EndIfStays(left, c.expectedShare(w, w.bestEffortCores), present)
}

// moveSlow moves best-effort runs with checkpoints from slow workers to others that can take
// them at once, unless many best-effort tasks wait: those need the other workers more.
func (c *Core) moveSlow() {
	if !c.limits.Uneven || c.bestEffortBacklog || c.now-c.slowCheckedAt < slowInterval {
		return
	}
	c.slowCheckedAt = c.now
	workers := c.schedulableWorkers()
	fastest := 0.0
	for _, w := range workers {
		fastest = max(fastest, c.estimate(w).Speed)
	}
	slices.SortStableFunc(workers, func(a, b *worker) int { return cmp.Compare(c.estimate(a).Speed, c.estimate(b).Speed) })
	checks, moves := slowMaxChecks, slowMaxMoves
	for _, w := range workers {
		for _, p := range w.placements.sorted() {
			if checks == 0 || moves == 0 {
				return
			}
			if s := p.task.step; !s.Fills || !s.Saves || s.Gang || len(p.task.placements) > 1 || !p.confirmed || p.stopReason != "" || c.now-p.confirmedAt < settleTime(p) {
				continue
			}
			left := c.workLeft(p)
			p.staysFor, p.elsewhere = c.staysFor(p, left), speed.Move(time.Duration(float64(left)/fastest))
			if !speed.MovePays(p.staysFor, p.elsewhere, slowMargin) {
				continue // Not even the fastest worker would pay.
			}
			checks--
			end, ok := c.soonestElsewhere(p, left)
			p.elsewhere = speed.Move(end)
			if ok && speed.MovePays(p.staysFor, p.elsewhere, slowMargin) {
				c.stopAndAvoid(p, "slow")
				moves--
			}
		}
	}
}

// soonestElsewhere returns how long a run with the given work left is expected to need on the
// best of the other workers that can take it now. It returns false if there is none.
func (c *Core) soonestElsewhere(p *placement, left time.Duration) (soonest time.Duration, ok bool) {
	s := p.task.step
	for _, w := range c.candidates(s, c.schedulableWorkers()) {
		if w == p.worker || c.suspect(w) || !c.fits(p.task, w) {
			continue
		}
		if end := c.estimate(w).End(left, c.expectedShare(w, w.bestEffortCores+s.Size.Cores)); !ok || end < soonest {
			soonest, ok = end, true
		}
	}
	return soonest, ok
}

// expectation returns what is expected of a run that is placed now.
func (c *Core) expectation(p *placement) Expectation {
	s, w := p.task.step, p.worker
	if !c.limits.Uneven || !s.Fills {
		return Expectation{}
	}
	e := c.estimate(w)
	return Expectation{Needs: e.End(c.workLeft(p), c.expectedShare(w, w.bestEffortCores)), Speed: e.Speed, Share: e.Share}
}

// SpeedCensus sums up what is learned of the ready workers. It is zero unless Limits.Uneven is
// set.
type SpeedCensus struct {
	// Slowest, Median and Fastest are speeds, LeastShare and MedianShare shares of the
	// processor time expected for best-effort runs.
	Slowest, Median, Fastest, LeastShare, MedianShare float64
	// MedianAge is the median time since the newest evidence about the speed of a worker.
	MedianAge time.Duration
}

// speedCensus returns the sum of what is learned.
func (c *Core) speedCensus() SpeedCensus {
	workers := c.schedulableWorkers()
	if !c.limits.Uneven || len(workers) == 0 {
		return SpeedCensus{}
	}
	var speeds, shares []float64
	var ages []time.Duration
	for _, w := range workers {
		e := c.estimate(w)
		speeds, shares, ages = append(speeds, e.Speed), append(shares, e.Share), append(ages, e.Age)
	}
	slices.Sort(speeds)
	slices.Sort(shares)
	slices.Sort(ages)
	middle := len(workers) / 2
	return SpeedCensus{
		Slowest: speeds[0], Median: speeds[middle], Fastest: speeds[len(speeds)-1],
		LeastShare: shares[0], MedianShare: shares[middle], MedianAge: ages[middle],
	}
}

// noteSpeeds logs the estimates of the zones, of the slowest worker and of that where
// best-effort runs get the least.
func (c *Core) noteSpeeds() {
	if !c.limits.Uneven || c.now-c.speedsLoggedAt < speedLogInterval {
		return
	}
	c.speedsLoggedAt = c.now
	zones := map[string]bool{}
	var slowest, least *worker
	for _, w := range c.schedulableWorkers() {
		zones[w.Zone] = true
		if slowest == nil || c.estimate(w).Speed < c.estimate(slowest).Speed {
			slowest = w
		}
		if least == nil || c.estimate(w).Share < c.estimate(least).Share {
			least = w
		}
	}
	for _, z := range slices.Sorted(maps.Keys(zones)) {
		e := c.speeds.OfZone(c.now, z)
		c.emit(Decision{Kind: "speed", Reason: "zone", Took: e.Age, Expectation: Expectation{Zone: z, Speed: e.Speed, Share: e.Share}})
	}
	if slowest != nil {
		c.emitSpeed(slowest, "slowest")
		c.emitSpeed(least, "least")
	}
}

// emitSpeed logs the estimates of a worker.
func (c *Core) emitSpeed(w *worker, reason string) {
	e := c.estimate(w)
	c.emit(Decision{Kind: "speed", Worker: w.ID, Reason: reason, Took: e.Age, Expectation: Expectation{Zone: w.Zone, Speed: e.Speed, Share: e.Share}})
}

// estimate returns what is expected of a worker. It is needed for each candidate of each step.
func (c *Core) estimate(w *worker) speed.Estimate {
	if w.expected.Speed != 0 && c.now-w.expectedAt < estimateMaxAge {
		return w.expected
	}
	e := c.speeds.Of(c.now, w.place())
	if !c.readOnly {
		w.expected, w.expectedAt = e, c.now
	}
	return e
}
