package sched

import (
	"cmp"
	"slices"
	"time"
)

// objective is by when a job should have ended, by the owner's clock.
func (c *Core) objective(j *job) time.Duration {
	q := c.queues[j.Queue]
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	chain := c.chain(j)
	return j.taken + time.Duration(stretch*float64(chain)) + time.Duration(q.Target)*time.Millisecond
}

// longest is the longest chain of steps that wait for one another, each with a
// length of its own.
func (j *job) longest(length func(i int) time.Duration) time.Duration {
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
func (c *Core) chain(j *job) time.Duration {
	return j.longest(func(i int) time.Duration {
		whole := c.length(j, &j.Steps[i])
		if len(j.occs) > 0 {
			whole = c.wholeOf(j.occs[0].steps[i], whole)
		}
		return whole
	})
}

// wholeOf is the expected work of the longest task of a step that may be under
// way.
func (c *Core) wholeOf(s *step, length time.Duration) time.Duration {
	var longest time.Duration
	open := false
	for _, t := range s.tasks {
		whole, _ := c.expected(t, 0)
		longest = max(longest, whole)
		open = open || !t.done && whole == 0
	}
	if open {
		longest = max(longest, length)
	}
	return longest
}

// remaining is the longest chain of expected run times that is left.
func (c *Core) remaining(j *job) time.Duration {
	if len(j.occs) == 0 {
		return c.chain(j)
	}
	return j.longest(func(i int) time.Duration { return c.rest(j, j.occs[0].steps[i]) })
}

// rest is the expected time until the last task of a step ends, if the waiting
// ones start now.
func (c *Core) rest(j *job, s *step) time.Duration {
	if s.left == 0 {
		return 0
	}
	length := c.length(j, s.Step)
	var longest time.Duration
	for _, t := range s.tasks {
		_, left := c.expected(t, length)
		longest = max(longest, left)
	}
	return longest
}

// The ranks of jobs of one priority. Under overload the earliest due time alone
// would serve each job just too late, so a job that was begun is ended first
// and one that can't end in time any more goes behind those that can.
const (
	rankBegun = iota
	rankWaits
	rankLate
	rankHopeless
)

// rankNames are the ranks as the log tells them.
var rankNames = [...]string{rankBegun: "begun", rankWaits: "in time", rankLate: "late", rankHopeless: "hopeless"}

// lateFactor is how many times its objective a job may take to be worth
// anything.
const lateFactor = 3

// rank puts a job among others of its priority, and notes its slack.
func (c *Core) rank(j *job) int {
	if j.lasting() || j.Times > 0 {
		return rankBegun
	}
	end := c.now + c.remaining(j)
	j.slack = j.due - end
	switch {
	case end > j.taken+lateFactor*(j.due-j.taken):
		return rankHopeless
	case end > j.due:
		return rankLate
	case j.begun:
		return rankBegun
	}
	return rankWaits
}

// ranked returns the active jobs in the order in which they are served: by the
// queue's priority, by rank, by due time.
func (c *Core) ranked() []*job {
	out := make([]*job, 0, len(c.active))
	for _, j := range c.active {
		if j.over() {
			continue
		}
		j.due = c.objective(j)
		j.rank = c.rank(j)
		out = append(out, j)
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		return cmp.Or(
			cmp.Compare(c.queues[a.Queue].Priority, c.queues[b.Queue].Priority),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.due, b.due),
		)
	})
	return out
}

func (j *job) lasting() bool { return j.Steps[0].Lasts }
