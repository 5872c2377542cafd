package sched

import (
	"cmp"
	"slices"
)

// placementSet holds the placements of one job or worker in a fixed order. The zero
// value is empty.
type placementSet struct {
	list []*placement
	// shared says that a caller may still iterate over list, so that a change has to
	// copy it first.
	shared bool
}

// comparePlacements orders placements by occurrence, step, task and run, and those of
// several jobs by acceptance.
func comparePlacements(a, b *placement) int {
	s, t := a.task.step, b.task.step
	return cmp.Or(
		cmp.Compare(s.occurrenceNumber, t.occurrenceNumber),
		cmp.Compare(s.index, t.index),
		cmp.Compare(a.task.index, b.task.index),
		cmp.Compare(a.run, b.run),
		cmp.Compare(s.job.seq, t.job.seq),
	)
}

// sorted returns the placements in order. The slice does not change when the set does.
func (s *placementSet) sorted() []*placement {
	s.shared = true
	return s.list
}

// len returns the number of placements.
func (s *placementSet) len() int { return len(s.list) }

// contains reports whether a placement is in the set.
func (s *placementSet) contains(p *placement) bool {
	_, ok := slices.BinarySearchFunc(s.list, p, comparePlacements)
	return ok
}

// add adds a placement that is not in the set.
func (s *placementSet) add(p *placement) {
	i, _ := slices.BinarySearchFunc(s.list, p, comparePlacements)
	s.unshare()
	s.list = slices.Insert(s.list, i, p)
}

// remove removes a placement and reports whether it was in the set.
func (s *placementSet) remove(p *placement) bool {
	i, ok := slices.BinarySearchFunc(s.list, p, comparePlacements)
	if ok {
		s.unshare()
		s.list = slices.Delete(s.list, i, i+1)
	}
	return ok
}

// unshare makes the list safe to change.
func (s *placementSet) unshare() {
	if s.shared {
		s.list, s.shared = slices.Clone(s.list), false
	}
}
