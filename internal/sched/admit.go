package sched

import (
	"time"

	"lagoonrack/internal/intake"
	"lagoonrack/internal/plat"
	"lagoonrack/internal/work"
)

// learnFor is how long a new owner takes every job: it has yet to hear the
// workers.
const learnFor = 2 * time.Second

// grantFor is how long a job that may be accepted counts although it is not
// known yet: an entry stores it within milliseconds as a rule.
const grantFor = 2 * time.Second

// grant is a lasting job that may be accepted.
type grant struct {
	service string
	cores   int64
	until   time.Duration
}

// Admit reports whether a job that is not stored yet should be accepted.
func (c *Core) Admit(now time.Duration, j work.Job) work.Admission {
	if !j.LongRunning() || c.jobs[j.ID] != nil {
		return work.Admission{}
	}
	c.now = max(now, c.now)
	c.watchGates()
	g := c.gates[j.Service]
	need := j.Reserved().Cores
	ok, after := true, time.Duration(0)
	if g != nil && now-c.began >= learnFor {
		ok, after = g.Ask(now, need)
	}
	if ok {
		c.granted[j.ID] = grant{j.Service, need, now + grantFor}
		return work.Admission{}
	}
	return work.Admission{Refused: true, After: after.Milliseconds()}
}

// watchGates tells the gates what the services have to do.
func (c *Core) watchGates() {
	loads := map[string]intake.Load{}
	for _, w := range c.workers {
		if w.known && !w.gone && !w.Leaving && c.agents[w.agent] == w {
			l := loads[w.Service]
			l.Size += w.Size.Cores
			loads[w.Service] = l
		}
	}
	for _, j := range c.active {
		if j.over() {
			continue
		}
		l := loads[j.Service]
		if j.lasting() {
			l.Lasting += j.Reserved().Cores
		} else {
			l.Others += j.asks()
		}
		loads[j.Service] = l
	}
	for id, g := range c.granted {
		if c.jobs[id] != nil || c.now > g.until {
			delete(c.granted, id)
			continue
		}
		l := loads[g.service]
		l.Lasting += g.cores
		loads[g.service] = l
	}
	for s, l := range loads {
		if c.gates[s] == nil {
			c.gates[s] = &intake.Gate{}
		}
		c.gates[s].Observe(c.now, l)
	}
}

// asks is what the tasks of a job ask for that run or wait for a place, in
// thousandths of a core.
func (j *job) asks() int64 {
	if len(j.occs) == 0 {
		return int64(j.Steps[0].Count) * j.Steps[0].Size.Cores
	}
	var sum int64
	for _, s := range j.turns() {
		sum += int64(s.left) * s.Size.Cores
	}
	return sum
}

// refuse remembers the row of a job that was sent away.
func (c *Core) refuse(r Refuse) {
	if c.jobs[r.ID] == nil {
		c.declined[r.ID] = r
	}
}

// purgeRefused removes rows of jobs that were sent away long ago. One that was
// written anew stays.
func (c *Core) purgeRefused() {
	for _, id := range sortedKeys(c.declined) {
		r := c.declined[id]
		if c.clock()-r.At < c.limits.Keep.Milliseconds() {
			continue
		}
		delete(c.declined, id)
		c.emit(Forget{Keys: []string{JobKey(id)}, Checks: []plat.Check{{Key: JobKey(id), Version: r.Version}}})
	}
}
