package sched

import (
	"cmp"
	"slices"
	"sync"

	"lagoonrack/internal/work"
)

// news is what changed since the last pass over the tasks that wait. A pass over all
// of them and all workers costs milliseconds in a crowd, and hundreds of tasks end
// in a second: after an end, tasks that found no place before are tried on the
// workers that have room now, and those of changed jobs on all. What depends on time
// is tried with each tick.
type news struct {
	all     bool
	jobs    map[*job]bool
	workers map[*worker]bool
}

// job notes that tasks of a job may wait that did not before.
func (n *news) job(j *job) {
	if n.jobs == nil {
		n.jobs = map[*job]bool{}
	}
	n.jobs[j] = true
}

// worker notes that a worker may take a task that it could not before.
func (n *news) worker(w *worker) {
	if n.workers == nil {
		n.workers = map[*worker]bool{}
	}
	n.workers[w] = true
}

func (n *news) none() bool { return !n.all && len(n.jobs) == 0 && len(n.workers) == 0 }

// schedule gives places to tasks that wait, in the order of their jobs.
func (c *Core) schedule() {
	n := c.news
	if n.none() {
		return
	}
	c.news = news{}
	all := sync.OnceValue(c.opened)
	changed := c.openOf(n.workers)
	for _, o := range c.ranked(n) {
		for _, s := range o.steps {
			switch {
			case s.left == 0 || !o.ready(s) || s.job.over():
			case n.all || n.jobs[o.job] || s.Gang || c.queues[o.job.Queue].Advised:
				// A gang needs room on several workers at a time, and the advisor is
				// asked once for all.
				c.scheduleStep(s, all())
			case len(changed) > 0:
				c.scheduleStep(s, changed)
			}
		}
	}
}

// opened lists the workers that may get new runs.
func (c *Core) opened() []*worker {
	var out []*worker
	for _, k := range sortedKeys(c.workers) {
		if w := c.workers[k]; c.open(w) {
			out = append(out, w)
		}
	}
	return out
}

// openOf lists those of some workers that may get new runs.
func (c *Core) openOf(some map[*worker]bool) []*worker {
	var out []*worker
	for w := range some {
		if c.open(w) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b *worker) int { return cmp.Compare(lifeKey(a.Life), lifeKey(b.Life)) })
	return out
}

// arrive makes the occurrences whose time has come.
func (c *Core) arrive(j *job) {
	if j.Times <= 0 {
		if len(j.occs) == 0 {
			j.occ(0, c.now)
		}
		return
	}
	now, ok := c.unix.at(c.now)
	if !ok {
		return
	}
	for k := j.past + len(j.occs); k < j.Times; k++ {
		if now.Milliseconds() < j.First+int64(k)*j.Every {
			return
		}
		j.occ(k, c.now)
	}
}

func (c *Core) scheduleStep(s *step, open []*worker) {
	if !s.waiting() {
		return
	}
	can := c.candidates(s, open)
	if len(can) == 0 {
		return
	}
	if s.Gang {
		c.scheduleGang(s, can)
		return
	}
	for _, t := range s.tasks {
		if !t.waits() {
			continue
		}
		w := c.choose(t, can)
		if w == nil {
			return
		}
		c.start(t, w, t.run+1)
	}
}

// candidates lists the workers that may run a step by its queue, labels and the
// advisor, who is asked if tasks wait and no worker is known.
func (c *Core) candidates(s *step, open []*worker) []*worker {
	out := c.eligible(s, open)
	if !c.queues[s.job.Queue].Advised {
		return out
	}
	advised := slices.DeleteFunc(slices.Clone(out), func(w *worker) bool {
		_, ok := c.ticket(s, w)
		return !ok
	})
	if len(advised) == 0 && s.waiting() {
		c.consult(s, out)
	}
	return advised
}

// eligible lists the workers that may run a step by its queue and labels.
func (c *Core) eligible(s *step, open []*worker) []*worker {
	service := s.job.Service
	q, ok := c.queues[s.job.Queue]
	if ok {
		service = q.Service
	}
	var out []*worker
	for _, w := range open {
		if w.Service == service && w.has(s.Needs) {
			out = append(out, w)
		}
	}
	return out
}

func (s *step) waiting() bool { return slices.ContainsFunc(s.tasks, (*task).waits) }

// name is that of the step, without a task's index.
func (s *step) name() string { return work.StepName(s.job.ID, s.k, s.index) }

