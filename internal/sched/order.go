package sched

import (
	"cmp"
	"slices"
	"time"
)

// objective is by when an occurrence should have ended, by the owner's clock.
func (c *Core) dueTime(o *occurrence) time.Duration {
	q := c.queues[o.job.Queue]
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return c.startTime(o) + time.Duration(stretch*float64(c.expectedChain(o))) + time.Duration(q.Target)*time.Millisecond
}

// begins is when the time of an occurrence began to count, by the owner's clock.
func (c *Core) startTime(o *occurrence) time.Duration {
	j := o.job
	if j.Times <= 0 {
		return j.acceptedAt
	}
	wallClock, ok := c.wallClock.at(c.now)
	if !ok {
		return c.now
	}
	return c.now - (wallClock - time.Duration(j.First+int64(o.number)*j.Every)*time.Millisecond)
}

// longest is the longest chain of steps that wait for one another, each with a
// length of its own.
func (j *job) longestChain(length func(i int) time.Duration) time.Duration {
	var most time.Duration
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += length(i)
		most = max(most, ends[i])
	}
	return most
}

// chain is the longest chain of work that is to be expected, by what is known
// of the tasks that ran.
func (c *Core) expectedChain(o *occurrence) time.Duration {
	return o.job.longestChain(func(i int) time.Duration {
		return c.longestTask(o.steps[i], c.expectedLongest(o.job, &o.job.Steps[i]))
	})
}

// wholeOf is the expected work of the longest task of a step that may be under
// way.
func (c *Core) longestTask(s *step, expectedLongest time.Duration) time.Duration {
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

// remaining is the longest chain of expected run times that is left.
func (c *Core) remainingChain(o *occurrence) time.Duration {
	return o.job.longestChain(func(i int) time.Duration { return c.remainingOfStep(o.job, o.steps[i]) })
}

// rest is the expected time until the last task of a step ends, if the waiting
// ones start now.
func (c *Core) remainingOfStep(j *job, s *step) time.Duration {
	if s.unfinished == 0 {
		return 0
	}
	expected := c.expectedLongest(j, s.Step)
	var longest time.Duration
	for _, t := range s.tasks {
		_, left := c.expectedWork(t, expected)
		longest = max(longest, left)
	}
	return longest
}

// The ranks of occurrences of one priority. Under overload the earliest due time
// alone would serve each just too late, so one that was begun is ended first and
// one that can't end in time any more goes behind those that can.
const (
	rankBegun = iota
	rankInTime
	rankLate
	rankHopeless
)

// rankNames are the ranks as the log tells them.
var rankNames = [...]string{rankBegun: "begun", rankInTime: "in time", rankLate: "late", rankHopeless: "hopeless"}

// lateFactor is how many times its objective an occurrence may take to be worth
// anything.
const hopelessFactor = 3

// judgeTimes sets the due time, rank and slack of an occurrence.
func (c *Core) updateRank(o *occurrence) {
	o.rankKnown = true
	o.due = c.dueTime(o)
	o.rank, o.slack = rankBegun, 0
	if o.job.isLongRunning() {
		return
	}
	begins := c.startTime(o)
	end := c.now + c.remainingChain(o)
	o.slack = o.due - end
	switch {
	case end > begins+hopelessFactor*(o.due-begins):
		o.rank = rankHopeless
	case end > o.due:
		o.rank = rankLate
	case !o.everStarted():
		o.rank = rankInTime
	}
}

// begun reports whether some task of the occurrence was ever started.
func (o *occurrence) everStarted() bool {
	if o.job.Times <= 0 {
		return o.job.everStarted
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.lastRun > 0 {
				return true
			}
		}
	}
	return false
}

// waiting reports whether some task of a step whose turn it is needs a place.
func (o *occurrence) hasWaitingTasks() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.unfinished > 0 && o.ready(s) && s.hasWaitingTasks() })
}

// ranked returns the occurrences of which tasks wait, in the order in which they are
// served: by the queue's priority, by rank, by due time. Those without news are
// judged with the next tick.
func (c *Core) rankedOccurrences(n changeSet) []*occurrence {
	out := make([]*occurrence, 0, len(c.active))
	for _, j := range c.active {
		if j.finished() {
			continue
		}
		c.createDueOccurrences(j)
		for _, o := range j.openOccurrences {
			if o.hasWaitingTasks() {
				if n.all || n.jobs[j] || !o.rankKnown {
					c.updateRank(o)
				}
				out = append(out, o)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *occurrence) int {
		return cmp.Or(
			cmp.Compare(c.queues[a.job.Queue].Priority, c.queues[b.job.Queue].Priority),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.due, b.due),
		)
	})
	return out
}

func (j *job) isLongRunning() bool { return j.Steps[0].Lasts }
