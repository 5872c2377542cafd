package sched

import (
	"slices"
	"time"

	"lagoonrack/internal/vect"
)

// The load that these rules answer: serving tasks come and go one job at a time,
// so that after a while single ones are left on workers that were nearly empty.
// Each of them keeps what fills away from a whole worker. Moving it to a worker
// that serves anyway costs a restart.

const (
	// vacateEvery is the least time between two workers that are emptied: a moved
	// task is at work again well within it.
	consolidateInterval = 700 * time.Millisecond
	// vacateMost is the most serving tasks that are moved off one worker, and
	// vacateShare the share of its processors that they may reserve: beyond it,
	// too little is gained for the restarts.
	consolidateMaxTasks = 3
	consolidateMaxShare = 0.4
	// settled is how long a serving task runs before it may be moved.
	minRunBeforeMove = 3 * time.Second
	// goalFor is how long a moved task waits for the place that it is to take.
	moveTargetTimeout = 2 * time.Second
)

// vacate moves the serving tasks off one worker if tasks that fill wait and
// others that serve have room for them.
func (c *Core) consolidate() {
	if c.now-c.lastConsolidation < consolidateInterval || !c.bestEffortWaiting() {
		return
	}
	schedulable := c.schedulableWorkers()
	var best *relocationPlan
	for _, w := range schedulable {
		v := c.planRelocation(w, schedulable)
		if v != nil && (best == nil || v.gainPerMove() > best.gainPerMove()) {
			best = v
		}
	}
	if best == nil {
		return
	}
	c.lastConsolidation = c.now
	for _, m := range best.moves {
		m.placement.task.moveTarget, m.placement.task.moveTargetUntil = m.to, c.now+moveTargetTimeout
		c.stopToMove(m.placement, "vacate")
	}
}

// fillsWait reports whether a task that fills needs a place.
func (c *Core) bestEffortWaiting() bool {
	for _, j := range c.active {
		if j.finished() || !j.Steps[0].Fills || len(j.openOccurrences) == 0 {
			continue
		}
		for o, s := range j.readySteps() {
			if o == j.openOccurrences[0] && s.hasWaitingTasks() {
				return true
			}
		}
	}
	return false
}

// move takes a serving task to another worker.
type move struct {
	placement *placement
	to        *worker
}

// vacancy is a way to free a worker of serving tasks.
type relocationPlan struct {
	worker      *worker
	schedulable []*worker
	moves       []move
	// rooms is what is left on a worker once the moves are made, and steps
	// counts the tasks of a step there.
	freeAfter  map[*worker]vect.Size
	stepCounts map[*worker]map[*step]int
}

// gain is the processors, in thousandths, that are freed for each move.
func (v *relocationPlan) gainPerMove() int64 { return v.worker.Size.Cores / int64(len(v.moves)) }

// vacancy returns a way to free a worker, or nil if there is none that pays.
func (c *Core) planRelocation(w *worker, schedulable []*worker) *relocationPlan {
	v := &relocationPlan{worker: w, schedulable: schedulable, freeAfter: map[*worker]vect.Size{}, stepCounts: map[*worker]map[*step]int{}}
	var longRunning []*placement
	var cores int64
	for _, p := range sortedPlacements(w.placements) {
		if !p.task.step.Lasts {
			continue
		}
		if !c.movable(p) {
			return nil
		}
		longRunning = append(longRunning, p)
		cores += p.task.step.Size.Cores
	}
	if len(longRunning) == 0 || len(longRunning) > consolidateMaxTasks || float64(cores) > consolidateMaxShare*float64(w.Size.Cores) {
		return nil
	}
	for _, p := range longRunning {
		if !c.relocate(v, p) {
			return nil
		}
	}
	var moved []*placement
	for _, m := range v.moves {
		moved = append(moved, m.placement)
	}
	if !withinMissingLimit(moved) {
		return nil
	}
	return v
}

