package sched

import (
	"cmp"
	"slices"

	"lagoonrack/internal/vect"
)

// changeSet holds what changed since the last scheduling pass. A pass over all
// waiting tasks and all workers takes milliseconds on a loaded cell, and hundreds
// of tasks end each second. After an end, therefore, tasks that could not be placed
// before are tried only on the workers with new free capacity, and tasks of changed
// jobs on all workers. Whatever depends on time is tried with each tick.
type changeSet struct {
	all     bool
	jobs    []*job
	workers []*worker
	// rebuild says that the ranking has to be built anew.
	rebuild bool
}

// addJob records that more tasks of a job may be waiting than before.
func (n *changeSet) addJob(j *job) {
	if !slices.Contains(n.jobs, j) {
		n.jobs = append(n.jobs, j)
	}
}

// addWorker records that a worker may take tasks that it could not take before.
func (n *changeSet) addWorker(w *worker) {
	if i, ok := slices.BinarySearchFunc(n.workers, w, compareWorkers); !ok {
		n.workers = slices.Insert(n.workers, i, w)
	}
}

// empty reports whether nothing changed.
func (n *changeSet) empty() bool {
	return !n.all && !n.rebuild && len(n.jobs) == 0 && len(n.workers) == 0
}

// sortedJobs returns the changed jobs in the order of their acceptance.
func (n *changeSet) sortedJobs() []*job {
	slices.SortFunc(n.jobs, func(a, b *job) int { return cmp.Compare(a.seq, b.seq) })
	return n.jobs
}

// schedule places waiting tasks, in the order of their occurrences' ranks.
func (c *Core) schedule() {
	c.noteDueOccurrences()
	n := c.changes
	if n.empty() {
		return
	}
	c.changes = changeSet{}
	p := pass{core: c, changedWorkers: c.schedulableOf(n.workers)}
	if n.rebuild {
		c.rebuildRanking()
	}
	for _, j := range n.sortedJobs() {
		c.rerankJob(j)
	}
	if n.all {
		c.rerankAll()
	}
	p.run(n.all)
}

// pass is one scheduling pass.
type pass struct {
	core *Core
	// changedWorkers lists the workers that may take tasks that they could not take
	// before, and allWorkers all workers that may get new runs, once it is needed.
	changedWorkers, allWorkers []*worker
	listed                     bool
	// tooLarge holds, by service, a size for which no worker has the capacity.
	tooLarge map[string]vect.Size
}

// run places waiting tasks: all of them on all workers, or those of changed jobs on all
// workers and the others on the changed ones.
func (p *pass) run(all bool) {
	bounds := p.core.boundsOf(p.changedWorkers)
	entries := p.core.ranking.entries
	for i := range entries {
		e := &entries[i]
		everywhere := all || e.changed || e.everywhere
		e.changed = false
		switch {
		case everywhere:
			p.scheduleOccurrence(e.occurrence, true)
		case !p.core.exhaustive && !bounds.admit(&e.needs):
			continue
		default:
			p.scheduleOccurrence(e.occurrence, false)
		}
		if !all {
			bounds = p.core.boundsOf(p.changedWorkers)
		}
	}
}

// scheduleOccurrence places the waiting tasks of an occurrence on all workers or on the
// changed ones.
func (p *pass) scheduleOccurrence(o *occurrence, everywhere bool) {
	c := p.core
	for _, s := range o.steps {
		if s.waiting == 0 || !o.ready(s) || s.job.finished() {
			continue
		}
		if !everywhere {
			c.scheduleStep(s, p.changedWorkers)
			continue
		}
		if !p.listed {
			p.allWorkers, p.listed = c.schedulableWorkers(), true
		}
		p.scheduleEverywhere(s)
	}
}

// scheduleEverywhere places the waiting tasks of a step on all workers, unless an
// earlier step of the pass showed that none has the capacity.
func (p *pass) scheduleEverywhere(s *step) {
	c := p.core
	service, size := s.job.service, s.Reserved()
	if t, ok := p.tooLarge[service]; ok && t.Fits(size) && !s.job.inForce.Advised && !c.exhaustive {
		return
	}
	if c.scheduleStep(s, p.allWorkers) || s.Needs != "" || s.Gang || s.Apart > 0 || s.job.inForce.Advised {
		return
	}
	for _, w := range p.allWorkers {
		if w.Service == service && size.Fits(w.free()) {
			return
		}
	}
	if p.tooLarge == nil {
		p.tooLarge = map[string]vect.Size{}
	}
	p.tooLarge[service] = size
}

// schedulableWorkers lists the workers that may get new runs.
func (c *Core) schedulableWorkers() []*worker { return c.schedulableOf(c.workerList) }

// schedulableOf lists those of the given workers that may get new runs.
func (c *Core) schedulableOf(workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		if c.schedulable(w) {
			out = append(out, w)
		}
	}
	return out
}
