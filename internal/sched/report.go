package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lagoonrack/internal/work"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// report takes an agent's report in.
func (c *Core) report(e Report) {
	if e.Worker.ID == "" {
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term}})
		return
	}
	if now := c.agents[e.Agent]; now != nil && now.Born > e.Worker.Born {
		// The report is of an earlier life.
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term}})
		return
	}
	w := c.worker(e.Worker.Life, e.Agent)
	lag, ok := w.arrived(c.now, e.Word)
	if !ok {
		c.emit(Note{Kind: "overtaken", Worker: w.ID, Took: lag})
		c.emit(Reply{Token: e.Token, Reply: work.Reply{Term: c.term, Challenge: c.challenged(w, e.Word)}})
		return
	}
	c.unix.add(c.now, e.Agent, time.Duration(e.Unix)*time.Millisecond-c.now)
	c.succeed(w)
	fresh := !w.known || w.Leaving != e.Worker.Leaving
	w.Worker = e.Worker
	w.heard = c.now
	w.known = true
	if fresh {
		c.news.worker(w)
		c.emit(Note{Kind: "worker", Worker: w.ID, Reason: leaving(w.Leaving)})
	}
	for _, x := range e.Ends {
		c.ended(w, x)
	}
	if e.Listed {
		c.listed(w, e.Running, c.now-lag-time.Duration(e.Age)*time.Millisecond)
	}
	c.lease(w, e)
	c.answer(w, e)
}

func leaving(b bool) string {
	if b {
		return "leaving"
	}
	return "ready"
}

// succeed ends earlier lives of the same worker or at the same agent.
func (c *Core) succeed(w *worker) {
	if w.known {
		return
	}
	for _, k := range sortedKeys(c.workers) {
		o := c.workers[k]
		if o != w && !o.gone && o.Born < w.Born && (o.agent == w.agent || o.ID == w.ID) {
			o.gone = true
			c.lose(o, "reborn")
		}
	}
}

// lease bounds how long the worker may run on without another word.
func (c *Core) lease(w *worker, e Report) {
	switch {
	case e.Gone:
		w.gone = true
		c.lose(w, "gone")
	case e.Cut:
		if !w.cut {
			c.emit(Note{Kind: "cut", Worker: w.ID, Reason: "no answer"})
		}
		w.cut = true
		w.until = min(w.until, c.now+slow(time.Duration(e.Left)*time.Millisecond)+margin)
		if c.now >= w.until {
			c.lose(w, "lease")
		}
	default:
		if w.cut {
			c.emit(Note{Kind: "back", Worker: w.ID})
			c.news.worker(w)
		}
		w.cut = false
		w.until = max(w.until, c.now+c.limits.lapse())
	}
}

// answer replies once the ends of the report are stored.
func (c *Core) answer(w *worker, e Report) {
	r := work.Reply{Term: c.term, Renew: !e.Cut && !w.gone, About: c.about(w, e.Asks)}
	r.Press, r.Bases = c.pressOn(w)
	c.after(func() {
		r.Noted = w.noted
		c.emit(Reply{Token: e.Token, Reply: r})
	})
}

func (c *Core) about(w *worker, asks []work.Run) []work.About {
	var out []work.About
	for _, a := range asks {
		if p := c.placeOf(w, a); p != nil {
			out = append(out, p.about())
		}
	}
	return out
}

// taskOf returns the task that a run is of, or nil.
func (c *Core) taskOf(r work.Run) *task {
	at, ok := work.ParseTaskName(r.Task)
	if !ok {
		return nil
	}
	j := c.jobs[at.Job]
	if j == nil {
		return nil
	}
	return j.task(at, c.now)
}

// placeOf returns the place of a run on a worker, or nil.
func (c *Core) placeOf(w *worker, r work.Run) *place {
	t := c.taskOf(r)
	if t == nil {
		return nil
	}
	for _, p := range t.places {
		if p.worker == w && p.run == r.Num {
			return p
		}
	}
	return nil
}

// ended takes the end of a run in.
func (c *Core) ended(w *worker, x work.End) {
	if x.N <= w.seen {
		return
	}
	w.seen = x.N
	if p := c.placeOf(w, x.Run); p != nil {
		c.finish(p, x.How, x.Saved)
	} else if t := c.taskOf(x.Run); t != nil && x.How == work.Done && t.run == x.Num && t.waits() && !t.step.Lasts {
		// The run was given up, and ended well before its lease did.
		c.done(t)
	}
	c.after(func() { w.noted = max(w.noted, x.N) })
}

// finish ends a place as the worker told.
func (c *Core) finish(p *place, how work.EndReason, saved string) {
	t := p.task
	j := t.step.job
	c.emit(Note{Kind: "end", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: string(how), Took: c.now - p.okay})
	if saved == "" {
		saved = p.saved
	}
	if saved != "" {
		t.saved = saved
	}
	c.judge(p, how)
	c.free(p)
	if how != work.Done {
		c.disband(t.step)
	}
	switch {
	case how == work.Done && !t.step.Lasts:
		c.done(t)
	case how == work.Failed && !t.step.Lasts:
		t.fails++
		t.bad = append(t.bad, p.worker.ID)
		if t.step.failures(t) >= c.attempts(j) {
			c.failJob(j)
		}
	}
	c.settle(j)
}