// rehouse finds a worker for a task, which one other task may have to leave
// for a third worker.
func (c *Core) relocate(v *relocationPlan, p *placement) bool {
	if to := c.relocationTarget(v, p, nil); to != nil {
		v.addMove(p, to)
		return true
	}
	for _, x := range c.candidates(p.task.step, v.schedulable) {
		if x == v.worker || x.suspect() || !x.hasLongRunning() || !v.allowsSpread(p, x) {
			continue
		}
		for _, q := range sortedPlacements(x.placements) {
			if !q.task.step.Lasts || q.task.step == p.task.step || v.isMoved(q) || !c.movable(q) || !p.task.step.Size.Fits(v.free(x).Add(q.task.step.Size)) {
				continue
			}
			if to := c.relocationTarget(v, q, x); to != nil {
				v.addMove(q, to)
				v.addMove(p, x)
				return true
			}
		}
	}
	return false
}

func (v *relocationPlan) addMove(p *placement, to *worker) {
	v.moves = append(v.moves, move{p, to})
	s := p.task.step
	v.freeAfter[p.worker] = v.free(p.worker).Add(s.Size)
	v.freeAfter[to] = v.free(to).Sub(s.Size)
	v.count(p.worker, s, -1)
	v.count(to, s, 1)
}

func (v *relocationPlan) count(w *worker, s *step, n int) {
	if v.stepCounts[w] == nil {
		v.stepCounts[w] = map[*step]int{}
	}
	v.stepCounts[w][s] += n
}

func (v *relocationPlan) free(w *worker) vect.Size {
	if r, ok := v.freeAfter[w]; ok {
		return r
	}
	return w.free()
}

func (v *relocationPlan) isMoved(p *placement) bool {
	return slices.ContainsFunc(v.moves, func(m move) bool { return m.placement == p })
}

// apart reports whether a worker may have one more task of the step.
func (v *relocationPlan) allowsSpread(p *placement, w *worker) bool {
	s := p.task.step
	return s.Apart == 0 || s.countOn(w)+v.stepCounts[w][s] < s.Apart
}

// movable reports whether a serving task may be restarted elsewhere now: it is
// at work for a while, and not too many of its step are away.
func (c *Core) movable(p *placement) bool {
	if p.stopReason != "" || !p.stored || !p.confirmed || p.percent < fullPercent || c.now-p.confirmedAt < minRunBeforeMove {
		return false
	}
	return withinMissingLimit([]*placement{p})
}

// spared reports whether all places may be stopped at a time without more tasks of
// a step being away than may be.
func withinMissingLimit(places []*placement) bool {
	stops := map[*step]int{}
	for _, p := range places {
		stops[p.task.step]++
	}
	for s, n := range stops {
		if s.Lasts && s.Missing > 0 && s.unavailableTasks()+n > s.Missing {
			return false
		}
	}
	return true
}

// away counts the tasks of a step that are not at work.
func (s *step) unavailableTasks() int {
	n := 0
	for _, t := range s.tasks {
		if !slices.ContainsFunc(t.placements, func(p *placement) bool { return p.stopReason == "" && p.percent >= fullPercent }) {
			n++
		}
	}
	return n
}

// refuge returns the fullest worker that serves, is not the one given and has
// room for one more task.
func (c *Core) relocationTarget(v *relocationPlan, p *placement, exclude *worker) *worker {
	s := p.task.step
	var best *worker
	for _, w := range c.candidates(s, v.schedulable) {
		if w == v.worker || w == exclude || w == p.worker || w.suspect() || !w.hasLongRunning() || !v.allowsSpread(p, w) || !s.Size.Fits(v.free(w)) {
			continue
		}
		if best == nil || v.free(w).Cores < v.free(best).Cores {
			best = w
		}
	}
	return best
}

// serves reports whether a serving task is on the worker.
func (w *worker) hasLongRunning() bool {
	for p := range w.placements {
		if p.task.step.Lasts && p.stopReason == "" {
			return true
		}
	}
	return false
}
