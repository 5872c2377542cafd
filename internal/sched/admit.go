package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/intake"
	"lagoonrack/internal/shed"
	"lagoonrack/internal/work"
)

// admitAllDuration is how long a new owner admits every job: it does not know its
// workers until they have reported.
const admitAllDuration = 2 * time.Second

// admittedTTL is how long an admitted job counts as demand although its row has not
// been seen yet. An entry usually stores the row within milliseconds.
const admittedTTL = 2 * time.Second

// admittedJob is a long-running job that was admitted and is not stored yet.
type admittedJob struct {
	service string
	cores   int64
	expires time.Duration
}

// Admit reports whether a job that is not stored yet should be accepted.
func (c *Core) Admit(now time.Duration, j work.Job) work.Admission {
	if c.jobs[j.ID] != nil || !j.LongRunning() && !c.limits.Overload {
		return work.Admission{}
	}
	c.now = max(now, c.now)
	if !j.LongRunning() {
		return c.admitByCost(j)
	}
	c.updateAdmission()
	g := c.admission[j.Service]
	need := j.Reserved().Cores
	ok, after := true, time.Duration(0)
	switch {
	case g == nil || now-c.termStart < admitAllDuration:
	case c.limits.Overload:
		ok, after = g.AdmitJob(now, j.ID, need)
	default:
		ok, after = g.Admit(now, need)
	}
	if ok {
		c.admitted[j.ID] = admittedJob{j.Service, need, now + admittedTTL}
		return work.Admission{}
	}
	a := work.Admission{Refused: true, After: after.Milliseconds()}
	if c.limits.Overload {
		a.Cores = need
	}
	return a
}

// admitByCost reports whether a job that is not long-running should be accepted. Timed jobs
// always are, and those of queues whose run times are not known yet: the declared ones are too
// inaccurate.
func (c *Core) admitByCost(j work.Job) work.Admission {
	g := c.gates[j.Service]
	a := work.Admission{Submitted: c.rejected[j.ID].Submitted}
	q, ok := c.queues[j.Queue]
	if g == nil || !ok || j.Times > 0 || c.now-c.termStart < admitAllDuration || !c.runTimes.Known(j.Queue) {
		return a
	}
	x := &job{Job: j, inForce: q.Terms()}
	first := c.now
	if a.Submitted > 0 {
		first = c.ownerTime(a.Submitted)
	}
	allowed := x.allowedDuration(x.longestChain(func(i int) time.Duration { return c.expectedLongest(x, &j.Steps[i]) }))
	chain := x.longestChain(func(i int) time.Duration {
		usual, _ := c.runTimes.Estimate(j.Queue, &j.Steps[i])
		return usual
	})
	brings := c.expectedDemand(&j)
	v := g.Admit(c.now, shed.Job{
		ID: j.ID, Priority: q.Priority, BestEffort: slices.ContainsFunc(j.Steps, func(s work.Step) bool { return s.Fills }),
		Work: brings, Chain: chain, Due: c.now + allowed, Limit: first + hopelessFactor*allowed,
	})
	a.Overload = work.Overload{
		Decided: true, Priority: q.Priority, Wait: v.Wait.Milliseconds(), Spare: v.Spare.Milliseconds(), Chain: chain.Milliseconds(),
		Ahead: int64(v.Ahead), Rate: int64(v.Rate),
	}
	if v.Refused {
		a.Refused, a.After, a.Work = true, v.After.Milliseconds(), int64(brings)
		if a.Submitted == 0 {
			a.Submitted = c.storeMillis()
		}
	}
	return a
}

