package sched

import (
	"cmp"
	"slices"
	"time"
)

// objective is by when an occurrence should have ended, by the owner's clock.
func (c *Core) objective(o *occ) time.Duration {
	q := c.queues[o.job.Queue]
	stretch := q.Stretch
	if stretch <= 0 {
		stretch = 1
	}
	return c.begins(o) + time.Duration(stretch*float64(c.chain(o))) + time.Duration(q.Target)*time.Millisecond
}

// begins is when the time of an occurrence began to count, by the owner's clock.
func (c *Core) begins(o *occ) time.Duration {
	j := o.job
	if j.Times <= 0 {
		return j.taken
	}
	now, ok := c.unix.at(c.now)
	if !ok {
		return c.now
	}
	return c.now - (now - time.Duration(j.First+int64(o.k)*j.Every)*time.Millisecond)
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
func (c *Core) chain(o *occ) time.Duration {
	return o.job.longest(func(i int) time.Duration {
		return c.wholeOf(o.steps[i], c.length(o.job, &o.job.Steps[i]))
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
func (c *Core) remaining(o *occ) time.Duration {
	return o.job.longest(func(i int) time.Duration { return c.rest(o.job, o.steps[i]) })
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

// The ranks of occurrences of one priority. Under overload the earliest due time
// alone would serve each just too late, so one that was begun is ended first and
// one that can't end in time any more goes behind those that can.
const (
	rankBegun = iota
	rankWaits
	rankLate
	rankHopeless
)

// rankNames are the ranks as the log tells them.
var rankNames = [...]string{rankBegun: "begun", rankWaits: "in time", rankLate: "late", rankHopeless: "hopeless"}

// lateFactor is how many times its objective an occurrence may take to be worth
// anything.
const lateFactor = 3

// judgeTimes sets the due time, rank and slack of an occurrence.
func (c *Core) judgeTimes(o *occ) {
	o.judged = true
	o.due = c.objective(o)
	o.rank, o.slack = rankBegun, 0
	if o.job.lasting() {
		return
	}
	begins := c.begins(o)
	end := c.now + c.remaining(o)
	o.slack = o.due - end
	switch {
	case end > begins+lateFactor*(o.due-begins):
		o.rank = rankHopeless
	case end > o.due:
		o.rank = rankLate
	case !o.begun():
		o.rank = rankWaits
	}
}

// begun reports whether some task of the occurrence was ever started.
func (o *occ) begun() bool {
	if o.job.Times <= 0 {
		return o.job.begun
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.run > 0 {
				return true
			}
		}
	}
	return false
}

// waiting reports whether some task of a step whose turn it is needs a place.
func (o *occ) waiting() bool {
	return slices.ContainsFunc(o.steps, func(s *step) bool { return s.left > 0 && o.ready(s) && s.waiting() })
}

// ranked returns the occurrences of which tasks wait, in the order in which they are
// served: by the queue's priority, by rank, by due time. Those without news are
// judged with the next tick.
func (c *Core) ranked(n news) []*occ {
	out := make([]*occ, 0, len(c.active))
	for _, j := range c.active {
		if j.over() {
			continue
		}
		c.arrive(j)
		for _, o := range j.occs {
			if o.waiting() {
				if n.all || n.jobs[j] || !o.judged {
					c.judgeTimes(o)
				}
				out = append(out, o)
			}
		}
	}
	slices.SortStableFunc(out, func(a, b *occ) int {
		return cmp.Or(
			cmp.Compare(c.queues[a.job.Queue].Priority, c.queues[b.job.Queue].Priority),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.due, b.due),
		)
	})
	return out
}

func (j *job) lasting() bool { return j.Steps[0].Lasts }
