package sched

import (
	"time"

	"lagoonrack/internal/work"
)

// state returns what is stored of the job.
func (j *job) state() work.State {
	st := work.State{Failed: j.failed, Ended: j.ended, Past: j.past, Complete: j.complete}
	for _, o := range j.occs {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if t.run > 0 || t.done {
					st.Tasks = append(st.Tasks, t.state())
				}
			}
		}
	}
	return st
}

func (t *task) state() work.TaskState {
	s := work.TaskState{K: t.step.k, Step: t.step.index, Index: t.index, Run: t.run, Done: t.done, Fails: t.fails, Saved: t.saved}
	for _, p := range t.places {
		s.Places = append(s.Places, work.RunState{Run: p.run, Life: p.worker.Life, Agent: p.worker.agent})
	}
	return s
}

// load restores a job from its rows.
func (c *Core) load(spec work.Job, st work.State) {
	j := c.enter(spec)
	j.past, j.failed, j.ended = st.Past, st.Failed, st.Ended
	for _, ts := range st.Tasks {
		t := j.task(work.TaskID{Job: j.ID, K: ts.K, Step: ts.Step, Index: ts.Index}, c.now)
		if t == nil {
			continue
		}
		c.restore(t, ts)
	}
	j.complete = st.Complete
	c.settle(j)
	j.shown = j.now()
}

func (c *Core) restore(t *task, ts work.TaskState) {
	j := t.step.job
	t.run, t.done, t.fails, t.saved = ts.Run, ts.Done, ts.Fails, ts.Saved
	if t.run > 0 {
		j.begun, j.started = true, true
	}
	if t.done {
		t.step.left--
	}
	for _, ps := range ts.Places {
		w := c.worker(ps.Life, ps.Agent)
		w.until = max(w.until, c.now+c.limits.lapse())
		p := &place{task: t, run: ps.Run, worker: w, stored: true, adopted: true, unsure: true, sent: c.now + 1, saved: t.saved}
		if t.done || j.failed {
			// Another copy has ended, or the job needs nothing any more.
			p.stop = "copy"
		}
		w.add(p)
		t.places = append(t.places, p)
		j.places[p] = true
	}
}

// takenAt returns when a job was accepted, by the owner's clock.
func (c *Core) takenAt(spec work.Job) time.Duration {
	at := time.Duration(spec.At)*time.Millisecond - c.ahead
	if spec.At == 0 || at > c.now {
		return c.now
	}
	return at
}
