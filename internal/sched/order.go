package sched

import (
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

// chain is the longest chain of expected run times.
func (c *Core) chain(j *job) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Steps))
	for i := range j.Steps {
		s := &j.Steps[i]
		var from time.Duration
		for _, a := range s.After {
			from = max(from, ends[a])
		}
		ends[i] = from + c.learned.estimate(j.Queue, s)
		longest = max(longest, ends[i])
	}
	return longest
}

// ranked returns the active jobs in the order in which they are served: by the
// queue's priority, those that can still meet their objective first, by time.
func (c *Core) ranked() []*job {
	out := make([]*job, 0, len(c.active))
	for _, j := range c.active {
		if j.over() {
			continue
		}
		if j.due == 0 {
			j.due = c.objective(j)
		}
		out = append(out, j)
	}
	slices.SortStableFunc(out, func(a, b *job) int {
		if x, y := c.queues[a.Queue].Priority, c.queues[b.Queue].Priority; x != y {
			return x - y
		}
		if x, y := c.isLate(a), c.isLate(b); x != y {
			return x - y
		}
		return int(a.due - b.due)
	})
	return out
}

// isLate is 1 for a job that can't meet its objective any more.
func (c *Core) isLate(j *job) int {
	if !j.lasting() && c.now > j.due {
		return 1
	}
	return 0
}

func (j *job) lasting() bool { return j.Steps[0].Lasts }