// failures counts the failed runs of a task, or of all tasks of a gang.
func (s *step) failures(t *task) int {
	if !s.Gang {
		return t.fails
	}
	n := 0
	for _, x := range s.tasks {
		n += x.fails
	}
	return n
}

// disband ends the other members of a gang that has lost one.
func (c *Core) disband(s *step) {
	if !s.Gang {
		return
	}
	for _, t := range s.tasks {
		for _, q := range slices.Clone(t.places) {
			c.stop(q, "gang")
		}
	}
}

// done marks a task as ended well, and ends its other copies.
func (c *Core) done(t *task) {
	if t.done {
		return
	}
	// One end of a gang stands for all its members.
	all := []*task{t}
	if t.step.Gang {
		all = t.step.tasks
	}
	for _, x := range all {
		if x.done {
			continue
		}
		x.done = true
		x.saved = ""
		t.step.left--
		for _, q := range slices.Clone(x.places) {
			c.stop(q, "copy")
		}
	}
	if t.step.left == 0 {
		c.turn(t.step)
	}
	c.touch(t.step.job)
	c.settle(t.step.job)
}

// turn notes that steps may have come to their turn because one is done.
func (c *Core) turn(s *step) {
	c.news.job(s.job)
	for _, o := range s.job.occs {
		if o.k == s.k {
			o.readyAt = c.now
		}
	}
}

const defaultAttempts = 3

func (c *Core) attempts(j *job) int {
	if q, ok := c.queues[j.Queue]; ok && q.Attempts > 0 {
		return q.Attempts
	}
	return defaultAttempts
}

// judge learns from the end of a run what the worker is worth.
func (c *Core) judge(p *place, how work.EndReason) {
	w := p.worker
	switch how {
	case work.Done:
		w.streak = 0
		if p.task.step.Lasts {
			return
		}
		c.advance(p)
		c.learned.ended(p.task.step.job.Queue, p.task.step.Step, p.task.work)
	case work.Failed:
		w.streak++
		if w.streak == suspectAfter {
			c.emit(Note{Kind: "suspect", Worker: w.ID, Reason: "failures"})
		}
	}
}

// unseenLists is how many lists without a run show that it is not there.
const unseenLists = 2

// listed compares what a worker runs, as of a time, with what it should.
func (c *Core) listed(w *worker, all []work.Running, at time.Duration) {
	// An agent repeats its last list while the worker gives no answer; that shows
	// no standstill.
	fresh := at > w.listedAt+margin
	if fresh {
		w.listedAt = at
	}
	seen := map[*place]bool{}
	for _, r := range all {
		p := c.placeOf(w, r.Run)
		if p == nil {
			c.stray(w, r.Run)
			continue
		}
		seen[p] = true
		before := p.percent
		c.progress(p, r)
		if fresh {
			c.watchHeadway(p, before)
		}
	}
	c.observe(w, seen)
	for _, p := range sorted(w.places) {
		if seen[p] {
			continue
		}
		c.missing(p, at)
	}
}

// missing decides on a run that the worker does not list, as of a time.
func (c *Core) missing(p *place, at time.Duration) {
	switch {
	case p.off > 0 && at > p.off+margin:
		c.vanished(p, p.stop)
	case p.void && at > p.okay+margin:
		c.vanished(p, "void")
	case p.adopted && p.stop == "":
		// A start that is ordered again has no further effect if it ran.
		p.adopted = false
		if p.worker.Leaving {
			c.stop(p, "leaving")
		} else {
			c.order(p)
		}
	case p.known && p.stored && p.stop == "" && at > p.okay+margin:
		if p.unseen++; p.unseen >= unseenLists {
			// A stop makes certain that the run never starts.
			c.stop(p, "vanished")
		}
	}
}

// vanished frees a place whose run is over without a listed end.
func (c *Core) vanished(p *place, reason string) {
	c.emit(Note{Kind: "vanish", Task: p.name(), Run: p.run, Worker: p.worker.ID, Reason: reason})
	if p.saved != "" {
		p.task.saved = p.saved
	}
	c.free(p)
	c.disband(p.task.step)
	c.settle(p.task.step.job)
}

// progress takes in what a worker says of a run.
func (c *Core) progress(p *place, r work.Running) {
	if !p.known {
		p.known = true
		p.okay = c.now
	}
	p.unseen = 0
	if r.Saved != "" {
		p.saved = r.Saved
	}
	p.percent = r.Percent
	p.figure = r.Figure
	c.advance(p)
	c.starve(p)
}

// stray ends a run that nothing is known of: its place was given up, or it was
// ordered by an owner whose transaction did not take effect.
func (c *Core) stray(w *worker, r work.Run) {
	c.emit(Note{Kind: "stray", Task: r.Task, Run: r.Num, Worker: w.ID})
	o := c.tell(w)
	o.Stops = append(o.Stops, r)
}
