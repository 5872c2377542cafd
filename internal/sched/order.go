package sched

import (
	"time"

	"lagoonrack/internal/shed"
)

// dueTime returns when an occurrence should have ended, by the owner's clock.
func (c *Core) dueTime(o *occurrence) time.Duration {
	return c.startTime(o) + o.job.allowedDuration(c.expectedChain(o))
}

// allowedDuration returns how long an occurrence may take whose longest chain of steps takes
// the given time.
func (j *job) allowedDuration(chain time.Duration) time.Duration {
	stretch := j.inForce.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return time.Duration(stretch*float64(chain)) + time.Duration(j.inForce.Target)*time.Millisecond
}

// startTime returns the time from which the duration of an occurrence is measured,
// by the owner's clock: the job's acceptance or the scheduled time of the
// occurrence.
func (c *Core) startTime(o *occurrence) time.Duration {
	j := o.job
	if j.Times <= 0 {
		return j.acceptedAt
	}
	wallClock, ok := c.wallClock.At(c.now)
	if !ok {
		return c.now
	}
	return c.now - (wallClock - time.Duration(j.First+int64(o.number)*j.Every)*time.Millisecond)
}

// longestChain returns the length of the longest chain of steps that depend on one
// another, given the length of each step.
func (j *job) longestChain(length func(i int) time.Duration) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += length(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// expectedChain returns the expected duration of the longest chain of steps. Tasks
// that have run count with their actual durations.
func (c *Core) expectedChain(o *occurrence) time.Duration {
	return o.job.longestChain(func(i int) time.Duration {
		return c.longestTask(o.steps[i], c.expectedLongest(o.job, &o.job.Steps[i]))
	})
}

// longestTask returns the expected duration of the longest task of a step. Tasks of
// which nothing is known yet count with expectedLongest.
func (c *Core) longestTask(s *step, expectedLongest time.Duration) time.Duration {
	if !s.everPlaced {
		return expectedLongest
	}
	var longest time.Duration
	hasUnknown := false
	for _, t := range s.tasks {
		whole, _ := c.expectedWork(t, 0)
		longest = max(longest, whole)
		hasUnknown = hasUnknown || !t.done && whole == 0
	}
	if hasUnknown {
		longest = max(longest, expectedLongest)
	}
	return longest
}

// remainingChain returns the expected remaining duration of the longest chain of
// steps.
func (c *Core) remainingChain(o *occurrence) time.Duration {
	return o.job.longestChain(func(i int) time.Duration { return c.remainingOfStep(o.job, o.steps[i]) })
}

// remainingOfStep returns the expected time until the last task of a step ends if
// the waiting ones start now.
func (c *Core) remainingOfStep(j *job, s *step) time.Duration {
	if s.unfinished == 0 {
		return 0
	}
	expected := c.expectedLongest(j, s.Step)
	if !s.everPlaced {
		return expected
	}
	var longest time.Duration
	for _, t := range s.tasks {
		_, remaining := c.expectedWork(t, expected)
		longest = max(longest, remaining)
	}
	return longest
}

// These are the ranks of occurrences within one priority. Under overload, ordering
// by due time alone would finish every occurrence just too late. So those that were
// started are finished first, and those that cannot end in time any more come after
// those that can.
const (
	rankStarted = iota
	rankInTime
	rankLate
	rankHopeless
)

// rankNames holds the names of the ranks in the log.
var rankNames = [...]string{rankStarted: "begun", rankInTime: "in time", rankLate: "late", rankHopeless: "hopeless"}

// hopelessFactor is the multiple of its allowed duration after which the end of an
// occurrence is worth nothing any more.
const hopelessFactor = 3

// updateRank computes the due time, rank and slack of an occurrence.
func (c *Core) updateRank(o *occurrence) {
	o.priority = o.job.inForce.Priority
	o.due = c.dueTime(o)
	o.rank, o.slack, o.order = rankStarted, 0, 0
	if o.job.isLongRunning() {
		return
	}
	start := c.startTime(o)
	end := c.now + c.remainingChain(o)
	o.slack = o.due - end
	switch {
	case end > start+hopelessFactor*(o.due-start):
		o.rank = rankHopeless
	case end > o.due:
		o.rank = rankLate
	case !o.everPlaced:
		o.rank = rankInTime
	}
	if c.limits.Overload {
		c.rankByCost(o)
	}
}

// rankByCost changes the rank of an occurrence and its order within the rank by what it costs
// callers to delay it.
func (c *Core) rankByCost(o *occurrence) {
	g := c.gates[o.job.Service]
	if g == nil {
		return
	}
	left, total := c.workOf(o)
	if o.rank < rankLate && !g.InTime(left, o.slack) {
		o.rank = rankLate
	}
	if o.rank == rankInTime {
		o.order = g.LatestStart(o.due, left).Seconds()
		return
	}
	o.order = shed.RelativeCost(left, total)
}

// workOf returns the expected remaining and whole work of an occurrence, in thousandths of a
// core times seconds.
func (c *Core) workOf(o *occurrence) (left, total float64) {
	for _, s := range o.steps {
		perTask := c.runTimes.Mean(o.job.Queue, s.Step).Seconds() * float64(s.Size.Cores)
		total += perTask * float64(s.Count)
		left += perTask * (float64(s.waiting) + runningShare*float64(s.unfinished-s.waiting))
	}
	return left, total
}

// runningShare is the part of the work of running tasks that is expected to be left: they
// are halfway on average.
const runningShare = 0.5

// isLongRunning reports whether the job's tasks run until it is cancelled.
func (j *job) isLongRunning() bool { return j.Steps[0].Lasts }