// choose returns the best worker for a task, or nil if none has room now.
func (c *Core) choose(t *task, can []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range can {
		if t.goal != nil && c.now < t.goalUntil && w != t.goal {
			continue
		}
		if !c.fits(t, w) {
			continue
		}
		score := c.score(t, w)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a worker may take a task now.
func (c *Core) fits(t *task, w *worker) bool {
	s := t.step
	if !s.Reserved().Fits(w.room()) {
		return false
	}
	if t.left == w.ID && c.now-t.leftAt < avoidFor {
		return false
	}
	if s.Apart > 0 && s.on(w) >= s.Apart {
		return false
	}
	if w.suspect() && !c.mayProbe(t, w) {
		return false
	}
	if s.Fills && !c.hungry(t) {
		return c.fillFits(t, w)
	}
	return true
}

// on counts the step's tasks on a worker.
func (s *step) on(w *worker) int {
	n := 0
	for p := range w.places {
		if p.task.step == s {
			n++
		}
	}
	return n
}

// mayProbe reports whether a suspect worker may get the task as a test: it has
// attempts to spare and no other test is under way.
func (c *Core) mayProbe(t *task, w *worker) bool {
	if c.attempts(t.step.job)-t.fails <= 1 && !t.step.Lasts {
		return false
	}
	return c.now-w.probe > probeEvery
}

const (
	// nearWeight puts a worker on the wanted rack before any other.
	nearWeight = 10
	// badWeight puts workers where the task failed last.
	badWeight = 100
	// copyWeight keeps tasks of one step apart where nothing else decides.
	copyWeight = 0.02
)

// score says how well a worker suits a task that fits.
func (c *Core) score(t *task, w *worker) float64 {
	s := t.step
	var v float64
	if s.Fills {
		v = c.fillScore(s, w)
	} else {
		// The fullest comes first, so that some workers stay without serving
		// tasks and what fills disturbs nobody there.
		v = w.solid.Add(s.Size).MaxShare(w.Size)
	}
	if s.Near != "" && w.has(s.Near) {
		v += nearWeight
	}
	if slices.Contains(t.bad, w.ID) || w.suspect() {
		v -= badWeight
	}
	return v - copyWeight*float64(s.on(w))
}

// start gives a task a place on a worker, to be ordered once that is stored.
func (c *Core) start(t *task, w *worker, run int64) {
	t.run = run
	p := &place{task: t, run: run, worker: w, saved: t.saved}
	if q := c.queues[t.step.job.Queue]; q.Advised {
		p.ticket, _ = c.ticket(t.step, w)
	}
	w.add(p)
	if t.step.Fills {
		w.refilled = c.now
	}
	if w.suspect() {
		w.probe = c.now
	}
	t.places = append(t.places, p)
	j := t.step.job
	j.places[p] = true
	j.begun = true
	c.touch(j)
	c.emit(Note{Kind: "place", Task: p.name(), Run: run, Worker: w.ID, Reason: rankNames[t.step.occ.rank], Took: c.waited(t)})
	c.after(func() { c.ready(p) })
	c.settle(j)
}

// ready orders a place that is stored, unless it was given up meanwhile.
func (c *Core) ready(p *place) {
	if !p.worker.places[p] {
		return
	}
	p.stored = true
	if p.stop == "" {
		c.order(p)
	}
}

// fitsElsewhere reports whether another worker could take the task of a place. The
// advisor is asked for one if need be.
func (c *Core) fitsElsewhere(p *place) bool {
	s, open := p.task.step, c.opened()
	for _, w := range c.candidates(s, open) {
		if w != p.worker && c.fits(p.task, w) {
			return true
		}
	}
	if c.queues[s.job.Queue].Advised {
		c.consult(s, c.eligible(s, open))
	}
	return false
}

// scheduleGang starts the tasks of a gang together, if there is room for all.
// All members carry the same run number and the same checkpoint.
func (c *Core) scheduleGang(s *step, can []*worker) {
	var run int64
	saved := ""
	for _, t := range s.tasks {
		if t.done || len(t.places) > 0 {
			return
		}
		run = max(run, t.run)
		if t.saved != "" {
			saved = t.saved
		}
	}
	var trial []*place
	for _, t := range s.tasks {
		w := c.choose(t, c.gangOrder(s, trial, can))
		if w == nil {
			break
		}
		p := &place{task: t, worker: w}
		w.add(p)
		trial = append(trial, p)
	}
	for _, p := range trial {
		p.worker.remove(p)
	}
	if len(trial) < len(s.tasks) {
		return
	}
	for _, p := range trial {
		p.task.saved = saved
		c.start(p.task, p.worker, run+1)
	}
}

// gangOrder narrows the candidates to one rack for a gang that is slower on
// several, as long as that rack has room.
func (c *Core) gangOrder(s *step, placed []*place, can []*worker) []*worker {
	if !s.Tight || len(placed) == 0 {
		return can
	}
	rack := placed[0].worker.Rack()
	var same []*worker
	for _, w := range can {
		if w.Rack() == rack {
			same = append(same, w)
		}
	}
	for _, w := range same {
		if c.fits(s.tasks[len(placed)], w) {
			return same
		}
	}
	return can
}
