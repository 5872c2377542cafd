package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// state returns the task's progress in its stored form.
func (t *task) state() work.TaskState {
	s := work.TaskState{K: t.step.occurrenceNumber, Step: t.step.index, Index: t.index, Run: t.lastRun, Done: t.done, Fails: t.failures}
	if len(t.checkpoint) <= t.step.job.rows.MaxCheckpoint() {
		s.Saved = t.checkpoint
	}
	for _, p := range t.placements {
		s.Places = append(s.Places, work.RunState{Run: p.run, Life: p.worker.Life, Agent: p.worker.agent})
	}
	return s
}

// loadJob restores a job from its rows.
func (c *Core) loadJob(spec work.Job, stored Progress, version uint64) {
	j := c.addJob(spec)
	j.rowVersion = version
	j.rows.Load(stored)
	st := stored.State
	j.past, j.failed, j.endedAt = st.Past, st.Failed, st.Ended
	j.started = st.ShowsStart()
	for _, tasks := range [][]work.TaskState{st.Tasks, stored.Pages} {
		for _, ts := range tasks {
			if t := j.task(work.TaskID{Job: j.ID, K: ts.K, Step: ts.Step, Index: ts.Index}, c.now); t != nil {
				c.restoreTask(t, ts)
			}
		}
	}
	j.complete = st.Complete
	c.updateJob(j)
	c.dropPastPages(j)
	j.visibleState = j.currentState()
	j.endStored = st.Ended > 0
}

// restoreTask restores a task and its placements from its stored form.
func (c *Core) restoreTask(t *task, ts work.TaskState) {
	j := t.step.job
	t.lastRun, t.failures, t.checkpoint = ts.Run, ts.Fails, ts.Saved
	if t.lastRun > 0 {
		t.markPlaced()
	}
	j.started = j.started || ts.ShowsStart()
	if ts.Done {
		t.succeed()
	}
	for _, ps := range ts.Places {
		w := c.ensureWorker(ps.Life, ps.Agent)
		// The owner before may not know yet that it was replaced.
		w.leaseEnd = max(w.leaseEnd, c.now+c.limits.StoreTrust+c.limits.leaseBound())
		p := newPlacement(t, ps.Run, w)
		p.stored, p.adopted, p.multipleOrders, p.sentAt = true, true, true, c.now+1
		if t.done || j.failed {
			// A speculative copy has succeeded, or the job has failed.
			p.stopReason = "copy"
		}
		w.add(p)
		t.attach(p)
		j.placements.add(p)
	}
}

// acceptanceTime returns when a job was accepted, by the owner's clock, given the time in
// milliseconds of the store's clock.
func (c *Core) acceptanceTime(millis int64) time.Duration {
	at := c.ownerTime(millis)
	if millis == 0 || at > c.now {
		return c.now
	}
	return at
}

// ownerTime converts milliseconds of the store's clock to a time of the owner's clock.
func (c *Core) ownerTime(millis int64) time.Duration {
	return time.Duration(millis)*time.Millisecond - c.storeOffset
}
