package sched

import (
	"cmp"
	"math"
	"slices"

	"lagoonrack/internal/vect"
)

// ranking keeps the occurrences with waiting tasks in the order in which they are
// scheduled. Each entry holds lower bounds of what the waiting tasks need, so that a
// pass over a long backlog skips occurrences that fit nowhere without looking at them.
// The zero value is empty.
type ranking struct {
	entries []rankedEntry
}

// rankedEntry is an occurrence in a ranking.
type rankedEntry struct {
	*occurrence
	needs
	// changed says that the occurrence's job has changed since the last pass.
	changed bool
}

// needs bounds from below what the waiting tasks of an occurrence need.
type needs struct {
	// guaranteed is the least that a latency-critical or ordinary task reserves, and
	// bestEffort the least that a best-effort task asks for, in each dimension. A
	// kind of which no task waits needs noCapacity.
	guaranteed, bestEffort vect.Size
	// forced says that a best-effort task may have to start without idle processor
	// time.
	forced bool
	// everywhere says that the occurrence is tried on all workers in each pass.
	everywhere bool
}

// noCapacity is more than any worker has.
var noCapacity = vect.Size{Cores: math.MaxInt64, Memory: math.MaxInt64, Accel: math.MaxInt64}

// least returns the smaller of two sizes in each dimension.
func least(a, b vect.Size) vect.Size {
	return vect.Size{Cores: min(a.Cores, b.Cores), Memory: min(a.Memory, b.Memory), Accel: min(a.Accel, b.Accel)}
}

// needsOf returns the needs of an occurrence. It returns false if no task of a ready
// step waits.
func (c *Core) needsOf(o *occurrence) (needs, bool) {
	n := needs{guaranteed: noCapacity, bestEffort: noCapacity, forced: o.job.placements.len() == 0}
	found := false
	for _, s := range o.steps {
		if s.waiting == 0 || !o.ready(s) {
			continue
		}
		found = true
		// A gang needs free capacity on several workers at a time, and the advisor is
		// asked about all workers in one call.
		n.everywhere = n.everywhere || s.Gang || o.job.inForce.Advised
		if s.Fills {
			n.bestEffort = least(n.bestEffort, s.Size)
		} else {
			n.guaranteed = least(n.guaranteed, s.Size)
		}
	}
	return n, found
}

// compareRanks orders occurrences by the queue's priority, by rank, by their order within the
// rank, by due time and by acceptance.
func compareRanks(a, b *occurrence) int {
	return cmp.Or(
		cmp.Compare(a.priority, b.priority),
		cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.order, b.order),
		cmp.Compare(a.due, b.due),
		cmp.Compare(a.job.seq, b.job.seq),
		cmp.Compare(a.number, b.number),
	)
}

// find returns the position of an occurrence, or where it belongs, and whether it is
// in the ranking.
func (r *ranking) find(o *occurrence) (int, bool) {
	return slices.BinarySearchFunc(r.entries, o, func(e rankedEntry, o *occurrence) int { return compareRanks(e.occurrence, o) })
}

// remove removes an occurrence. It must be called before the occurrence's rank
// changes.
func (r *ranking) remove(o *occurrence) {
	if i, ok := r.find(o); ok {
		r.entries = slices.Delete(r.entries, i, i+1)
	}
}

// insert adds an occurrence that is not in the ranking and whose job has changed.
func (r *ranking) insert(o *occurrence, n needs) {
	i, _ := r.find(o)
	r.entries = slices.Insert(r.entries, i, rankedEntry{occurrence: o, needs: n, changed: true})
}

// rerankJob computes the ranks of a changed job's occurrences and updates their
// entries.
func (c *Core) rerankJob(j *job) {
	if !j.finished() {
		c.createDueOccurrences(j)
	}
	for _, o := range j.openOccurrences {
		c.ranking.remove(o)
		if n, ok := c.needsOf(o); ok && !j.finished() {
			c.updateRank(o)
			c.ranking.insert(o, n)
		}
	}
}

// rerankAll computes the ranks of all occurrences with waiting tasks. The entries are
// nearly in order already, which makes sorting them cheap.
func (c *Core) rerankAll() {
	kept := c.ranking.entries[:0]
	for _, e := range c.ranking.entries {
		n, ok := c.needsOf(e.occurrence)
		if !ok || e.job.finished() {
			continue
		}
		c.updateRank(e.occurrence)
		kept = append(kept, rankedEntry{occurrence: e.occurrence, needs: n})
	}
	clear(c.ranking.entries[len(kept):])
	c.ranking.entries = kept
	slices.SortFunc(kept, func(a, b rankedEntry) int { return compareRanks(a.occurrence, b.occurrence) })
}

// rebuildRanking ranks the occurrences of all active jobs anew.
func (c *Core) rebuildRanking() {
	c.ranking = ranking{}
	for _, j := range c.active {
		c.rerankJob(j)
	}
}