// updateAdmission passes the present load of each service to its admission control.
func (c *Core) updateAdmission() {
	loads := map[string]intake.Load{}
	for _, w := range c.workers {
		if c.countsAsCapacity(w) {
			l := loads[w.Service]
			if !c.zones.Closed(w.Zone) {
				l.Capacity += w.Size.Cores
			}
			loads[w.Service] = l
		}
	}
	backlogs := map[string][]shed.Backlog{}
	for _, j := range c.active {
		if j.finished() {
			continue
		}
		l := loads[j.Service]
		if j.isLongRunning() {
			l.LongRunning += j.Reserved().Cores
		} else {
			l.Other += j.demand()
			if c.limits.Overload {
				backlogs[j.Service] = c.appendBacklog(backlogs[j.Service], j)
			}
		}
		if c.limits.Overload && j.Times > 1 && j.Every > 0 {
			l.Demand += int64(c.expectedDemand(&j.Job) * 1000 / float64(j.Every))
		}
		loads[j.Service] = l
	}
	for id, g := range c.admitted {
		if c.jobs[id] != nil || c.now > g.expires {
			delete(c.admitted, id)
			continue
		}
		l := loads[g.service]
		l.LongRunning += g.cores
		loads[g.service] = l
	}
	for s, l := range loads {
		if g := c.gates[s]; g != nil {
			l.Demand += int64(g.Demand(c.now))
			g.Observe(shed.Load{
				Capacity: float64(l.Capacity), Idle: float64(l.Capacity) - assumedUtilization*float64(l.LongRunning),
				Free: float64(l.Capacity - l.LongRunning), Backlog: backlogs[s],
			})
		}
		c.controller(s).Observe(c.now, l)
	}
}

// countsAsCapacity reports whether admission counts a worker's capacity. With overload control,
// that of a worker that does not answer its agent does not count.
func (c *Core) countsAsCapacity(w *worker) bool {
	return w.reported && !w.gone && !w.Leaving && c.workerByAgent[w.agent] == w && (!c.limits.Overload || !w.unresponsive)
}

// appendBacklog appends the remaining work of a job's occurrences that have begun or are due.
func (c *Core) appendBacklog(out []shed.Backlog, j *job) []shed.Backlog {
	for _, o := range j.openOccurrences {
		left, _ := c.workOf(o)
		out = append(out, shed.Backlog{Priority: j.inForce.Priority, Due: o.due, Work: left, Hopeless: o.rank == rankHopeless})
	}
	return out
}

// demand returns the processor time that the job's running and waiting tasks ask
// for, in thousandths of a core.
func (j *job) demand() int64 {
	if len(j.openOccurrences) == 0 {
		return int64(j.Steps[0].Count) * j.Steps[0].Size.Cores
	}
	var sum int64
	for _, s := range j.readySteps() {
		sum += int64(s.unfinished) * s.Size.Cores
	}
	return sum
}

// noteArrival records the work that a job brings, unless its tasks are long-running. That of
// a timed job comes with each occurrence.
func (c *Core) noteArrival(j *job) {
	if !c.limits.Overload || j.isLongRunning() || j.Times > 1 {
		return
	}
	g := c.gate(j.Service)
	brings := c.expectedDemand(&j.Job)
	g.Arrive(c.acceptanceTime(j.At), j.inForce.Priority, brings)
	allowed := j.allowedDuration(j.longestChain(func(i int) time.Duration { return c.expectedLongest(j, &j.Steps[i]) }))
	g.Accepted(j.ID, shed.Backlog{Priority: j.inForce.Priority, Due: j.acceptedAt + allowed, Work: brings})
}

// expectedDemand returns the work of one occurrence of a job at learned run times, in
// thousandths of a core times seconds.
func (c *Core) expectedDemand(j *work.Job) float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Size.Cores) * c.runTimes.Mean(j.Queue, s).Seconds()
	}
	return sum
}

// recordRejected remembers the row of a rejected job, to delete it later, and what its caller
// was told.
func (c *Core) recordRejected(r RejectedJob) {
	if c.jobs[r.ID] != nil || c.isDeleted(r.ID, r.Version) {
		return
	}
	c.rejected[r.ID] = r
	if !c.limits.Overload || r.RetryAt == 0 {
		return
	}
	at := c.ownerTime(r.RetryAt)
	if r.Cores > 0 {
		c.controller(r.Service).Promise(r.ID, at, r.Cores)
	}
	if q, ok := c.queues[r.Queue]; ok && r.Work > 0 {
		c.gate(r.Service).Promise(c.now, r.ID, shed.Promise{At: at, Priority: q.Priority, Work: float64(r.Work)})
	}
}

// controller returns the admission control of long-running jobs of a service.
func (c *Core) controller(service string) *intake.Controller {
	g := c.admission[service]
	if g == nil {
		g = &intake.Controller{FollowDemand: c.limits.Overload}
		c.admission[service] = g
	}
	return g
}

// gate returns the overload control of a service.
func (c *Core) gate(service string) *shed.Gate {
	g := c.gates[service]
	if g == nil {
		g = &shed.Gate{}
		c.gates[service] = g
	}
	return g
}
