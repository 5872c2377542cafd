package sched

import (
	"fmt"
	"slices"

	"lagoonrack/internal/vect"
	"lagoonrack/internal/work"
)

// SetExhaustive turns off the shortcuts of scheduling passes.
func (c *Core) SetExhaustive() { c.exhaustive = true }

// CheckIndexes compares all counters and indexes with a full recount. It must be called
// between two steps.
func (c *Core) CheckIndexes() error {
	pending := map[string]int{}
	ranked := map[*occurrence]bool{}
	for _, j := range c.jobs {
		if !j.started && !j.finished() {
			pending[j.Queue]++
		}
		if err := checkJob(j); err != nil {
			return err
		}
		for _, o := range j.openOccurrences {
			if _, ok := c.needsOf(o); ok && !j.finished() {
				ranked[o] = true
			}
		}
	}
	for q, n := range c.pending {
		if pending[q] != n {
			return fmt.Errorf("queue %q: %d jobs counted as pending, %d are", q, n, pending[q])
		}
	}
	if len(pending) != len(c.pending) {
		return fmt.Errorf("jobs of %d queues counted as pending, of %d are", len(c.pending), len(pending))
	}
	if err := c.checkRanking(ranked); err != nil {
		return err
	}
	return c.checkWorkers()
}

// checkJob compares a job's counters with a recount.
func checkJob(j *job) error {
	started := false
	placements := 0
	for _, o := range j.openOccurrences {
		for _, s := range o.steps {
			waiting, unfinished, placed := 0, 0, 0
			for _, t := range s.tasks {
				if t.waiting() {
					waiting++
				}
				if !t.done {
					unfinished++
				}
				placed += len(t.placements)
				started = started || t.done || t.failures > 0
				if t.lastRun > 0 && (!s.everPlaced || !o.everPlaced) {
					return fmt.Errorf("%s was placed and its step does not say so", t.name())
				}
			}
			if waiting != s.waiting || unfinished != s.unfinished || placed != s.placed {
				return fmt.Errorf("%s: %d waiting, %d unfinished, %d placed; counted %d, %d, %d", s.name(), waiting, unfinished, placed, s.waiting, s.unfinished, s.placed)
			}
			placements += placed
		}
	}
	if started && !j.started {
		return fmt.Errorf("job %s was started and does not say so", j.ID)
	}
	if placements != j.placements.len() {
		return fmt.Errorf("job %s has %d placements, its tasks %d", j.ID, j.placements.len(), placements)
	}
	return nil
}

// checkRanking checks that the ranking is in order, holds all occurrences with waiting
// tasks, and that its bounds are not above what the tasks need.
func (c *Core) checkRanking(ranked map[*occurrence]bool) error {
	if !slices.IsSortedFunc(c.ranking.entries, func(a, b rankedEntry) int { return compareRanks(a.occurrence, b.occurrence) }) {
		return fmt.Errorf("the ranking is out of order")
	}
	for _, e := range c.ranking.entries {
		n, ok := c.needsOf(e.occurrence)
		if ok && !e.job.finished() && (!e.guaranteed.Fits(n.guaranteed) || !e.bestEffort.Fits(n.bestEffort) || n.forced && !e.forced) {
			return fmt.Errorf("job %s, occurrence %d: bounds %v, needs %v", e.job.ID, e.number, e.needs, n)
		}
		delete(ranked, e.occurrence)
	}
	for o := range ranked {
		return fmt.Errorf("job %s, occurrence %d has waiting tasks and is not ranked", o.job.ID, o.number)
	}
	return nil
}

// checkWorkers compares the workers' reservations and indexes with a recount.
func (c *Core) checkWorkers() error {
	if len(c.workerList) != len(c.workers) || !slices.IsSortedFunc(c.workerList, compareWorkers) {
		return fmt.Errorf("the list of workers is not that of the map in order")
	}
	for _, w := range c.workerList {
		var reserved, guaranteed vect.Size
		var bestEffort int64
		counts := map[*step]int{}
		for _, p := range w.placements.list {
			s := p.task.step
			counts[s]++
			reserved = reserved.Add(s.Reserved())
			if s.Fills {
				bestEffort += s.Size.Cores
			} else {
				guaranteed = guaranteed.Add(s.Size)
			}
			if w.runs[work.Run{Task: p.task.name(), Num: p.run}] != p {
				return fmt.Errorf("worker %s: %s is not found by its run", w.ID, p.name())
			}
			if !slices.Contains(p.task.placements, p) || !s.job.placements.contains(p) {
				return fmt.Errorf("worker %s: %s is not a placement of its task and job", w.ID, p.name())
			}
		}
		if reserved != w.reserved || guaranteed != w.guaranteed || bestEffort != w.bestEffortCores || len(w.runs) != w.placements.len() {
			return fmt.Errorf("worker %s: reserved %v, counted %v", w.ID, reserved, w.reserved)
		}
		for s, n := range w.stepCounts {
			if counts[s] != n {
				return fmt.Errorf("worker %s: %d tasks of %s, counted %d", w.ID, counts[s], s.name(), n)
			}
		}
	}
	return nil
}
