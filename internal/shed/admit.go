package shed

import "time"

// Job is a job that asks to be accepted.
type Job struct {
	ID       string
	Priority int
	// BestEffort says that the job can use the processor time that long-running jobs leave idle.
	BestEffort bool
	// Work is the work of the job, and Chain how long it takes if no other job is in its way.
	Work  float64
	Chain time.Duration
	// Due is when the job should end, counted from now, and Limit the end after which it is
	// worthless, counted from its first submission.
	Due, Limit time.Duration
}

// Backlog is the remaining work of an accepted job.
type Backlog struct {
	Priority int
	Due      time.Duration
	Work     float64
	// Hopeless says that the end of the job is worthless, so that jobs of the same priority do
	// not wait for it.
	Hopeless bool
}

// Verdict says whether a job is accepted, and why.
type Verdict struct {
	Refused bool
	// After is the time after which a rejected job should be submitted again.
	After time.Duration
	// Wait is how long the job is expected to wait for the backlog Ahead of it at the Rate, and
	// Spare how long it may wait.
	Wait, Spare time.Duration
	Ahead, Rate float64
}

const (
	// rejectMargin is how many times the wait that a job can bear the expected wait must be for
	// a rejection, since learned work may be wrong by up to 1.9 times for one job and some of
	// that for a backlog. In simulations at 2.0 of the capacity, 1.25 rejected 371 of 1,013
	// best-effort jobs and 1.9 rejected 152 at no difference in value. With 1.25, jobs were
	// also rejected while a third of the workers was gone for 30 s, where waiting paid.
	rejectMargin = 1.5
	// keepMargin is the same while jobs of the priority are being rejected, so that decisions
	// don't alternate around the limit. It is above 1 so that no job is rejected that could end
	// in useful time.
	keepMargin = 1.25
	// bearableWait is a wait for which no job is rejected. A job of which nothing runs may wait
	// as long while there is capacity.
	bearableWait = 3 * time.Second
	// minRateShare bounds the part of the capacity that more urgent jobs are assumed to leave.
	minRateShare = 0.1
	// minRetryAfter is the shortest time until a rejected job may be submitted again, and
	// maxRetryAfter the longest: callers retry up to four times, and a burst or the loss of
	// workers is over within minutes.
	minRetryAfter, maxRetryAfter = 2 * time.Second, time.Minute
	// maxPromises bounds the cost of a rejection. With more promises than are made in a minute
	// at 68 rejections a second, the retry time is at its upper bound anyway.
	maxPromises = 4096
)

// Admit decides whether a job is accepted. It is rejected only if it would certainly end too
// late to be of use: if the work of more urgent jobs, and of those of its priority that are due
// earlier, takes longer than it can wait.
func (g *Gate) Admit(now time.Duration, j Job) Verdict {
	v := Verdict{Spare: max(bearableWait, j.Limit-now-j.Chain)}
	capacity := g.load.Free
	if j.BestEffort {
		capacity = g.load.Idle
	}
	if g.load.Capacity <= 0 {
		return v
	}
	capacity = max(capacity, minRateShare*g.load.Capacity)
	v.Rate = max(minRateShare*capacity, capacity-g.demand(now, func(p int) bool { return p < j.Priority }))
	for _, b := range g.load.Backlog {
		if b.Priority < j.Priority || b.Priority == j.Priority && !b.Hopeless && b.Due <= j.Due {
			v.Ahead += b.Work
		}
	}
	v.Wait = seconds(v.Ahead / v.Rate)
	margin := rejectMargin
	if g.refusing[j.Priority] {
		margin = keepMargin
	}
	v.Refused = v.Wait.Seconds() > margin*v.Spare.Seconds()
	if g.refusing == nil {
		g.refusing = map[int]bool{}
	}
	g.refusing[j.Priority] = v.Refused
	if v.Refused {
		v.After = g.retryAfter(now, j, v)
		g.Promise(now, j.ID, Promise{At: now + v.After, Priority: j.Priority, Work: j.Work})
	}
	return v
}

// retryAfter returns when the backlog ahead of a job, and the jobs that were promised a retry
// before it, should be done but for a bearable wait.
func (g *Gate) retryAfter(now time.Duration, j Job, v Verdict) time.Duration {
	missing := v.Ahead - v.Rate*bearableWait.Seconds()
	for id, p := range g.promises {
		if id != j.ID && p.At > now && p.Priority <= j.Priority {
			missing += p.Work
		}
	}
	return min(maxRetryAfter, max(minRetryAfter, seconds(missing/v.Rate))).Round(time.Millisecond)
}

// Promise is the time at which a rejected job may be submitted again, and its work.
type Promise struct {
	At       time.Duration
	Priority int
	Work     float64
}

// Promise records what a rejected caller was told, by this owner or an earlier one.
func (g *Gate) Promise(now time.Duration, job string, p Promise) {
	for id, x := range g.promises {
		if x.At <= now {
			delete(g.promises, id)
		}
	}
	if p.At <= now || len(g.promises) >= maxPromises {
		return
	}
	if g.promises == nil {
		g.promises = map[string]Promise{}
	}
	g.promises[job] = p
}

// Promises returns the number of promises that are kept.
func (g *Gate) Promises() int { return len(g.promises) }

// Accepted adds an accepted job to the backlog until the next call of Observe.
func (g *Gate) Accepted(job string, b Backlog) {
	delete(g.promises, job)
	g.load.Backlog = append(g.load.Backlog, b)
}

// seconds converts a number of seconds to a duration. A larger one than a day is a day.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 24*3600) * float64(time.Second))
}
