package sched

import (
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
	if !j.LongRunning() || c.jobs[j.ID] != nil {
		return work.Admission{}
	}
	c.now = max(now, c.now)
	c.updateAdmission()
	g := c.admission[j.Service]
	need := j.Reserved().Cores
	ok, after := true, time.Duration(0)
	if g != nil && now-c.termStart >= admitAllDuration {
		ok, after = g.Admit(now, need)
	}
	if ok {
		c.admitted[j.ID] = admittedJob{j.Service, need, now + admittedTTL}
		return work.Admission{}
	}
	return work.Admission{Refused: true, After: after.Milliseconds()}
}

// updateAdmission passes the present load of each service to its admission control.
func (c *Core) updateAdmission() {
	loads := map[string]intake.Load{}
	for _, w := range c.workers {
		if w.reported && !w.gone && !w.Leaving && c.workerByAgent[w.agent] == w {
			l := loads[w.Service]
			l.Capacity += w.Size.Cores
			loads[w.Service] = l
		}
	}
	for _, j := range c.active {
		if j.finished() {
			continue
		}
		l := loads[j.Service]
		if j.isLongRunning() {
			l.LongRunning += j.Reserved().Cores
		} else {
			l.Other += j.demand()
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
		if c.admission[s] == nil {
			c.admission[s] = &intake.Controller{FollowDemand: c.limits.Overload}
		}
		if g := c.gates[s]; g != nil {
			l.Demand += int64(g.Demand(c.now))
			g.Observe(shed.Load{Idle: float64(l.Capacity) - assumedUtilization*float64(l.LongRunning)})
		}
		c.admission[s].Observe(c.now, l)
	}
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
	g := c.gates[j.Service]
	if g == nil {
		g = &shed.Gate{}
		c.gates[j.Service] = g
	}
	g.Arrive(j.acceptedAt, j.inForce.Priority, c.expectedDemand(&j.Job))
}

// expectedDemand returns the work of one occurrence of a job at learned run times, in
// thousandths of a core times seconds.
func (c *Core) expectedDemand(j *work.Job) float64 {
	var sum float64
	for i := range j.Steps {
		s := &j.Steps[i]
		sum += float64(s.Count) * float64(s.Size.Cores) * c.runTimes.mean(j.Queue, s).Seconds()
	}
	return sum
}

// recordRejected remembers the row of a rejected job, to delete it later.
func (c *Core) recordRejected(r RejectedJob) {
	if c.jobs[r.ID] == nil && !c.isDeleted(r.ID, r.Version) {
		c.rejected[r.ID] = r
	}
}
